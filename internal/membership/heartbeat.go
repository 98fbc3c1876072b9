package membership

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits on the contents of heartbeats.
const (
	// MaxEntries bounds the entries of one heartbeat, so that it fits in one packet.
	MaxEntries = 64
	// aliveBitAge is the maximum age of the counter behind a bit in Heartbeat.AliveBits. The receiver assumes that age.
	aliveBitAge = 600 * time.Millisecond
	// newProcessPeriod is how long entries of a new process precede other entries in a large cluster.
	newProcessPeriod = 2 * time.Second
)

// ErrMalformed is wrapped by the errors of [Detector.Validate].
var ErrMalformed = errors.New("malformed heartbeat")

// Entry is the gossiped state of one gateway.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Index is the gateway's position in the list.
	Index uint16
	// ID identifies the gateway's process.
	ID ID
	// Counter is the heartbeat counter of the process, starting at 1.
	Counter uint32
	// Phase is the phase that the process announced with this counter.
	Phase Phase
	// AgeMillis is how long the sender has known the counter, in milliseconds by the sender's clock.
	AgeMillis uint16
}

// Heartbeat is one gossip message. Its first entry is the sender's own.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
	// AliveBits has one bit per gateway, set if its counter increased at the sender within aliveBitAge. It is used only
	// in clusters too large for one entry per gateway, and empty in smaller ones.
	AliveBits []byte
}

// hasAliveBit reports whether the alive bit of a gateway is set.
func (h *Heartbeat) hasAliveBit(index int) bool {
	return len(h.AliveBits) > 0 && h.AliveBits[index/8]&(1<<(index%8)) != 0
}

// Outgoing is a heartbeat to send to a gateway.
type Outgoing struct {
	// To is the receiver's position in the list.
	To        int
	Heartbeat Heartbeat
	// ReplyToSender requests that the heartbeat also be sent to the source address of the heartbeat it answers. The
	// sender may be a second process of the same name, whose address is not in the list.
	ReplyToSender bool
}

// Heartbeat returns the current heartbeat: the entry of this gateway followed by fresh entries of others. In a large
// cluster, entries of new processes come first, then some of the other gateways in rotation, and AliveBits covers all.
func (d *Detector) Heartbeat(now time.Duration) Heartbeat {
	heartbeat := Heartbeat{Entries: []Entry{d.self().entry(now)}}
	if d.isLarge() {
		heartbeat.AliveBits = d.aliveBits(now)
		heartbeat.Entries = d.appendNewProcesses(heartbeat.Entries, now)
		heartbeat.Entries = d.appendRoundRobin(heartbeat.Entries, now)
		return heartbeat
	}
	for i := range d.members {
		if m := &d.members[i]; m.isFresh(now) && i != d.config.Index {
			heartbeat.Entries = append(heartbeat.Entries, m.entry(now))
		}
	}
	return heartbeat
}

// entry returns the heartbeat entry of a member.
func (m *member) entry(now time.Duration) Entry {
	age := max(0, now-m.LastHeard).Milliseconds()
	return Entry{
		Index:     uint16(m.Index),
		ID:        m.ID,
		Counter:   m.counter,
		Phase:     m.phase,
		AgeMillis: uint16(min(age, math.MaxUint16)),
	}
}

// aliveBits returns a bit set of the gateways whose counter increased within aliveBitAge.
func (d *Detector) aliveBits(now time.Duration) []byte {
	bits := make([]byte, bitSetSize(len(d.members)))
	for i := range d.members {
		m := &d.members[i]
		if m.isFresh(now) && m.phase != Leaving && now-m.LastHeard < aliveBitAge {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// appendNewProcesses appends entries of processes first heard of within newProcessPeriod, up to half of a heartbeat.
func (d *Detector) appendNewProcesses(entries []Entry, now time.Duration) []Entry {
	for i := range d.members {
		m := &d.members[i]
		isNew := m.isFresh(now) && now-m.firstHeard < newProcessPeriod
		if isNew && i != d.config.Index && len(entries) < MaxEntries/2 {
			entries = append(entries, m.entry(now))
		}
	}
	return entries
}

// appendRoundRobin fills a heartbeat with entries of the other gateways, starting where the last heartbeat ended.
func (d *Detector) appendRoundRobin(entries []Entry, now time.Duration) []Entry {
	for range d.members {
		d.nextEntry = (d.nextEntry + 1) % len(d.members)
		m := &d.members[d.nextEntry]
		isOld := m.isFresh(now) && now-m.firstHeard >= newProcessPeriod
		if isOld && d.nextEntry != d.config.Index && len(entries) < MaxEntries {
			entries = append(entries, m.entry(now))
		}
		if len(entries) == MaxEntries {
			break
		}
	}
	return entries
}

// Validate checks a heartbeat received from a gateway. Its error wraps ErrMalformed.
func (d *Detector) Validate(from int, heartbeat *Heartbeat) error {
	entries := heartbeat.Entries
	if len(entries) == 0 || len(entries) > MaxEntries || int(entries[0].Index) != from {
		return fmt.Errorf("%w: %d entries", ErrMalformed, len(entries))
	}
	if size := len(heartbeat.AliveBits); size > 0 && size != bitSetSize(len(d.members)) {
		return fmt.Errorf("%w: alive bits of %d bytes", ErrMalformed, size)
	}
	for _, e := range entries {
		if int(e.Index) >= len(d.members) || e.Phase >= phaseCount || e.Counter == 0 {
			return fmt.Errorf("%w: index %d, phase %d, counter %d", ErrMalformed, e.Index, e.Phase, e.Counter)
		}
	}
	return nil
}

// bitSetSize returns the size of a bit set in bytes.
func bitSetSize(bits int) int { return (bits + 7) / 8 }
