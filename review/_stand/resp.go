package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// command encodes a command as an array of bulk strings.
func command(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// readLine reads a line that ends in CRLF, without the end.
func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", fmt.Errorf("line %.40q does not end in CRLF", line)
	}
	return line[:len(line)-2], nil
}

// readBulk reads the rest of a bulk string after its header line.
func readBulk(in *bufio.Reader, header string) (string, error) {
	n, err := strconv.Atoi(header[1:])
	if err != nil || n < 0 || n > 8<<20 {
		return "", fmt.Errorf("header %.40q", header)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	if string(b[n:]) != "\r\n" {
		return "", fmt.Errorf("a bulk string does not end in CRLF")
	}
	return string(b[:n]), nil
}

// readCommand reads a command.
func readCommand(in *bufio.Reader) ([]string, error) {
	header, err := readLine(in)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(header, "*"))
	if err != nil || header[0] != '*' || n < 1 || n > 64 {
		return nil, fmt.Errorf("header %.40q", header)
	}
	words := make([]string, n)
	for i := range words {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if line == "" || line[0] != '$' {
			return nil, fmt.Errorf("item %.40q", line)
		}
		if words[i], err = readBulk(in, line); err != nil {
			return nil, err
		}
	}
	return words, nil
}

// readAnswer reads an answer of a front door. kind is its first byte; text is the value of a bulk string or the line.
func readAnswer(in *bufio.Reader) (kind byte, text string, err error) {
	line, err := readLine(in)
	if err != nil {
		return 0, "", err
	}
	if line == "" {
		return 0, "", fmt.Errorf("empty line")
	}
	if line[0] == '$' && line != "$-1" {
		text, err = readBulk(in, line)
		return '$', text, err
	}
	return line[0], line, nil
}
