package wire

import (
	"strconv"

	"gapgap/internal/balancer"
)

// Append appends the line of one action of an instance.
func Append(b []byte, instance string, a balancer.Action) []byte {
	num := func(v int64) { b = strconv.AppendInt(append(b, ' '), v, 10) }
	id := func(v uint64) { b = strconv.AppendUint(append(b, ' '), v, 10) }
	begin := func(name string) { b = append(append(append(b, name...), ' '), instance...) }
	switch a := a.(type) {
	case balancer.Dispatch:
		begin("HAND_OFF")
		id(a.ID)
		num(a.Timeout.Microseconds())
		b = append(append(b, ' '), a.Endpoint...)
	case balancer.Reject:
		begin("TURN_AWAY")
		id(a.ID)
		num(a.RetryAfter.Microseconds())
	case balancer.Fail:
		begin("SURRENDER")
		id(a.ID)
	case balancer.CancelAttempt:
		begin("WITHDRAW")
		id(a.ID)
		num(int64(a.Attempt))
	case balancer.HealthCheck:
		begin("SAMPLE")
		b = append(append(b, ' '), a.Endpoint...)
	case balancer.CounterAdd:
		begin("CHARGE_COUNTER")
		id(a.Name)
		b = strconv.AppendFloat(append(b, ' '), a.Amount, 'f', -1, 64)
		num(a.TTL.Microseconds())
	case balancer.SetTimer:
		begin("REMIND")
		num(a.At.Microseconds())
		id(a.Cookie)
	case balancer.WatchEndpoints:
		begin("OBSERVE")
		num(1)
	case balancer.FetchEndpoints:
		begin("PULL")
	case balancer.HealthReport:
		return b // not sent: the simulator's gateways share no process
	case balancer.LogLine:
		begin("JOURNAL_LINE")
		b = append(append(b, ' '), a.Text...)
	}
	return append(b, '\n')
}
