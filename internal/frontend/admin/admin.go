// Package admin is the line by which operators call a gateway: one line to a connection, one answer. It decides
// nothing; what the commands do is behind Service. Each connection has a goroutine of its own, so that an answer
// waits neither for other callers nor for requests.
package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// MaxLineBytes bounds a line, its end included.
	MaxLineBytes = 256
	// MaxCalls bounds the connections. A further one takes the place of the oldest that has not sent a whole line.
	MaxCalls = 24
)

// Time limits of a call.
const (
	// lineTimeout is from connecting until the line is there.
	lineTimeout = 5 * time.Second
	// commandTimeout is for what the command does; an answer is due within 1 s of the line.
	commandTimeout = 850 * time.Millisecond
	// answerTimeout is for the caller to take the answer.
	answerTimeout = 2 * time.Second
	// lingerTimeout is for the rest of a line that is too long, of which lingerBytes are read at most.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 10
	// acceptRetryPause is the pause after an accept that failed.
	acceptRetryPause = 10 * time.Millisecond
)

// Service is what commands do. Any goroutine may call it. The caller is told an error as the reason of a NO.
type Service interface {
	// Ready returns why this process can't serve; nil: it can.
	Ready() error
	// Figures returns the figures, one a line.
	Figures() []byte
	// Detach ejects an endpoint. It is done when it returns nil.
	Detach(ctx context.Context, endpoint string) error
	// Attach restores an endpoint. It is done when it returns nil.
	Attach(ctx context.Context, endpoint string) error
}

// Front is the listener and its callers.
type Front struct {
	listener net.Listener
	service  Service
	log      *slog.Logger

	mu sync.Mutex
	// waiting are connections that have not sent a whole line, the oldest first.
	waiting []net.Conn
	// open counts all connections.
	open   int
	closed bool
	wg     sync.WaitGroup
}

// New returns a front on a listener, which it closes.
func New(listener net.Listener, service Service, log *slog.Logger) *Front {
	return &Front{listener: listener, service: service, log: log}
}

// Serve begins to take calls and returns at once.
func (f *Front) Serve() { f.wg.Go(f.accept) }

// Close ends the listener and all calls, and waits for their goroutines.
func (f *Front) Close() {
	closeIgnoring(f.listener)
	f.mu.Lock()
	f.closed = true
	for _, conn := range f.waiting {
		closeIgnoring(conn)
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// closeIgnoring closes what nobody uses any more, so its error says nothing.
func closeIgnoring(c io.Closer) { _ = c.Close() }

// accept takes connections until the listener is closed.
func (f *Front) accept() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn("accept of a control call", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		if f.admit(conn) {
			f.wg.Go(func() { f.call(conn) })
		} else {
			closeIgnoring(conn)
		}
	}
}

// admit takes a connection in. Where there are too many, the one that has waited longest for its line is closed.
func (f *Front) admit(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	if f.open >= MaxCalls {
		if len(f.waiting) == 0 {
			return false
		}
		closeIgnoring(f.waiting[0])
		f.waiting = f.waiting[1:]
		f.open--
	}
	f.open++
	f.waiting = append(f.waiting, conn)
	return true
}

// takeWaiting takes a connection out of those that wait for their line; false: it was closed for another one.
func (f *Front) takeWaiting(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.waiting, conn)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return true
}

// release ends the count of a connection.
func (f *Front) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
}

// call reads one line and answers it. A caller that sends nothing that can be answered gets no answer.
func (f *Front) call(conn net.Conn) {
	defer closeIgnoring(conn)
	setDeadline(conn.SetReadDeadline, lineTimeout)
	line, err := readLine(conn)
	if !f.takeWaiting(conn) {
		return
	}
	defer f.release()
	var answer []byte
	switch {
	case errors.Is(err, errLongLine):
		answer = refusal(err)
	case err != nil:
		return
	default:
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		answer = f.answer(ctx, line)
		cancel()
	}
	setDeadline(conn.SetWriteDeadline, answerTimeout)
	_, _ = conn.Write(answer) // a caller that is gone needs no answer
	if err != nil {
		linger(conn)
	}
}

// setDeadline sets a deadline from now. It fails only on a closed connection, as the next use of that does.
func setDeadline(set func(time.Time) error, timeout time.Duration) { _ = set(time.Now().Add(timeout)) }

// linger reads the rest of a line that is too long: closing on what is still being sent would throw the answer away.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	setDeadline(conn.SetReadDeadline, lingerTimeout)
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}

// errLongLine says that a line is too long.
var errLongLine = fmt.Errorf("the line is longer than %d bytes", MaxLineBytes)

// readLine reads up to the line's end, or to the end of what the caller sends: who closes its side has sent all.
func readLine(conn net.Conn) (string, error) {
	var line [MaxLineBytes]byte
	n := 0
	for {
		m, err := conn.Read(line[n:])
		n += m
		if i := bytes.IndexByte(line[:n], '\n'); i >= 0 {
			return string(line[:i]), nil
		}
		if n == len(line) {
			return "", errLongLine
		}
		if err != nil {
			if n > 0 && errors.Is(err, io.EOF) {
				return string(line[:n]), nil
			}
			return "", err
		}
	}
}
