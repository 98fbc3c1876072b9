package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// resp2Timeout bounds a request over RESP2.
const resp2Timeout = 5 * time.Second

// check asks a gateway whether one request of the account may pass. It returns whether it was admitted.
func check(ctx context.Context, address string) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/check", nil)
	if err != nil {
		return false, err
	}
	request.Header = http.Header{
		"Authorization":      {"Bearer " + apiKey},
		"X-Forwarded-Method": {"GET"},
		"X-Forwarded-Host":   {"flags.example.org"},
		"X-Forwarded-Uri":    {"/v1/flags"},
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status is known; this only frees the connection
	return response.StatusCode == http.StatusOK, response.Body.Close()
}

// resp2Command is a request of the account over RESP2 with an id of its own.
func resp2Command(id string) string {
	var command strings.Builder
	command.WriteString("*4\r\n")
	attributes := "c=evaluate,t=business,d=1000,units=1,spread=1,first=0"
	for _, argument := range []string{"Q.ASK", customerID, id, attributes} {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return command.String()
}

// sendRESP2 sends one request over a connection of its own and returns the first line of the answer.
func sendRESP2(address string) (line string, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	if err := conn.SetDeadline(time.Now().Add(resp2Timeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, resp2Command(fmt.Sprint(time.Now().UnixNano()))); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// isServed tells whether the first line of an answer over RESP2 is that of a flag server's answer.
func isServed(line string) bool {
	return strings.HasPrefix(line, "*") || strings.HasPrefix(line, "$")
}
