package extauthz

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// bodyError is why a request's body was not accepted, with the status and detail of the answer.
type bodyError struct {
	status int
	detail string
}

// Error implements error.
func (e *bodyError) Error() string {
	return e.detail
}

// Reasons for not accepting a body. Clients are told the details.
var (
	errBodyTooLong = &bodyError{
		status: http.StatusRequestEntityTooLarge,
		detail: "The body is longer than is read here.",
	}
	errBodyTimeout = &bodyError{
		status: http.StatusRequestTimeout,
		detail: "The body has not come in time.",
	}
	errBodyUnreadable = &bodyError{
		status: http.StatusBadRequest,
		detail: "The body can't be read.",
	}
)

// discardBody reads and discards the request's body of up to Config.MaxBody bytes. The request is handled only after
// its whole body has arrived.
func (e *exchange) discardBody() *bodyError {
	body := e.request.Body
	if body == nil || body == http.NoBody {
		return nil
	}
	config := &e.front.config
	if e.request.ContentLength > config.MaxBody {
		return errBodyTooLong
	}
	// An error is ignored: the connections of net/http support deadlines.
	controller := http.NewResponseController(e.response.w)
	_ = controller.SetReadDeadline(time.Now().Add(config.HeaderTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	_, err := io.CopyN(io.Discard, body, config.MaxBody+1)
	switch {
	case err == nil:
		return errBodyTooLong
	case errors.Is(err, io.EOF):
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTimeout
	default:
		return errBodyUnreadable
	}
}
