package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// checkAnswer is the answer to a check.
type checkAnswer struct {
	allowed bool
	status  int
	// policyVersion is the version of the policy that decided. 0 means unknown.
	policyVersion uint64
	// undecided is the reason why there was no decision. Empty means that there was one.
	undecided string
	// rateLimit is the RateLimit header: the remainder of the account's quota.
	rateLimit string
	// retryAfter is how long the client is told to wait, in milliseconds.
	retryAfter string
}

// String implements fmt.Stringer.
func (a checkAnswer) String() string {
	return fmt.Sprintf("status %d, undecided %q, rate limit %q, retry after %q ms",
		a.status, a.undecided, a.rateLimit, a.retryAfter)
}

// Check sends a check of Customer to the gateway and reports whether the request is admitted.
func (d *Door) Check(ctx context.Context, c *http.Client) (bool, error) {
	answer, err := d.check(ctx, c, Key)
	return answer.allowed, err
}

// check sends a check of the account with the given key. It returns errUnexpectedAnswer for a status that neither
// admits nor rejects.
func (d *Door) check(ctx context.Context, c *http.Client, key string) (checkAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr(checkListener)+"/check", nil)
	if err != nil {
		return checkAnswer{}, err
	}
	request.Header = http.Header{
		"Authorization":      {"Bearer " + key},
		"X-Forwarded-Method": {"GET"},
		"X-Forwarded-Host":   {"flags.example.org"},
		"X-Forwarded-Uri":    {"/v1/flags"},
	}
	response, err := c.Do(request)
	if err != nil {
		return checkAnswer{}, err
	}
	_, _ = io.Copy(io.Discard, response.Body) // the answer is in the headers
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return parseCheckAnswer(response), nil
	}
	return checkAnswer{}, fmt.Errorf("%w: %d", errUnexpectedAnswer, response.StatusCode)
}

// parseCheckAnswer parses the status and headers of an answer.
func parseCheckAnswer(response *http.Response) checkAnswer {
	answer := checkAnswer{
		allowed:    response.StatusCode == http.StatusOK,
		status:     response.StatusCode,
		undecided:  response.Header.Get("X-Gapgap-Undecided"),
		rateLimit:  response.Header.Get("RateLimit"),
		retryAfter: response.Header.Get("X-Gapgap-Retry-After-Ms"),
	}
	answer.policyVersion, _ = strconv.ParseUint(response.Header.Get("X-Gapgap-Policy"), 10, 64) // 0 if absent
	return answer
}
