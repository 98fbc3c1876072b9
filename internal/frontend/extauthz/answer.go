package extauthz

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/balancer"
	"gapgap/internal/proxy"
)

// Names of the fields that answers carry, in canonical form.
const (
	HeaderAccount      = "X-Gapgap-Account"
	HeaderPlan         = "X-Gapgap-Plan"
	HeaderRequestID    = "X-Gapgap-Request-Id"
	HeaderRetryAfterMS = "X-Gapgap-Retry-After-Ms"
	HeaderStatus       = "X-Gapgap-Status"    // the true status, where the dialect has no room for it
	HeaderPolicy       = "X-Gapgap-Policy"    // the version of the fleet's policy by which it was decided
	HeaderUndecided    = "X-Gapgap-Undecided" // why a check passed or not without a decision
)

// comeBack is the pause for which a client is asked that got no decision.
const comeBack = time.Second

// answer writes the one answer of a check in its dialect.
type answer struct {
	w     http.ResponseWriter
	fr    *Front
	rt    *Route // nil: no dialect is known
	acct  *account.Account
	plans []balancer.Plan // of the pool
	held  *charge         // what the check costs
}

// status is how a status is said in the dialect. Of nginx's auth_request only 2xx, 401 and 403 are understood; the true
// status goes into a field, which auth_request_set can read.
func (a answer) status(code int) int {
	if a.rt != nil && a.rt.Dialect == Nginx && code >= 300 && code != http.StatusUnauthorized {
		a.w.Header()[HeaderStatus] = []string{strconv.Itoa(code)}
		return http.StatusForbidden
	}
	return code
}

// allowed says that the request may pass.
func (a answer) allowed(o outcome) {
	h := a.w.Header()
	a.who(h)
	o.by(h)
	h[HeaderRequestID] = []string{a.fr.s.requestID(o.id)}
	a.quota(h, o)
	h["Content-Length"] = zero
	a.w.WriteHeader(http.StatusOK)
}

// refused says that it may not, and when to come back.
func (a answer) refused(o outcome) {
	h := a.w.Header()
	a.who(h)
	o.by(h)
	o.quota.Remaining = 0 // a share that fills meanwhile is of no use to who must stay away
	a.quota(h, o)
	if o.pause > 0 {
		retryAfter(h, o.pause)
	}
	a.problem(http.StatusTooManyRequests, "quota", "The account's quota is spent.")
}

// undecided does what the operator chose for a check that can't be decided.
func (a answer) undecided(why string) {
	h := a.w.Header()
	h[HeaderUndecided] = []string{why}
	if a.rt != nil && a.rt.AllowUndecided {
		a.fr.s.Figures.UndecidedAllowed.Add(1)
		h["Content-Length"] = []string{"0"}
		a.w.WriteHeader(http.StatusOK)
		return
	}
	a.fr.s.Figures.UndecidedDenied.Add(1)
	retryAfter(h, comeBack)
	a.problem(http.StatusServiceUnavailable, "undecided", "The check could not be decided.")
}

// unauthenticated says that nobody is known by what was shown (RFC 6750, 3).
func (a answer) unauthenticated() {
	a.w.Header()["Www-Authenticate"] = []string{`Bearer realm="gapgap"`}
	a.problem(http.StatusUnauthorized, "credential", "No account is known by this credential.")
}

// by tells the version of the policy, where there is one for the fleet.
func (o *outcome) by(h http.Header) {
	if o.version > 0 {
		h[HeaderPolicy] = []string{strconv.FormatUint(o.version, 10)}
	}
}

func (a answer) who(h http.Header) {
	if a.acct != nil {
		h[HeaderAccount], h[HeaderPlan] = a.acct.Said.Name, a.acct.Said.Plan
	}
}

// retryAfter tells a pause: in whole seconds, rounded up, and exactly.
func retryAfter(h http.Header, pause time.Duration) {
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	h["Retry-After"] = []string{strconv.FormatInt(int64((ms+999)/1000), 10)}
	h[HeaderRetryAfterMS] = []string{strconv.FormatInt(int64(ms), 10)}
}

// Policies are the values of RateLimit-Policy for plans that have a quota: the burst, over the time in which it fills.
func Policies(names []string, plans []balancer.Plan) map[string][]string {
	all := map[string][]string{}
	for i, p := range plans {
		if p.Rate > 0 && p.Burst > 0 {
			all[names[i]] = []string{fmt.Sprintf(`"%s";q=%d;w=%d`, names[i], int64(p.Burst), max(1, int64(math.Ceil(p.Burst/p.Rate))))}
		}
	}
	return all
}

var zero = []string{"0"}

// quota tells how the account stands, in the fields of draft-ietf-httpapi-ratelimit-headers: the plan's burst over the
// time in which it fills, what is left of it, and when it is full again.
func (a answer) quota(h http.Header, o outcome) {
	if a.acct == nil || !o.quota.Told {
		return
	}
	if a.acct.Said.Policy == nil {
		return
	}
	h["Ratelimit-Policy"] = a.acct.Said.Policy
	var room [96]byte
	b := append(append(append(room[:0], '"'), a.acct.PlanName...), `";r=`...)
	b = strconv.AppendInt(b, int64(o.quota.Remaining), 10)
	b = strconv.AppendInt(append(b, ";t="...), int64(math.Ceil(o.quota.FullIn.Seconds())), 10)
	h["Ratelimit"] = []string{string(b)}
}

// problemBody is a body of RFC 9457.
type problemBody struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// problem answers with a status and its reason. Nothing that a client sent is repeated but where an error names a field.
func (a answer) problem(code int, kind, detail string) {
	body, _ := json.Marshal(problemBody{"urn:gapgap:" + kind, http.StatusText(code), code, detail})
	h := a.w.Header()
	h["Content-Type"] = []string{"application/problem+json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	h["Cache-Control"] = []string{"no-store"}
	a.w.WriteHeader(a.status(code))
	a.w.Write(body)
}

var _ proxy.Frontend = (*Front)(nil)
