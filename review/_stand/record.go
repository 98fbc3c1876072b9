package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes one line for each event to a file, with the time since the start in milliseconds.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	// forwarded has the ids of the requests that have come to a backend.
	forwarded map[string]bool
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file), forwarded: map[string]bool{}}, nil
}

// line writes one event.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f ", float64(time.Since(r.began).Microseconds())/1000)
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// sentOn records that a request has come to a backend.
func (r *record) sentOn(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwarded[id] = true
}

// isLost reports whether a request with this outcome is lost by the pages. A request whose connection was closed with no
// answer counts only if the front door had read it and sent it on: one that crosses a close unread is no loss.
func (r *record) isLost(id string, o outcome) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return o == closed && r.forwarded[id] || o == wrong || o == incomplete || o == silent
}

// close flushes and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
