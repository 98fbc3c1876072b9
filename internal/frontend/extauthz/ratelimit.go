package extauthz

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/balancer"
	"gapgap/internal/proxy"
)

// Policies returns the values of the RateLimit-Policy header by plan name, for plans with a quota: the burst, and the
// seconds in which it refills. names has the plans' names in the order of plans.
func Policies(names []string, plans []balancer.Plan) map[string][]string {
	policies := map[string][]string{}
	for i, plan := range plans {
		if plan.Rate <= 0 || plan.Burst <= 0 {
			continue
		}
		window := max(1, int64(math.Ceil(plan.Burst/plan.Rate)))
		policies[names[i]] = []string{fmt.Sprintf(`"%s";q=%d;w=%d`, names[i], int64(plan.Burst), window)}
	}
	return policies
}

// setRateLimit sets the header fields of draft-ietf-httpapi-ratelimit-headers: the plan's policy, the remaining units,
// and the seconds until the quota is full again. It does nothing if there is no quota or its state is unknown.
func setRateLimit(header http.Header, customer *account.Account, quota proxy.Quota) {
	if !quota.Told || customer.HeaderValues.Policy == nil {
		return
	}
	header["Ratelimit-Policy"] = customer.HeaderValues.Policy
	var buffer [96]byte
	text := append(buffer[:0], '"')
	text = append(text, customer.PlanName...)
	text = append(text, `";r=`...)
	text = strconv.AppendInt(text, int64(quota.Remaining), 10)
	text = append(text, ";t="...)
	text = strconv.AppendInt(text, int64(math.Ceil(quota.FullIn.Seconds())), 10)
	header["Ratelimit"] = []string{string(text)}
}

// setRetryAfter sets the header fields for a pause before a retry, in seconds and in milliseconds, both rounded up.
func setRetryAfter(header http.Header, pause time.Duration) {
	milliseconds := int64((pause + time.Millisecond - 1) / time.Millisecond)
	seconds := (milliseconds + 999) / 1000
	header["Retry-After"] = []string{strconv.FormatInt(seconds, 10)}
	header[HeaderRetryAfterMS] = []string{strconv.FormatInt(milliseconds, 10)}
}
