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
	// HeaderAccount has the account's name.
	HeaderAccount = "X-Gapgap-Account"
	// HeaderPlan has the name of the account's plan.
	HeaderPlan = "X-Gapgap-Plan"
	// HeaderRequestID has the id of an admitted request, for its end call.
	HeaderRequestID = "X-Gapgap-Request-Id"
	// HeaderRetryAfterMS has the same pause as Retry-After in milliseconds.
	HeaderRetryAfterMS = "X-Gapgap-Retry-After-Ms"
	// HeaderStatus has the true status where the dialect can't express it.
	HeaderStatus = "X-Gapgap-Status"
	// HeaderPolicy has the number of the policy version of all gateways that the check was decided by.
	HeaderPolicy = "X-Gapgap-Policy"
	// HeaderUndecided has an undecidedReason.
	HeaderUndecided = "X-Gapgap-Undecided"
)

// undecidedRetryAfter is how long a client is asked to wait whose check could not be decided.
const undecidedRetryAfter = time.Second

// undecidedReason says why a check was answered without a decision. It is the value of HeaderUndecided.
type undecidedReason string

const (
	// undecidedMemory means that there was no memory left for the request.
	undecidedMemory undecidedReason = "memory"
	// undecidedConnections means that the pool had no room for the connection: see conn.assignTo.
	undecidedConnections undecidedReason = "connections"
	// undecidedPolicy means that the gateway may not decide now: its right to decide by its policy version has lapsed,
	// or its recovery after the start has not come to its end.
	undecidedPolicy undecidedReason = "policy"
	// undecidedNoAnswer means that the pool's proxy gave no decision in time, or that the pool has ended.
	undecidedNoAnswer undecidedReason = "core"
)

// problemType is the kind of a problem, the last part of its URN.
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

// problemURNPrefix comes before the problemType.
const problemURNPrefix = "urn:gapgap:"

// problemDetails is the body of an answer that does not allow a request (RFC 9457).
type problemDetails struct {
	// Type is the URN of a problemType.
	Type string `json:"type"`
	// Title is the text of Status.
	Title string `json:"title"`
	// Status is the true HTTP status, also where the dialect can't express it.
	Status int `json:"status"`
	// Detail is a sentence on this occurrence.
	Detail string `json:"detail"`
}

// emptyBodyLength is the Content-Length of an answer without a body.
var emptyBodyLength = []string{"0"}

// responder writes the one answer of a request in the dialect of its route.
type responder struct {
	w      http.ResponseWriter
	shared *Shared
	// route is nil if no dialect is known.
	route *Route
}

// allow answers that the request may pass.
func (r *responder) allow(d decision, customer *account.Account) {
	header := r.w.Header()
	setAccount(header, customer)
	setPolicyVersion(header, d.policyVersion)
	header[HeaderRequestID] = []string{r.shared.formatRequestID(d.requestID)}
	setRateLimit(header, customer, d.quota)
	header["Content-Length"] = emptyBodyLength
	r.w.WriteHeader(http.StatusOK)
}

// reject answers that the request may not pass, and when to try again. It is the answer to all rejections by the pool's
// proxy (quota, ceiling, requests in flight, shed load) and to a check that was repeated too often; it does not tell
// them apart.
func (r *responder) reject(d decision, customer *account.Account) {
	header := r.w.Header()
	setAccount(header, customer)
	setPolicyVersion(header, d.policyVersion)
	d.quota.Remaining = 0 // what refills until then is of no use to a client that must wait
	setRateLimit(header, customer, d.quota)
	if d.retryAfter > 0 {
		setRetryAfter(header, d.retryAfter)
	}
	r.problem(http.StatusTooManyRequests, problemQuota, "The account's quota is spent.")
}

// undecided answers a check that can't be decided as Route.AllowUndecided says.
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

// unauthenticated answers that no account has the credential (RFC 6750, section 3).
func (r *responder) unauthenticated() {
	r.w.Header()["Www-Authenticate"] = []string{`Bearer realm="gapgap"`}
	r.problem(http.StatusUnauthorized, problemCredential, "No account is known by this credential.")
}

// problem answers with a status and its reason. Nothing that a client sent is repeated in it.
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

// dialectStatus returns the status to send in the route's dialect. nginx understands 2xx, 401 and 403 only: in place of
// any other it is sent 403, with the true status in HeaderStatus, which auth_request_set can read.
func (r *responder) dialectStatus(status int) int {
	isNginx := r.route != nil && r.route.Dialect == Nginx
	if !isNginx || status < 300 || status == http.StatusUnauthorized {
		return status
	}
	r.w.Header()[HeaderStatus] = []string{strconv.Itoa(status)}
	return http.StatusForbidden
}

// setAccount sets the fields that name the account and its plan.
func setAccount(header http.Header, customer *account.Account) {
	header[HeaderAccount] = customer.HeaderValues.Name
	header[HeaderPlan] = customer.HeaderValues.Plan
}

// setPolicyVersion sets HeaderPolicy unless the version is 0.
func setPolicyVersion(header http.Header, version uint64) {
	if version > 0 {
		header[HeaderPolicy] = []string{strconv.FormatUint(version, 10)}
	}
}
