package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

const (
	// connectFailureDelay is the time after which a client detects that a gateway is not running.
	connectFailureDelay = 100 * time.Millisecond
	// minRetryDelay is the minimum time between an answer and the client's retry.
	minRetryDelay = 50 * time.Millisecond
	// deadlineMargin is added to a deadline before it is checked, so that an answer exactly at the deadline is seen
	// first.
	deadlineMargin = time.Millisecond
)

// clientRequest is one request of a client, including its retries.
type clientRequest struct {
	// second is the second of the run in which it was first sent.
	second int
	// class is an index into the script's classes.
	class   int
	account *account
	name    string
	// tries counts how often it was sent, including retries.
	tries int
	// answers counts the final answers to the latest try. More than one is a violation of ruleOneFinalAnswer.
	answers int
	// deadline is when the client gives up on the latest try.
	deadline time.Duration
	latest   *simulator.Request
}

// interval draws the time to the next request from an exponential distribution. The rate is in requests per second.
func interval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// beginRequest sends the next request of an account, and schedules the one after it. Its random values depend on the
// account and the number of the request.
func (r *run) beginRequest(sender *account) {
	if r.now() >= r.script.Duration {
		return
	}
	sender.requests++
	rng := r.world.Rand("request", sender.name, sender.requests)
	request := &clientRequest{
		second:  int(r.now() / time.Second),
		class:   r.script.drawClass(rng),
		account: sender,
		name:    fmt.Sprintf("%s/%d", sender.name, sender.requests),
	}
	r.count(request, Tally{Requests: 1, RequestedWeight: r.weight(request)})
	r.send(request)
	rate := sender.group.Rate * sender.rateFactor
	r.world.After(interval(rng, rate), func() { r.beginRequest(sender) })
}

// drawClass draws the index of a class, weighted by the shares.
func (s *Script) drawClass(rng *rand.Rand) int {
	draw := rng.Float64()
	sum := 0.0
	for _, class := range s.Classes {
		sum += class.Share
	}
	draw *= sum
	class := 0
	for class < len(s.Classes)-1 && draw >= s.Classes[class].Share {
		draw -= s.Classes[class].Share
		class++
	}
	return class
}

// count adds a tally to all totals that a request belongs to: its second, class, plan and group of accounts.
func (r *run) count(request *clientRequest, tally Tally) {
	r.report.Seconds[request.second].add(&tally)
	r.classes[request.class].Totals.add(&tally)
	r.plans[request.account.group.Plan].Totals.add(&tally)
	r.accountGroups[request.account.groupIndex].Totals.add(&tally)
}

// endRequest counts the outcome of a request and removes it from the open requests.
func (r *run) endRequest(request *clientRequest, tally Tally) {
	r.count(request, tally)
	delete(r.openRequests, request)
}

// weight returns the priority weight of a request.
func (r *run) weight(request *clientRequest) float64 {
	return r.script.Classes[request.class].PriorityWeight *
		r.script.Plans[request.account.group.Plan].PriorityFactor
}

// send sends a request to one of its account's gateways.
func (r *run) send(request *clientRequest) {
	request.tries++
	request.answers = 0
	group := request.account.group
	class := &r.script.Classes[request.class]
	rng := r.world.Rand("try", request.name, request.tries)
	offset := rng.IntN(cmp.Or(group.Spread, r.script.Gateways))
	gateway := r.world.Gateways[(request.account.firstGateway+offset)%r.script.Gateways]
	request.deadline = r.world.Now + class.ClientTimeout
	sent := &simulator.Request{
		Customer:    request.account.name,
		Name:        request.name,
		Key:         r.idempotencyKey(request),
		Class:       request.class,
		Plan:        group.Plan,
		Units:       1,
		TimeLeft:    class.ClientTimeout,
		Gateways:    group.Spread,
		ClientRetry: request.tries > 1,
		Owner:       request,
	}
	request.latest = sent
	r.openRequests[request] = true
	if !gateway.Submit(sent) {
		r.world.After(connectFailureDelay, func() { r.retryOrEnd(request, 0, simulator.Failed) })
		return
	}
	r.world.At(request.deadline+deadlineMargin, func() { r.checkAnswered(request, sent) })
}

// idempotencyKey returns the key of the latest try, or an empty string if its class has none.
func (r *run) idempotencyKey(request *clientRequest) string {
	switch {
	case r.script.Classes[request.class].Idempotency != balancer.IdempotentByKey:
		return ""
	case r.script.RetryWithSameKey:
		return request.name
	}
	return request.name + fmt.Sprint("#", request.tries)
}

// requestDone handles the final answer to a try. Answers to earlier tries are ignored.
func (r *run) requestDone(sent *simulator.Request, outcome simulator.Outcome) {
	request := sent.Owner.(*clientRequest)
	if request.latest != sent {
		return
	}
	request.answers++
	if request.answers > 1 {
		r.violation(ruleOneFinalAnswer, "%s was answered %d times", request.name, request.answers)
		return
	}
	if r.world.Now > request.deadline {
		r.violation(ruleNoRequestLost, "%s was answered %v after its deadline", request.name,
			r.world.Now-request.deadline)
	}
	if outcome != simulator.Served {
		r.retryOrEnd(request, sent.RetryAfter, outcome)
		return
	}
	if r.world.Now-sent.At <= r.script.Classes[request.class].LatencyObjective {
		r.endRequest(request, Tally{InTime: 1, ServedWeight: r.weight(request)})
	} else {
		r.endRequest(request, Tally{Late: 1})
	}
}

// retryOrEnd schedules the client's retry, or ends the request if no retries are left or the run is over.
func (r *run) retryOrEnd(request *clientRequest, retryAfter time.Duration, outcome simulator.Outcome) {
	if !r.openRequests[request] {
		return
	}
	if request.tries <= r.script.Retries && r.now() < r.script.Duration {
		r.world.After(max(retryAfter, minRetryDelay), func() {
			if r.openRequests[request] {
				r.send(request)
			}
		})
		return
	}
	if outcome == simulator.Rejected {
		r.endRequest(request, Tally{Rejected: 1})
	} else {
		r.endRequest(request, Tally{Failed: 1})
	}
}
