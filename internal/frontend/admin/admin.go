// Package admin serves the control protocol by which operators command a gateway: a connection carries one line with a
// command and one answer. What the commands do is implemented by a Service. Each connection has its own goroutine, so
// that an answer waits neither for other callers nor for client requests.
package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"gapgap/internal/socket"
)

const (
	// MaxLineBytes is the maximum length of a line, including its end.
	MaxLineBytes = 256
	// MaxConnections is the maximum number of connections. A further one replaces the oldest that has not sent a whole
	// line.
	MaxConnections = 24
)

// Time limits of a connection.
const (
	// lineTimeout is how long the line may take to arrive after connecting.
	lineTimeout = 5 * time.Second
	// lateLineTimeout is how long a line is still read that has arrived by the end of lineTimeout.
	lateLineTimeout = 10 * time.Millisecond
	// commandTimeout is how long a command may take. An answer must be sent within 1 s of the line.
	commandTimeout = 850 * time.Millisecond
	// answerTimeout is how long writing the answer may take.
	answerTimeout = 2 * time.Second
	// lingerTimeout is how long the rest of a line that is too long is read, up to lingerBytes.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 10
	// acceptRetryPause is the pause after Accept has failed.
	acceptRetryPause = 10 * time.Millisecond
)

// Service implements the commands. Any goroutine may call it. The text of an error follows the NO of the answer.
type Service interface {
	// Ready returns nil if this process can serve, or else why it can't.
	Ready() error
	// Figures returns the statistics, one per line.
	Figures() []byte
	// Detach ejects an endpoint administratively. If it returns nil, the endpoint is ejected.
	Detach(ctx context.Context, endpoint string) error
	// Attach restores an endpoint. If it returns nil, the endpoint is restored.
	Attach(ctx context.Context, endpoint string) error
}

// Frontend serves the control protocol on one listener.
type Frontend struct {
	listener net.Listener
	service  Service
	log      *slog.Logger

	mu sync.Mutex
	// waiting has the connections that have not sent a whole line, oldest first.
	waiting []net.Conn
	// open is the number of all connections.
	open   int
	closed bool
	wg     sync.WaitGroup
}

// New returns a Frontend on a listener, which it closes.
func New(listener net.Listener, service Service, log *slog.Logger) *Frontend {
	return &Frontend{listener: listener, service: service, log: log}
}

// Serve starts to accept connections and returns at once.
func (f *Frontend) Serve() { f.wg.Go(f.accept) }

// Close closes the listener, ends the waiting connections for reading, and waits for all goroutines. Lines that have
// arrived are still answered.
func (f *Frontend) Close() {
	closeQuietly(f.listener)
	f.mu.Lock()
	f.closed = true
	for _, conn := range f.waiting {
		setDeadline(conn.SetReadDeadline, 0)
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// closeQuietly closes something that is no longer used, so an error does not matter.
func closeQuietly(c io.Closer) { _ = c.Close() }

// accept accepts connections until the listener is closed.
func (f *Frontend) accept() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn("control connection not accepted", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		if f.admit(conn) {
			f.wg.Go(func() { f.handle(conn) })
		} else {
			closeQuietly(conn)
		}
	}
}

// admit counts a new connection and reports whether it may stay. If there are too many, the one that has waited longest
// for its line is ended for reading: a line that has arrived is still answered.
func (f *Frontend) admit(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	if f.open >= MaxConnections {
		if len(f.waiting) == 0 {
			return false
		}
		setDeadline(f.waiting[0].SetReadDeadline, 0)
		f.waiting = f.waiting[1:]
		f.open--
	}
	f.open++
	f.waiting = append(f.waiting, conn)
	return true
}

// removeWaiting ends the wait for a connection's line. It returns false if admit has ended the connection for reading
// and no longer counts it.
func (f *Frontend) removeWaiting(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.waiting, conn)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return true
}

// release ends the counting of a connection.
func (f *Frontend) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
}

// handle reads one line and answers it. A caller that sends no line gets no answer.
func (f *Frontend) handle(conn net.Conn) {
	defer closeQuietly(conn)
	setDeadline(conn.SetReadDeadline, lineTimeout)
	line, err := readLine(conn)
	if f.removeWaiting(conn) {
		defer f.release()
	}
	var answer []byte
	switch {
	case errors.Is(err, errLineTooLong):
		answer = errorAnswer(err)
	case err != nil:
		return
	default:
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		answer = f.answer(ctx, line)
		cancel()
	}
	setDeadline(conn.SetWriteDeadline, answerTimeout)
	_, _ = conn.Write(answer) // fails only if the caller has gone
	if err != nil {
		linger(conn)
	}
}

// setDeadline sets a deadline relative to now. An error is ignored: it means that the connection is closed, and the
// next read or write returns it too.
func setDeadline(set func(time.Time) error, timeout time.Duration) { _ = set(time.Now().Add(timeout)) }

// linger reads the rest of a line that is too long. Closing the connection with unread input would reset it, and the
// caller could lose the answer.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	setDeadline(conn.SetReadDeadline, lingerTimeout)
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}

// errLineTooLong means that a line exceeds MaxLineBytes.
var errLineTooLong = fmt.Errorf("the line is longer than %d bytes", MaxLineBytes)

// readLine reads up to the end of the line or of the input: a caller may close its sending side in place of a line end.
func readLine(conn net.Conn) (string, error) {
	var line [MaxLineBytes]byte
	n := 0
	for {
		m, err := conn.Read(line[n:])
		if m == 0 && errors.Is(err, os.ErrDeadlineExceeded) && socket.ReceiveQueue(conn) > 0 {
			// The line has arrived while this goroutine was late.
			setDeadline(conn.SetReadDeadline, lateLineTimeout)
			m, err = conn.Read(line[n:])
		}
		n += m
		if i := bytes.IndexByte(line[:n], '\n'); i >= 0 {
			return string(line[:i]), nil
		}
		if n == len(line) {
			return "", errLineTooLong
		}
		if err != nil {
			if n > 0 && errors.Is(err, io.EOF) {
				return string(line[:n]), nil
			}
			return "", err
		}
	}
}
