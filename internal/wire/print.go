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
	case balancer.Send:
		head("HAND_OFF")
		id(a.ID)
		num(a.Timeout.Microseconds())
		b = append(append(b, ' '), a.Backend...)
	case balancer.Refuse:
		head("TURN_AWAY")
		id(a.ID)
		num(a.Pause.Microseconds())
	case balancer.Fail:
		head("SURRENDER")
		id(a.ID)
	case balancer.Cancel:
		head("WITHDRAW")
		id(a.ID)
		num(int64(a.Attempt))
	case balancer.Probe:
		head("SAMPLE")
		b = append(append(b, ' '), a.Backend...)
	case balancer.Count:
		head("CHARGE_COUNTER")
		id(a.Name)
		b = strconv.AppendFloat(append(b, ' '), a.Amount, 'f', -1, 64)
		num(a.Keep.Microseconds())
	case balancer.SetTimer:
		head("REMIND")
		num(a.At.Microseconds())
		id(a.Cookie)
	case balancer.Watch:
		head("OBSERVE")
		num(1)
	case balancer.Fetch:
		head("PULL")
	case balancer.Finding:
		return b // the simulator's doors share no process
	case balancer.Log:
		head("JOURNAL_LINE")
		b = append(append(b, ' '), a.Text...)
	}
	return append(b, '\n')
}
