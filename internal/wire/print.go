package wire

import (
	"strconv"

	"gapgap/internal/balancer"
)

// Append prints one action of an instance as a line.
func Append(b []byte, door string, a balancer.Action) []byte {
	num := func(v int64) { b = strconv.AppendInt(append(b, ' '), v, 10) }
	id := func(v uint64) { b = strconv.AppendUint(append(b, ' '), v, 10) }
	head := func(name string) { b = append(append(append(b, name...), ' '), door...) }
	switch a := a.(type) {
	case balancer.Dispatch:
		head("HAND_OFF")
		id(a.ID)
		num(a.Timeout.Microseconds())
		b = append(append(b, ' '), a.Endpoint...)
	case balancer.Reject:
		head("TURN_AWAY")
		id(a.ID)
		num(a.RetryAfter.Microseconds())
	case balancer.Fail:
		head("SURRENDER")
		id(a.ID)
	case balancer.CancelAttempt:
		head("WITHDRAW")
		id(a.ID)
		num(int64(a.Attempt))
	case balancer.HealthCheck:
		head("SAMPLE")
		b = append(append(b, ' '), a.Endpoint...)
	case balancer.CounterAdd:
		head("CHARGE_COUNTER")
		id(a.Name)
		b = strconv.AppendFloat(append(b, ' '), a.Amount, 'f', -1, 64)
		num(a.TTL.Microseconds())
	case balancer.SetTimer:
		head("REMIND")
		num(a.At.Microseconds())
		id(a.Cookie)
	case balancer.WatchEndpoints:
		head("OBSERVE")
		num(1)
	case balancer.FetchEndpoints:
		head("PULL")
	case balancer.HealthReport:
		return b // the simulator's doors share no process
	case balancer.LogLine:
		head("JOURNAL_LINE")
		b = append(append(b, ' '), a.Text...)
	}
	return append(b, '\n')
}
