package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// command encodes a RESP2 command.
func command(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// answer is a client's answer: the kind is that of its first byte. For an array it has the first bulk string.
type answer struct {
	kind byte
	text string
}

func (a answer) served() bool  { return a.kind == '$' }
func (a answer) refused() bool { return a.kind == '-' && strings.HasPrefix(a.text, "BUSY") }

// outcome names the outcome as PROTOCOL-gapgap.md does.
func (a answer) outcome() string {
	switch {
	case a.served():
		return "served"
	case a.refused():
		return "refused"
	}
	return "failed"
}

// conn is a client's connection.
type conn struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReaderSize(c, 64<<10)}, nil
}

func (c *conn) close()               { c.Conn.Close() }
func (c *conn) write(b []byte) error { _, err := c.Conn.Write(b); return err }

// readAnswer reads one answer within a time.
func (c *conn) readAnswer(limit time.Duration) (answer, error) {
	c.SetReadDeadline(time.Now().Add(limit))
	return readAnswer(c.in)
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}

func readAnswer(in *bufio.Reader) (answer, error) {
	line, err := readLine(in)
	if err != nil || line == "" {
		return answer{}, errors.Join(err, fmt.Errorf("line %q", line))
	}
	switch line[0] {
	case '$':
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 {
			return answer{'-', "null"}, err
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return answer{}, err
		}
		return answer{'$', string(b[:n])}, nil
	case '*':
		n, _ := strconv.Atoi(line[1:])
		var first answer
		for i := range n {
			a, err := readAnswer(in)
			if err != nil {
				return answer{}, err
			}
			if i == 0 {
				first = a
			}
		}
		return first, nil
	}
	return answer{line[0], line[1:]}, nil
}

// readCommand reads one command of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(line, "*"))
	if err != nil {
		return nil, fmt.Errorf("not a command: %q", line)
	}
	words := make([]string, 0, n)
	for range n {
		a, err := readAnswer(in)
		if err != nil {
			return nil, err
		}
		words = append(words, a.text)
	}
	return words, nil
}

// list is the list of names and values of a request.
func list(class, plan string, deadline time.Duration, more ...string) string {
	words := []string{"c=" + class, "t=" + plan, fmt.Sprintf("d=%d", deadline.Milliseconds())}
	words = append(words, more...)
	return strings.Join(append(words, "units=1"), ",")
}

// field returns the value of a name in such a list.
func field(list, name string) string {
	for _, item := range strings.Split(list, ",") {
		if v, ok := strings.CutPrefix(item, name+"="); ok {
			return v
		}
	}
	return ""
}

// value is a backend's answer that serves a request, without a load report.
func value(text string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
}
