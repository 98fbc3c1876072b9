package upstream

import (
	"bytes"

	"github.com/tidwall/redcon"

	"gapgap/internal/balancer"
	"gapgap/internal/resp"
)

// reply is an answer of an endpoint.
type reply struct {
	status balancer.Status
	// value is the value as a bulk string, to be passed on.
	value []byte
	// quotaUsed is one more than the percentage of the quota used; 0: not told.
	quotaUsed int
	// malformed says that it is no answer to a request.
	malformed bool
	// isPong says that it answers a health check.
	isPong bool
	// surplus says that more bytes came with it.
	surplus bool
}

// handleReply takes an answer. A connection on which more came than was asked for is not used again.
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

// isReusable tells whether the connection may carry another command: the last one is written in full, and the
// endpoint is in use and the same process.
func (c *connection) isReusable() bool {
	return c.writeState.Load() == writeComplete && c.endpoint.usable && c.generation == c.endpoint.generation
}

// parseReply reads an answer: an array of the value, the figures on use and the load report, or an error line behind
// whose first word the figures may stand.
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

// parseError reads an error line.
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

// parseArray reads an array.
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

// maxQuotaUsed is more than any percentage that is believed.
const maxQuotaUsed = 1e6

// parseQuotaUsed finds the figure in a list such as used=37,cost=4 and returns one more; 0 if there is none.
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
