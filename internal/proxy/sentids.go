package proxy

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"gapgap/internal/balancer"
)

const (
	// sentIDRetention is how long after its deadline the ID of a request may not come again.
	sentIDRetention = time.Minute
	// maxSentIDs bounds the IDs that are remembered. Beyond it the oldest is forgotten.
	maxSentIDs = 1 << 14
)

// idHash identifies a request of a customer by its ID.
type idHash [16]byte

// hashID returns the hash of a request's ID.
func hashID(customer, id string) (hash idHash) {
	sum := sha256.Sum256([]byte(customer + "\x00" + id))
	copy(hash[:], sum[:])
	return hash
}

// SentIDs remembers the IDs of requests that may have run and must not run again: those of classes that are not
// idempotent. A client that has left may come again with the same ID, on another connection, at another pool or at the
// next process. All pools of a process share one SentIDs. It is safe for concurrent use.
type SentIDs struct {
	mu sync.Mutex
	// byHash holds the remembered IDs.
	byHash map[idHash]rememberedID
	// order holds them from the oldest on. Entries whose number is not that in byHash were forgotten since.
	order  []orderedID
	number uint64
	// report receives each change; nil: nobody follows them.
	report func(SentID)
}

// rememberedID is the state of one ID.
type rememberedID struct {
	// until is the time at which the ID is forgotten, on the clock of the event loops.
	until  time.Duration
	number uint64
}

// orderedID is an entry of SentIDs.order.
type orderedID struct {
	hash   idHash
	number uint64
}

// SentID is a remembered ID, as one process hands it over to the next.
type SentID struct {
	// Hash identifies the customer and the ID.
	Hash []byte `json:"Hash"`
	// Until is the time at which it is forgotten, on the clock of the event loops. 0 means that it is forgotten at
	// once, as its request has not run.
	Until time.Duration `json:"Until"`
}

// NewSentIDs returns an empty SentIDs.
func NewSentIDs() *SentIDs { return &SentIDs{byHash: map[idHash]rememberedID{}} }

// contains reports whether an ID is remembered at a time.
func (s *SentIDs) contains(hash idHash, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remembered, ok := s.byHash[hash]
	return ok && now < remembered.until
}

// add remembers an ID until a time. now is the current time.
func (s *SentIDs) add(hash idHash, until, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.byHash[hash] = rememberedID{until: until, number: s.number}
	s.order = append(s.order, orderedID{hash: hash, number: s.number})
	for len(s.order) > maxSentIDs || s.isOldestGone(now) {
		oldest := s.order[0]
		s.order = s.order[1:]
		if s.byHash[oldest.hash].number == oldest.number {
			delete(s.byHash, oldest.hash)
		}
	}
	s.reportChange(hash, until)
}

// reportChange reports a change to the follower. The caller holds mu.
func (s *SentIDs) reportChange(hash idHash, until time.Duration) {
	if s.report != nil {
		s.report(SentID{Hash: slices.Clone(hash[:]), Until: until})
	}
}

// isOldestGone reports whether the oldest entry is no longer needed. The caller holds mu.
func (s *SentIDs) isOldestGone(now time.Duration) bool {
	if len(s.order) == 0 {
		return false
	}
	remembered, ok := s.byHash[s.order[0].hash]
	return !ok || remembered.number != s.order[0].number || now >= remembered.until
}

// remove forgets an ID whose request has not run after all.
func (s *SentIDs) remove(hash idHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHash, hash)
	s.reportChange(hash, 0)
}

// Follow returns the remembered IDs, for the next process, and calls report for each change after that until stop is
// called. There is one follower at a time. report must not block, nor call methods of s.
func (s *SentIDs) Follow(report func(SentID)) (exported []SentID, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
	return s.export(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.report = nil
	}
}

// export returns the remembered IDs. The caller holds mu.
func (s *SentIDs) export() []SentID {
	var exported []SentID
	for _, entry := range s.order {
		if remembered, ok := s.byHash[entry.hash]; ok && remembered.number == entry.number {
			exported = append(exported, SentID{Hash: entry.hash[:], Until: remembered.until})
		}
	}
	return exported
}

// Import remembers the IDs that the process before has handed over, or applies changes of them. now is the current
// time.
func (s *SentIDs) Import(exported []SentID, now time.Duration) {
	for _, id := range exported {
		var hash idHash
		switch {
		case copy(hash[:], id.Hash) < len(hash):
		case id.Until == 0:
			s.remove(hash)
		default:
			s.add(hash, id.Until, now)
		}
	}
}

// mustNotRepeat reports whether a request must not run twice, and has an ID by which that can be told.
func (p *Proxy) mustNotRepeat(request *Request) bool {
	class := &p.Rules().Settings.Classes[request.Class]
	return request.ID != "" && !request.AdmitOnly && class.Idempotency == balancer.NonIdempotent
}
