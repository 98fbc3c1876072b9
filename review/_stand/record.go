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
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes one event.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f ", float64(time.Since(r.began).Microseconds())/1000)
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// close flushes and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
