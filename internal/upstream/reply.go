package upstream

import (
	"bytes"

	"github.com/tidwall/redcon"

	"gapgap/internal/balancer"
	"gapgap/internal/resp"
)

// reply is a parsed answer of an endpoint.
type reply struct {
	status balancer.Status
	// value is the value as a bulk string, ready to be forwarded.
	value []byte
	// quotaUsed is the percentage of the quota used plus one. 0 means that the endpoint did not report it.
	quotaUsed int
	// malformed reports that this is not a valid answer to a request.
	malformed bool
	// isPong reports that this is the answer to a health check.
	isPong bool
	// surplus reports that more bytes were received than this answer.
	surplus bool
}

// handleReply handles an answer. A connection that received more than was asked for is not reused.
func (p *Pool) handleReply(c *connection, r reply) {
	if c.closed {
		return
	}
	attempt := c.attempt
	check := c.healthCheck
	c.attempt = nil
	c.healthCheck = nil
	if attempt != nil {
		attempt.connection = nil
		if r.malformed {
			r.status = balancer.Failed
		}
	}
	now := p.loop.Now()
	c.endpoint.lastAnswerAt = now
	isExpected := attempt != nil && !r.malformed || check != nil && (!r.malformed || r.isPong)
	if isExpected && !r.surplus && c.isReusable() {
		c.idleAt = now
		c.endpoint.idle = append(c.endpoint.idle, c)
	} else {
		c.endpoint.removeIdle(c)
		p.close(c)
		p.forgetIfUnused(c.endpoint)
	}
	if check != nil {
		p.finishHealthCheck(check, r.status)
	}
	if attempt != nil {
		attempt.end(Result{Status: r.status, Value: r.value, QuotaUsed: r.quotaUsed})
	}
}

// isReusable reports whether the connection may carry another command: the last command was written in full, and the
// endpoint is in use and still the same process.
func (c *connection) isReusable() bool {
	return c.writeState.Load() == writeComplete && c.endpoint.usable && c.generation == c.endpoint.generation
}

// parseReply parses an answer. It is either an array of the value, the usage figures and the load report, or an error
// line, which may contain the usage figures after its first word.
func parseReply(message redcon.RESP) reply {
	switch message.Type {
	case redcon.Error:
		return parseError(message.Data)
	case redcon.String:
		return reply{status: balancer.OK, malformed: true, isPong: true}
	case redcon.Array:
		return parseArray(message)
	}
	return reply{status: balancer.Failed, malformed: true}
}

// parseError parses an error line.
func parseError(line []byte) reply {
	r := reply{status: balancer.Failed}
	word, _, _ := bytes.Cut(line, []byte{' '})
	switch string(word) {
	case "BUSY":
		r.status = balancer.Rejected
	case "ERR":
	default:
		r.malformed = true
	}
	for word := range bytes.SplitSeq(line, []byte{' '}) {
		if n := parseQuotaUsed(word); n > 0 {
			r.quotaUsed = n
		}
	}
	return r
}

// parseArray parses an array.
func parseArray(message redcon.RESP) reply {
	r := reply{status: balancer.Failed, malformed: true}
	i := 0
	message.ForEach(func(item redcon.RESP) bool {
		switch {
		case i == 0 && item.Type == redcon.Bulk && item.Data != nil:
			r.status = balancer.OK
			r.malformed = false
			r.value = bytes.Clone(item.Raw)
		case i == 1 && item.Type == redcon.Bulk:
			r.quotaUsed = parseQuotaUsed(item.Data)
		}
		i++
		return true
	})
	return r
}

// maxQuotaUsed is the lower bound of the percentages that are ignored as implausible.
const maxQuotaUsed = 1e6

// parseQuotaUsed parses the quota figure in a list such as used=37,cost=4. It returns the percentage plus one, or 0 if
// there is none.
func parseQuotaUsed(list []byte) int {
	for item := range bytes.SplitSeq(list, []byte{','}) {
		value, ok := bytes.CutPrefix(item, []byte("used="))
		if !ok {
			continue
		}
		if n, ok := resp.ParseDecimal(string(value)); ok && n < maxQuotaUsed {
			return int(n) + 1
		}
	}
	return 0
}
