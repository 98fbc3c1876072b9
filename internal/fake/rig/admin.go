package rig

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// adminTimeout bounds a call without a body.
	adminTimeout = 5 * time.Second
	// postTimeout bounds a call with one, such as a proposed policy.
	postTimeout = 90 * time.Second
)

// Operators calls the gateway's control socket without a body. The caller closes the answer's body.
func (d *Door) Operators(method, path string) (*http.Response, error) {
	return d.callAdmin(method, path, "", adminTimeout)
}

// Post posts a text to the gateway's control socket. The caller closes the answer's body.
func (d *Door) Post(path, body string) (*http.Response, error) {
	return d.callAdmin(http.MethodPost, path, body, postTimeout)
}

// callAdmin makes one call on a connection of its own.
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
