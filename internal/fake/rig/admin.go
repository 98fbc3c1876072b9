package rig

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// adminTimeout is the timeout of a call without a body.
	adminTimeout = 5 * time.Second
	// postTimeout is the timeout of a call with a body, such as a proposed policy.
	postTimeout = 90 * time.Second
)

// Operators sends a request without a body to the gateway's control socket. The caller must close the response's body.
func (d *Door) Operators(method, path string) (*http.Response, error) {
	return d.callAdmin(method, path, "", adminTimeout)
}

// Post sends a POST request to the gateway's control socket. The caller must close the response's body.
func (d *Door) Post(path, body string) (*http.Response, error) {
	return d.callAdmin(http.MethodPost, path, body, postTimeout)
}

// callAdmin sends one request on a new connection.
func (d *Door) callAdmin(method, path, body string, timeout time.Duration) (*http.Response, error) {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", d.Socket)
		},
		DisableKeepAlives: true,
	}
	request, err := http.NewRequest(method, "http://door"+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: transport, Timeout: timeout}
	return client.Do(request)
}
