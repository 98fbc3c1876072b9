package extauthz

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gapgap/internal/account"
)

// Names of the header fields of answers, in canonical form.
const (
	// HeaderAccount is the account's name.
	HeaderAccount = "X-Gapgap-Account"
	// HeaderPlan is the name of the account's plan.
	HeaderPlan = "X-Gapgap-Plan"
	// HeaderRequestID is the id of an admitted request, for its end call.
	HeaderRequestID = "X-Gapgap-Request-Id"
	// HeaderRetryAfterMS is the pause of Retry-After, but in milliseconds.
	HeaderRetryAfterMS = "X-Gapgap-Retry-After-Ms"
	// HeaderStatus is the actual status if the dialect can't express it.
	HeaderStatus = "X-Gapgap-Status"
	// HeaderPolicy is the number of the policy version under which the check was decided.
	HeaderPolicy = "X-Gapgap-Policy"
	// HeaderUndecided is an undecidedReason.
	HeaderUndecided = "X-Gapgap-Undecided"
)

// undecidedRetryAfter is the Retry-After of checks that could not be decided.
const undecidedRetryAfter = time.Second

// undecidedReason is why a check was answered without a decision. It is the value of HeaderUndecided.
type undecidedReason string

const (
	// undecidedMemory means that the memory limit had no room for the request.
	undecidedMemory undecidedReason = "memory"
	// undecidedConnections means that the pool's connection limit had no room: see conn.assignTo.
	undecidedConnections undecidedReason = "connections"
	// undecidedPolicy means that the gateway may not decide at present: its decision lease has expired, or its recovery
	// after the start is not complete.
	undecidedPolicy undecidedReason = "policy"
	// undecidedNoAnswer means that the pool's proxy did not decide in time, or that the pool has ended.
	undecidedNoAnswer undecidedReason = "core"
)

// problemType is the type of a problem, as the last part of its URN.
type problemType string

const (
	problemUntrusted   problemType = "untrusted"
	problemHeaders     problemType = "headers"
	problemBody        problemType = "body"
	problemPath        problemType = "path"
	problemMethod      problemType = "method"
	problemID          problemType = "id"
	problemTarget      problemType = "target"
	problemCredential  problemType = "credential"
	problemNoRoute     problemType = "no-route"
	problemNotEntitled problemType = "not-entitled"
	problemUnits       problemType = "units"
	problemRequestID   problemType = "request-id"
	problemQuota       problemType = "quota"
	problemUndecided   problemType = "undecided"
)

// problemURNPrefix precedes the problemType in a URN.
const problemURNPrefix = "urn:gapgap:"

// problemDetails is the body of an answer that does not let a request pass (RFC 9457).
type problemDetails struct {
	// Type is the URN of a problemType.
	Type string `json:"type"`
	// Title is the standard text of Status.
	Title string `json:"title"`
	// Status is the actual HTTP status, even if the dialect can't express it.
	Status int `json:"status"`
	// Detail describes this occurrence in a sentence.
	Detail string `json:"detail"`
}

// emptyBodyLength is the Content-Length of an answer without a body.
var emptyBodyLength = []string{"0"}

// responder writes the answer of one request in the dialect of its route.
type responder struct {
	w      http.ResponseWriter
	shared *Shared
	// route is nil if the request's path has none; no dialect applies then.
	route *Route
}

// allow sends the answer for an admitted request.
func (r *responder) allow(d decision, customer *account.Account) {
	header := r.w.Header()
	setAccount(header, customer)
	setPolicyVersion(header, d.policyVersion)
	header[HeaderRequestID] = []string{r.shared.formatRequestID(d.requestID)}
	setRateLimit(header, customer, d.quota)
	header["Content-Length"] = emptyBodyLength
	r.w.WriteHeader(http.StatusOK)
}

// reject sends the answer for a rejected request, with the pause before a retry. It is the same for all rejections by
// the pool's proxy (quota, ceiling, requests in flight, shed load) and for a check that was repeated too often.
func (r *responder) reject(d decision, customer *account.Account) {
	header := r.w.Header()
	setAccount(header, customer)
	setPolicyVersion(header, d.policyVersion)
	d.quota.Remaining = 0 // units that refill meanwhile are of no use to a client that must wait
	setRateLimit(header, customer, d.quota)
	if d.retryAfter > 0 {
		setRetryAfter(header, d.retryAfter)
	}
	r.problem(http.StatusTooManyRequests, problemQuota, "The account's quota is spent.")
}

// undecided sends the answer for a check that can't be decided: it lets the request pass if Route.AllowUndecided is
// set.
func (r *responder) undecided(reason undecidedReason) {
	header := r.w.Header()
	header[HeaderUndecided] = []string{string(reason)}
	if r.route != nil && r.route.AllowUndecided {
		r.shared.Stats.UndecidedAllowed.Add(1)
		header["Content-Length"] = emptyBodyLength
		r.w.WriteHeader(http.StatusOK)
		return
	}
	r.shared.Stats.UndecidedDenied.Add(1)
	setRetryAfter(header, undecidedRetryAfter)
	r.problem(http.StatusServiceUnavailable, problemUndecided, "The check could not be decided.")
}

// unauthenticated sends the answer for a missing or unknown credential (RFC 6750, section 3).
func (r *responder) unauthenticated() {
	r.w.Header()["Www-Authenticate"] = []string{`Bearer realm="gapgap"`}
	r.problem(http.StatusUnauthorized, problemCredential, "No account is known by this credential.")
}

// problem sends a status with problemDetails. These must not contain anything that a client has sent.
func (r *responder) problem(status int, kind problemType, detail string) {
	// A struct of strings and numbers can always be encoded.
	body, _ := json.Marshal(problemDetails{
		Type:   problemURNPrefix + string(kind),
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
	})
	header := r.w.Header()
	header["Content-Type"] = []string{"application/problem+json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	header["Cache-Control"] = []string{"no-store"}
	r.w.WriteHeader(r.dialectStatus(status))
	_, _ = r.w.Write(body) // fails only if the proxy has gone
}

// dialectStatus returns the status to send in the route's dialect. nginx understands only 2xx, 401 and 403. For any
// other it gets 403, with the actual status in HeaderStatus, which auth_request_set can read.
func (r *responder) dialectStatus(status int) int {
	isNginx := r.route != nil && r.route.Dialect == Nginx
	if !isNginx || status < 300 || status == http.StatusUnauthorized {
		return status
	}
	r.w.Header()[HeaderStatus] = []string{strconv.Itoa(status)}
	return http.StatusForbidden
}

// setAccount sets the header fields with the names of the account and its plan.
func setAccount(header http.Header, customer *account.Account) {
	header[HeaderAccount] = customer.HeaderValues.Name
	header[HeaderPlan] = customer.HeaderValues.Plan
}

// setPolicyVersion sets HeaderPolicy, unless the version is 0.
func setPolicyVersion(header http.Header, version uint64) {
	if version > 0 {
		header[HeaderPolicy] = []string{strconv.FormatUint(version, 10)}
	}
}
