package counter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"

	"gapgap/internal/balancer"
)

// maxAnswerBytes bounds the length of an answer line.
const maxAnswerBytes = 256

// errMalformed is wrapped by the errors for an answer that cannot be parsed.
var errMalformed = errors.New("counter: malformed answer")

// read reads answers until the connection ends or an answer is malformed. It runs in the reader goroutine. A malformed
// answer still shows that the counter has executed the oldest call, with an unknown total.
func (c *connection) read(netConn net.Conn, epoch int) {
	in := bufio.NewReaderSize(netConn, maxAnswerBytes)
	for {
		status, total, err := readAnswer(in)
		switch {
		case err == nil:
			c.counter.loop.Post(func() { c.handleAnswer(epoch, status, total) })
			continue
		case errors.Is(err, errMalformed):
			c.counter.loop.Post(func() {
				c.handleAnswer(epoch, balancer.Failed, 0)
				c.fail(epoch)
			})
		default:
			c.counter.loop.Post(func() { c.fail(epoch) })
		}
		return
	}
}

// readAnswer reads one answer. A line that is too long or incomplete is malformed.
func readAnswer(in *bufio.Reader) (balancer.Status, float64, error) {
	line, err := in.ReadSlice('\n')
	switch {
	case err == nil:
		return parseAnswer(line)
	case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF) && len(line) > 0:
		return 0, 0, errMalformed
	}
	return 0, 0, err
}

// parseAnswer parses an answer line.
func parseAnswer(line []byte) (balancer.Status, float64, error) {
	line = bytes.TrimRight(line, "\r\n")
	if value, ok := bytes.CutPrefix(line, []byte("ok ")); ok {
		total, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return 0, 0, fmt.Errorf("%w: total %.40q", errMalformed, value)
		}
		return balancer.OK, total, nil
	}
	switch string(line) {
	case "busy", "error":
		return balancer.Rejected, 0, nil
	}
	return 0, 0, fmt.Errorf("%w: %.40q", errMalformed, line)
}
