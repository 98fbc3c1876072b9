package flagserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxLength is the maximum length of an array and of a bulk string.
const maxLength = 1 << 20

// errMalformed reports that a command is not an array of bulk strings, or exceeds maxLength.
var errMalformed = errors.New("malformed command")

// readCommand reads an array of bulk strings. It returns errMalformed or an error of the connection.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil {
		return nil, err
	}
	arguments := make([]string, 0, count)
	for range count {
		argument, err := readBulkString(reader)
		if err != nil {
			return nil, err
		}
		arguments = append(arguments, argument)
	}
	return arguments, nil
}

// readBulkString reads one bulk string, including its length and the line ending.
func readBulkString(reader *bufio.Reader) (string, error) {
	size, err := readLength(reader, '$')
	if err != nil {
		return "", err
	}
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, value); err != nil {
		return "", err
	}
	return string(value[:size]), nil
}

// readLength reads a line that consists of a prefix and a number from 0 to maxLength.
func readLength(reader *bufio.Reader, prefix byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != prefix {
		return 0, fmt.Errorf("%w: line %q is not a length with the prefix %q", errMalformed, line, prefix)
	}
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 || length > maxLength {
		return 0, fmt.Errorf("%w: invalid length %q", errMalformed, line)
	}
	return length, nil
}
