package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

const (
	// callTimeout bounds a call to a gateway. A proposal adds the time to wait for the outcome.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds a gateway's response. The status of 1000 gateways, each as seen by all 1000, takes about
	// 20 MB.
	maxAnswerBytes = 64 << 20
)

// controlSocket is a client of a gateway's control socket, which accepts operator commands as HTTP over a Unix socket.
type controlSocket struct {
	// path is the socket's path, or empty if the flag is missing.
	path string
}

// addFlag adds the flag for the path to a command and its subcommands.
func (s *controlSocket) addFlag(command *cobra.Command) {
	command.PersistentFlags().StringVar(&s.path, "socket", "",
		"the `path` of a gateway's control socket, fleet.control in its configuration file")
}

// get returns the response body of a GET request for a path and query.
func (s *controlSocket) get(ctx context.Context, path string) ([]byte, error) {
	return s.call(ctx, http.MethodGet, path, nil, callTimeout)
}

// getJSON decodes the JSON response to a GET request for a path and query into a value.
func (s *controlSocket) getJSON(ctx context.Context, path string, value any) error {
	answer, err := s.get(ctx, path)
	if err != nil {
		return err
	}
	return decodeAnswer(answer, value)
}

// post sends a POST request for a path and query, without a body.
func (s *controlSocket) post(ctx context.Context, path string) error {
	_, err := s.call(ctx, http.MethodPost, path, nil, callTimeout)
	return err
}

// call makes one request, without a retry, and returns the response body. The timeout bounds the whole call.
//
// The error is a *[cli.Error] with [cli.Misused] if no path is set, and with [cli.Nowhere] if there is no file at the
// path or the gateway responds with status 404. Any other error has the exit code [cli.Failed]: a socket left behind by
// a terminated gateway refuses the connection, and a call to a gateway that hangs times out. After a timeout the
// gateway may still execute the request. An error that the gateway reports has the text of its response.
func (s *controlSocket) call(
	ctx context.Context, method, path string, body io.Reader, timeout time.Duration,
) ([]byte, error) {
	if s.path == "" {
		return nil, &cli.Error{
			Code: cli.Misused,
			Err:  errors.New("--socket is missing: fleet.control in the gateway's configuration file"),
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://door"+path, body)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: s.dial},
		Timeout:   timeout,
	}
	response, err := client.Do(request)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, &cli.Error{Code: cli.Nowhere, Err: fmt.Errorf("no control socket at %s", s.path)}
	case err != nil:
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	return readAnswer(response)
}

// dial connects to the socket and ignores the address.
func (s *controlSocket) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "unix", s.path)
}

// readAnswer returns the response body, or an error if the status is not 200 or 204.
func readAnswer(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	text := strings.TrimSpace(string(body))
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return body, nil
	case http.StatusNotFound:
		return nil, &cli.Error{Code: cli.Nowhere, Err: errors.New(text)}
	default:
		return nil, errors.New(cmp.Or(text, response.Status))
	}
}

// decodeAnswer decodes a gateway's JSON response into a value.
func decodeAnswer(answer []byte, value any) error {
	if err := json.Unmarshal(answer, value); err != nil {
		return fmt.Errorf("decoding the gateway's response: %w", err)
	}
	return nil
}

// operatorName returns the current user's name, which may be empty. isKnown is false if the system can't determine it.
func operatorName() (name string, isKnown bool) {
	current, err := user.Current()
	if err != nil {
		return "", false
	}
	return current.Username, true
}
