package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// requestAttributes has the attributes of a RESP2 request.
const requestAttributes = "c=evaluate,t=wide,d=3000,units=1,spread=1,first=0"

// checkRequest returns a check as Traefik sends it, with the header fields of a browser and a request id of the proxy.
func checkRequest(key, id string) []byte {
	return []byte("GET /check HTTP/1.1\r\n" +
		"Host: auth\r\n" +
		"User-Agent: Mozilla/5.0 (X11; Linux x86_64)\r\n" +
		"Accept: */*\r\n" +
		"Accept-Encoding: gzip\r\n" +
		"Authorization: Bearer " + key + "\r\n" +
		"X-Forwarded-Method: GET\r\n" +
		"X-Forwarded-Proto: https\r\n" +
		"X-Forwarded-Host: flags.example.org\r\n" +
		"X-Forwarded-Uri: /v1/flags?user=42\r\n" +
		"X-Forwarded-For: 192.0.2.7\r\n" +
		"X-Request-Id: " + id + "\r\n\r\n")
}

// readHTTP reads the response to a check. The check counts as served if the status is 200.
func readHTTP(answers *bufio.Reader) (served bool, err error) {
	line, err := answers.ReadSlice('\n')
	if err != nil {
		return false, err
	}
	served = bytes.HasPrefix(line, []byte("HTTP/1.1 200 "))
	bodyBytes := 0
	for {
		line, err := answers.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		if len(line) == len("\r\n") {
			break
		}
		if value, found := bytes.CutPrefix(line, []byte("Content-Length: ")); found {
			if bodyBytes, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil {
				return false, err
			}
		}
	}
	_, err = answers.Discard(bodyBytes)
	return served, err
}

// resp2Request returns a RESP2 request.
func resp2Request(customer, id, attributes string) []byte {
	request := []byte("*4\r\n")
	for _, argument := range [...]string{"Q.ASK", customer, id, attributes} {
		request = append(request, '$')
		request = strconv.AppendInt(request, int64(len(argument)), 10)
		request = append(request, "\r\n"...)
		request = append(request, argument...)
		request = append(request, "\r\n"...)
	}
	return request
}

// accountRequest returns the n-th RESP2 request of a connection, for one of the measured accounts.
func accountRequest(connection, n int) []byte {
	customer := fmt.Sprintf("%016x", accountIndex(connection, n)+1)
	return resp2Request(customer, strconv.Itoa(connection)+"-"+strconv.Itoa(n), requestAttributes)
}

// accountIndex returns the index of the measured account that the n-th request of a connection is for.
func accountIndex(connection, n int) int { return (connection*7 + n) % accounts }

// readRESP2 reads a RESP2 response, a bulk string or a line. The request counts as served if it is a bulk string.
func readRESP2(answers *bufio.Reader) (served bool, err error) {
	line, err := answers.ReadString('\n')
	if err != nil {
		return false, err
	}
	if line[0] != '$' {
		return false, nil
	}
	length, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return false, err
	}
	_, err = io.CopyN(io.Discard, answers, int64(length+len("\r\n")))
	return true, err
}
