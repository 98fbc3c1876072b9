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
	// callTimeout bounds a call to a gateway. That of a proposal is longer, by the time it waits for the outcome.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds a gateway's answer: a thousand gateways as seen by a thousand are some 20 MB.
	maxAnswerBytes = 64 << 20
)

// controlSocket is where a gateway takes commands of operators: HTTP over a Unix socket.
type controlSocket struct {
	// path is the socket's path; empty: the flag is missing.
	path string
}

// addFlag adds the flag for the path to a command and those below it.
func (s *controlSocket) addFlag(command *cobra.Command) {
	command.PersistentFlags().StringVar(&s.path, "socket", "",
		"the `path` of a front door's control socket, fleet.control in its file")
}

// get reads what the gateway has at a path and query.
func (s *controlSocket) get(ctx context.Context, path string) ([]byte, error) {
	return s.call(ctx, http.MethodGet, path, nil, callTimeout)
}

// getJSON reads what the gateway has at a path and query into a value.
func (s *controlSocket) getJSON(ctx context.Context, path string, value any) error {
	answer, err := s.get(ctx, path)
	if err != nil {
		return err
	}
	return decodeAnswer(answer, value)
}

// post has the gateway do what a path and query say.
func (s *controlSocket) post(ctx context.Context, path string) error {
	_, err := s.call(ctx, http.MethodPost, path, nil, callTimeout)
	return err
}

// call makes one request, without a retry, and returns the answer's body. The timeout bounds the whole call.
//
// The error is a *[cli.Error] with [cli.Misused] if no path is set, and with [cli.Nowhere] if there is no file at the
// path or the gateway answers with status 404. Any other error has the exit code [cli.Failed]: a socket that a dead
// gateway has left behind refuses the connection, one whose gateway hangs ends in the timeout. After a timeout the
// gateway may still carry out what was asked for. Errors that the gateway answers with have its text.
func (s *controlSocket) call(
	ctx context.Context, method, path string, body io.Reader, timeout time.Duration,
) ([]byte, error) {
	if s.path == "" {
		return nil, &cli.Error{
			Code: cli.Misused,
			Err:  errors.New("--socket is missing: fleet.control in the door's file"),
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
		return nil, &cli.Error{Code: cli.Nowhere, Err: fmt.Errorf("no door is at %s", s.path)}
	case err != nil:
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	return readAnswer(response)
}

// dial connects to the socket, whatever the address.
func (s *controlSocket) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "unix", s.path)
}

// readAnswer returns an answer's body, or the error that its status stands for.
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

// decodeAnswer reads a gateway's JSON into a value.
func decodeAnswer(answer []byte, value any) error {
	if err := json.Unmarshal(answer, value); err != nil {
		return fmt.Errorf("the door's answer: %w", err)
	}
	return nil
}

// operatorName is the name of who runs this program, which may be empty; isKnown is false if the system can't tell.
func operatorName() (name string, isKnown bool) {
	current, err := user.Current()
	if err != nil {
		return "", false
	}
	return current.Username, true
}
