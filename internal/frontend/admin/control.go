// Package admin is the line by which operators call a front door: one line to a connection, one answer. It decides
// nothing; what the calls do is behind [Service]. Each connection has a goroutine of its own, so that an answer waits
// neither for other callers nor for requests.
package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	MostLine   = 256                    // bytes of a call, its end included
	MostCalls  = 24                     // connections at once; for one more the oldest that has not said a whole line goes
	lineWithin = 5 * time.Second        // from connecting, for the whole line
	doWithin   = 850 * time.Millisecond // from the line's end, for what the call does; an answer is due within 1 s
	sentWithin = 2 * time.Second        // for the caller to take the answer

	lingerWithin = 500 * time.Millisecond // for the rest of a line that is too long ...
	lingerBytes  = 64 << 10               // ... and no more of it
)

// Service is what calls do. Any goroutine may call it. An error is told to the caller as the reason of a NO.
type Service interface {
	Ready() error    // why this process can't serve; nil: it can
	Figures() []byte // a line each
	// Detach takes a backend out of use, Attach lets it serve again: done when they return nil.
	Detach(ctx context.Context, backend string) error
	Attach(ctx context.Context, backend string) error
}

// Front is the listener and its callers.
type Front struct {
	ln  net.Listener
	svc Service
	log *slog.Logger

	mu     sync.Mutex
	silent []net.Conn // that have not said a whole line, the oldest first
	held   int
	closed bool
	wg     sync.WaitGroup
}

// New makes a front on a listener, which it closes.
func New(ln net.Listener, svc Service, log *slog.Logger) *Front {
	return &Front{ln: ln, svc: svc, log: log}
}

// Serve begins to take calls, and returns at once.
func (f *Front) Serve() { f.wg.Go(f.accept) }

// Close ends the listener and all calls, and waits for their goroutines.
func (f *Front) Close() {
	f.ln.Close()
	f.mu.Lock()
	f.closed = true
	for _, nc := range f.silent {
		nc.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Front) accept() {
	for {
		nc, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn("accept of a control call", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if f.admit(nc) {
			f.wg.Go(func() { f.call(nc) })
		} else {
			nc.Close()
		}
	}
}

// admit takes a caller in. The one that has been silent longest gives way where there is no place.
func (f *Front) admit(nc net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	if f.held >= MostCalls {
		if len(f.silent) == 0 {
			return false
		}
		f.silent[0].Close()
		f.silent = f.silent[1:]
		f.held--
	}
	f.held++
	f.silent = append(f.silent, nc)
	return true
}

// heard takes a caller out of those that are silent; false: it had to give way.
func (f *Front) heard(nc net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.silent {
		if o == nc {
			f.silent = append(f.silent[:i:i], f.silent[i+1:]...)
			return true
		}
	}
	return false
}

// call reads one line and answers it.
func (f *Front) call(nc net.Conn) {
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(lineWithin))
	line, err := readLine(nc)
	if !f.heard(nc) {
		return
	}
	defer func() {
		f.mu.Lock()
		f.held--
		f.mu.Unlock()
	}()
	var answer []byte
	switch {
	case errors.Is(err, errLong):
		answer = no(err)
	case err != nil:
		return // it said nothing that could be answered
	default:
		ctx, cancel := context.WithTimeout(context.Background(), doWithin)
		answer = f.answer(ctx, line)
		cancel()
	}
	nc.SetWriteDeadline(time.Now().Add(sentWithin))
	nc.Write(answer)
	if half, ok := nc.(interface{ CloseWrite() error }); ok && err != nil && half.CloseWrite() == nil {
		// Closing on what is still being sent would throw the answer away.
		nc.SetReadDeadline(time.Now().Add(lingerWithin))
		io.CopyN(io.Discard, nc, lingerBytes)
	}
}

var errLong = fmt.Errorf("the line is longer than %d bytes", MostLine)

// readLine reads up to the line's end, or to the end of what the caller sends: who closes its side has said all.
func readLine(nc net.Conn) (string, error) {
	var b [MostLine]byte
	n := 0
	for {
		m, err := nc.Read(b[n:])
		n += m
		if i := bytes.IndexByte(b[:n], '\n'); i >= 0 {
			return string(b[:i]), nil
		}
		if n == len(b) {
			return "", errLong
		}
		if err != nil {
			if n > 0 && errors.Is(err, io.EOF) {
				return string(b[:n]), nil
			}
			return "", err
		}
	}
}

// Parse reads a call: a word in any case and, where the call wants one, an ID, which is taken as it is.
func Parse(line string) (word, id string, err error) {
	for _, r := range line {
		if r < ' ' && r != '\t' && r != '\r' || r == 0x7f {
			return "", "", errors.New("the line is not text")
		}
	}
	parts := strings.Fields(line)
	if len(parts) == 0 {
		return "", "", errors.New("the line is empty")
	}
	word = strings.ToUpper(parts[0])
	wants := 0
	switch word {
	case "PING", "INFO":
	case "DETACH", "ATTACH":
		wants = 1
	default:
		return "", "", fmt.Errorf("unknown call %.40q", parts[0])
	}
	switch {
	case len(parts)-1 < wants:
		return "", "", fmt.Errorf("%s wants the ID of a backend", word)
	case len(parts)-1 > wants:
		return "", "", fmt.Errorf("%s is followed by more than it wants", word)
	case wants == 1:
		id = parts[1]
	}
	return word, id, nil
}

func (f *Front) answer(ctx context.Context, line string) []byte {
	word, id, err := Parse(line)
	if err != nil {
		return no(err)
	}
	switch word {
	case "PING":
		err = f.svc.Ready()
	case "INFO":
		return append(f.svc.Figures(), "END\n"...)
	case "DETACH":
		err = f.svc.Detach(ctx, id)
	case "ATTACH":
		err = f.svc.Attach(ctx, id)
	}
	if err != nil {
		return no(err)
	}
	return []byte("YES\n")
}

func no(err error) []byte {
	return []byte("NO " + strings.Join(strings.Fields(err.Error()), " ") + "\n")
}
