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

// check sends one authorization check for the account to a gateway and returns whether it was admitted.
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
	_, _ = io.Copy(io.Discard, response.Body) // draining the body only frees the connection for reuse
	return response.StatusCode == http.StatusOK, response.Body.Close()
}

// resp2Command returns a RESP2 request for the account with the given id.
func resp2Command(id string) string {
	var command strings.Builder
	command.WriteString("*4\r\n")
	attributes := "c=evaluate,t=business,d=1000,units=1,spread=1,first=0"
	for _, argument := range []string{"Q.ASK", customerID, id, attributes} {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return command.String()
}

// sendRESP2 sends one request over a new connection and returns the first line of the response.
func sendRESP2(address string) (line string, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // the response has been read
	if err := conn.SetDeadline(time.Now().Add(resp2Timeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, resp2Command(fmt.Sprint(time.Now().UnixNano()))); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// isServed returns whether the first line of a RESP2 response belongs to a flag server's reply.
func isServed(line string) bool {
	return strings.HasPrefix(line, "*") || strings.HasPrefix(line, "$")
}
