// Package replica is a door's part in remembering the keys of changes over all doors of a fleet: it drives a [idempotency.Door], and where this door votes
// a [idempotency.Voter] with its log on disk.
//
// One goroutine owns the door's claims, another the voter and its log, which waits for the disk: all that has come meanwhile is kept by one sync.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/idempotency"
	"gapgap/internal/vfs"
	"gapgap/internal/wal"
)

// Times and bounds.
const (
	helloEvery   = time.Second
	pingEvery    = 250 * time.Millisecond // while too few voters answer ...
	pongHolds    = 600 * time.Millisecond // ... and as long a voter's last word counts
	slowClaim    = 300 * time.Millisecond // a claim that waits for longer says that too few do
	againEvery   = time.Second            // pause between tries to go on after a failure of the disk
	inboxMost    = 4096                   // words that wait for a goroutine; more are dropped, and said again
	callsMost    = 4096
	batchMost    = 512 // words that one sync keeps
	asksMost     = 150 // in a datagram
	segmentBytes = 4 << 20
	segmentsMost = 256
)

// Config is a door's part.
type Config struct {
	Rank   int
	Doors  int
	Voters []int
	FS     vfs.FS
	Dir    string // the door's state directory; the log has one of its own in it
	Inc    uint32 // the incarnation with which this process started
	Keep   time.Duration
	Most   int // keys that a voter remembers
	Now    func() time.Duration
	Log    *slog.Logger
	Tell   func(to int, b []byte) // a datagram's worth to a door; it may be lost
}

// wire is one datagram.
type wire struct {
	Process uint64                   `cbor:"1,keyasint"` // that says it
	Asks    []idempotency.Request    `cbor:"2,keyasint,omitempty"`
	To      uint64                   `cbor:"3,keyasint,omitempty"` // the process that the answers are for
	Answers []idempotency.Response   `cbor:"4,keyasint,omitempty"`
	Hello   *idempotency.VoterStatus `cbor:"5,keyasint,omitempty"`
	Back    bool                     `cbor:"6,keyasint,omitempty"` // the Hello answers one
	Ping    bool                     `cbor:"7,keyasint,omitempty"` // asks a voter whether it speaks of keys ...
	Pong    bool                     `cbor:"8,keyasint,omitempty"` // ... and says that it does
}

type said struct {
	from int
	w    *wire
}

type call struct {
	key  idempotency.Key
	done func(idempotency.Outcome)
	end  uint64 // ends this one instead
	ran  bool
}

// View is how a door stands in this.
type View struct {
	Votes    bool   `json:"votes"`
	Ready    bool   `json:"ready"`         // the voter speaks of keys
	Why      string `json:"why,omitempty"` // if not
	Keys     int    `json:"keys"`          // that it remembers
	Segments int    `json:"segments"`      // of its log
}

// Figures count.
type Figures struct {
	Claims, Won, Lost, Crowded atomic.Uint64 // of this door
	Away                       atomic.Uint64 // claims that were refused as too few voters answer
	Syncs, Records, Bytes      atomic.Uint64 // of the voter's log
	Dropped                    atomic.Uint64 // words that were not understood or had no place
}

// Side is a running part.
type Side struct {
	Figures Figures
	cfg     Config
	process uint64

	doorIn, voterIn chan said
	calls           chan call
	ctx             context.Context
	stop            context.CancelFunc
	wg              sync.WaitGroup
	last            atomic.Uint64 // number of a claim as its caller knows it
	away            atomic.Bool   // too few voters answer: a claim would wait in vain

	// The door's goroutine's.
	door    *idempotency.Coordinator
	heard   map[int]time.Duration // of voters
	began   map[uint64]time.Duration
	pinged  time.Duration
	numbers map[uint64]uint64 // a caller's number: the door's
	waits   map[uint64]func(idempotency.Outcome)

	// The voter's goroutine's.
	voter  *idempotency.Voter // nil: this door does not vote
	log    *wal.Log
	turn   uint64 // segment with which this stretch began
	failed bool
	found  string
	view   atomic.Pointer[View]
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 512, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options above are wrong
	}
	return m
}()

func number() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// New opens what the door's disk has. Its errors say in one line what is wrong.
func New(cfg Config) (*Side, error) {
	s := &Side{cfg: cfg, process: number(), doorIn: make(chan said, inboxMost), voterIn: make(chan said, inboxMost), calls: make(chan call, callsMost),
		heard: map[int]time.Duration{}, began: map[uint64]time.Duration{}, numbers: map[uint64]uint64{}, waits: map[uint64]func(idempotency.Outcome){}}
	s.door = idempotency.NewCoordinator(s.process, cfg.Voters)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.Store(&View{})
	s.away.Store(true)
	if !slices.Contains(cfg.Voters, cfg.Rank) {
		return s, nil
	}
	dir := filepath.Join(cfg.Dir, "keys")
	if err := errors.Join(cfg.FS.MkdirAll(dir, 0o700), cfg.FS.SyncDir(cfg.Dir)); err != nil {
		return nil, err
	}
	vc := idempotency.VoterConfig{Index: cfg.Rank, Voters: cfg.Voters, Process: s.process, Retention: cfg.Keep, MaxKeys: cfg.Most, NewDiskID: number(), Incarnation: cfg.Inc}
	if err := vc.Validate(); err != nil {
		return nil, err
	}
	var log *wal.Log
	var found wal.OpenStats
	var err error
	voter, _ := idempotency.NewVoter(vc, cfg.Now(), func(yield func(idempotency.Record) bool) {
		log, found, err = wal.Open(wal.Options{FS: cfg.FS, Dir: dir, Kind: "gapgap keys", Version: 1, SegmentBytes: segmentBytes, MaxSegments: segmentsMost}, func(b []byte) error {
			var r idempotency.Record
			if err := decoder.Unmarshal(b, &r); err != nil {
				return err
			}
			yield(r)
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	s.log, s.voter = log, voter
	if err := s.whole(); err != nil {
		log.Close()
		return nil, err
	}
	s.found = fmt.Sprintf("keys: %d remembered, by the disk; %d torn bytes at the log's end thrown away, which nobody was told were kept", s.voter.KeyCount(), found.TornBytes)
	cfg.Log.Info(s.found, "segments", found.Segments)
	s.publish()
	return s, nil
}

// whole begins the log anew with all that is remembered.
func (s *Side) whole() error {
	if err := s.log.Rotate(); err != nil {
		return err
	}
	first := s.log.CurrentSegment()
	if err := s.append(s.voter.Snapshot()); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	s.voter.MarkSynced()
	s.turn = first
	return s.log.DropBefore(first)
}

func (s *Side) append(all []idempotency.Record) error {
	for i := range all {
		b, err := cbor.Marshal(&all[i])
		if err != nil {
			return err
		}
		if err := s.log.Append(b); err != nil {
			return err
		}
		s.Figures.Records.Add(1)
		s.Figures.Bytes.Add(uint64(len(b)))
	}
	return nil
}

// Start begins.
func (s *Side) Start() {
	s.wg.Go(s.doorLoop)
	if s.voter != nil {
		s.wg.Go(s.voterLoop)
	}
}

// Close ends it. Claims that wait hear nothing more.
func (s *Side) Close() {
	s.stop()
	s.wg.Wait()
	if s.log != nil {
		s.log.Close()
	}
}

// Reach says whether enough voters answer. Any goroutine may call it.
func (s *Side) Reach() bool { return !s.away.Load() }

// Found says what the disk had, where this door votes.
func (s *Side) Found() string { return s.found }

// View is how the door stands. Any goroutine may call it.
func (s *Side) View() View { return *s.view.Load() }

// Heard takes what another door says. It returns at once. Any goroutine may call it.
func (s *Side) Heard(from int, b []byte) {
	w := &wire{}
	if decoder.Unmarshal(b, w) != nil || from < 0 || from >= s.cfg.Doors {
		s.Figures.Dropped.Add(1)
		return
	}
	put := func(ch chan said) {
		select {
		case ch <- said{from, w}:
		default:
			s.Figures.Dropped.Add(1)
		}
	}
	if (len(w.Answers) > 0 || w.Pong) && w.To == s.process {
		put(s.doorIn)
	}
	if s.voter != nil && (len(w.Asks) > 0 || w.Hello != nil || w.Ping) {
		put(s.voterIn)
	}
}

// tell tells a door something; this door is one, too.
func (s *Side) tell(to int, w *wire) {
	w.Process = s.process
	b, err := cbor.Marshal(w)
	switch {
	case err != nil:
		s.cfg.Log.Error("a word on keys could not be made", "error", err)
	case to == s.cfg.Rank:
		s.Heard(to, b)
	default:
		s.cfg.Tell(to, b)
	}
}

// Claim claims a key, and has done called once, by another goroutine, unless End comes first. It returns the claim's number; 0: there is no place for
// it now, or too few voters answer. Any goroutine may call it.
func (s *Side) Claim(key idempotency.Key, done func(idempotency.Outcome)) uint64 {
	if s.away.Load() {
		s.Figures.Away.Add(1)
		return 0
	}
	n := s.last.Add(1)
	select {
	case s.calls <- call{key: key, done: done, end: n}:
		return n
	default:
		return 0
	}
}

// End ends a claim; ran says that its request may have run. Any goroutine may call it.
func (s *Side) End(n uint64, ran bool) {
	select {
	case s.calls <- call{end: n, ran: ran}:
	case <-s.ctx.Done():
	}
}

func (s *Side) doorLoop() {
	timer := time.NewTimer(0) // the first look is for who answers
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case c := <-s.calls:
			s.called(c)
			for range min(len(s.calls), batchMost) {
				s.called(<-s.calls)
			}
		case in := <-s.doorIn:
			s.answered(in)
			for range min(len(s.doorIn), batchMost) {
				s.answered(<-s.doorIn)
			}
		case <-timer.C:
		}
		s.ask()
		wait := s.reach()
		if at, ok := s.door.NextRetry(); ok {
			wait = min(wait, max(time.Millisecond, at-s.cfg.Now()))
		}
		timer.Reset(wait)
	}
}

// reach sees whether enough voters answer, and returns until when that holds at the longest.
func (s *Side) reach() time.Duration {
	now := s.cfg.Now()
	if !s.away.Load() {
		for _, at := range s.began {
			if now-at >= slowClaim {
				s.away.Store(true)
				s.cfg.Log.Warn("too few voters answer for keys: changes are refused", "claims that wait", len(s.began))
				break
			}
		}
		if !s.away.Load() {
			if len(s.began) > 0 {
				return slowClaim
			}
			return time.Hour
		}
	}
	there := 0
	for _, at := range s.heard {
		if now-at < pongHolds {
			there++
		}
	}
	if there >= len(s.cfg.Voters)/2+1 {
		s.away.Store(false)
		s.cfg.Log.Info("enough voters answer for keys", "of", len(s.cfg.Voters), "there", there)
		return time.Hour
	}
	if s.pinged == 0 || now-s.pinged >= pingEvery {
		s.pinged = now
		for _, v := range s.cfg.Voters {
			s.tell(v, &wire{Ping: true})
		}
	}
	return pingEvery
}

func (s *Side) called(c call) {
	now := s.cfg.Now()
	if c.done == nil {
		if n, ok := s.numbers[c.end]; ok {
			s.door.Finish(now, n, c.ran)
			delete(s.waits, n)
			delete(s.began, n)
			delete(s.numbers, c.end)
		}
		return
	}
	s.Figures.Claims.Add(1)
	n, err := s.door.Reserve(now, c.key)
	if err != nil {
		s.Figures.Crowded.Add(1)
		c.done(idempotency.NoCapacity)
		return
	}
	s.numbers[c.end], s.waits[n], s.began[n] = n, c.done, now
}

func (s *Side) answered(in said) {
	s.heard[in.from] = s.cfg.Now()
	for _, a := range in.w.Answers {
		r, ok := s.door.HandleResponse(s.cfg.Now(), in.from, a)
		if !ok {
			continue
		}
		switch r.Outcome {
		case idempotency.Reserved:
			s.Figures.Won.Add(1)
		case idempotency.HeldByOther:
			s.Figures.Lost.Add(1)
		default:
			s.Figures.Crowded.Add(1)
		}
		if done := s.waits[r.Sequence]; done != nil {
			delete(s.waits, r.Sequence)
			delete(s.began, r.Sequence)
			done(r.Outcome)
		}
	}
}

// ask tells the voters what is to be asked now.
func (s *Side) ask() {
	by := map[int][]idempotency.Request{}
	for _, o := range s.door.Tick(s.cfg.Now()) {
		by[o.Voter] = append(by[o.Voter], o.Request)
	}
	for to, asks := range by {
		for part := range slices.Chunk(asks, asksMost) {
			s.tell(to, &wire{Asks: part})
		}
	}
}

func (s *Side) voterLoop() {
	tick := time.NewTicker(helloEvery)
	defer tick.Stop()
	s.hello()
	for {
		out := map[int]map[uint64][]idempotency.Response{}
		var hellos []said
		select {
		case <-s.ctx.Done():
			return
		case in := <-s.voterIn:
			err := s.asked(in, out, &hellos)
			for range min(len(s.voterIn), batchMost) {
				err = errors.Join(err, s.asked(<-s.voterIn, out, &hellos))
			}
			s.keep(err)
		case <-tick.C:
			s.tick()
			s.hello()
		}
		if !s.failed { // all that is said is kept
			for to, all := range out {
				for process, answers := range all {
					for part := range slices.Chunk(answers, asksMost) {
						s.tell(to, &wire{To: process, Answers: part})
					}
				}
			}
			for _, h := range hellos {
				s.tell(h.from, h.w)
			}
		}
		s.publish()
	}
}

// asked takes a datagram; what is to be said goes out once it is kept.
func (s *Side) asked(in said, out map[int]map[uint64][]idempotency.Response, hellos *[]said) error {
	if s.failed {
		return nil
	}
	now := s.cfg.Now()
	if h := in.w.Hello; h != nil {
		more, answer := s.voter.HandleStatus(in.from, *h)
		if err := s.append(more); err != nil {
			return err
		}
		if !in.w.Back {
			*hellos = append(*hellos, said{in.from, &wire{Hello: &answer, Back: true}})
		}
	}
	if ready, _ := s.voter.Ready(now); in.w.Ping && ready {
		*hellos = append(*hellos, said{in.from, &wire{To: in.w.Process, Pong: true}})
	}
	for _, a := range in.w.Asks {
		answer, more, ok := s.voter.HandleRequest(now, in.w.Process, a)
		if err := s.append(more); err != nil {
			return err
		}
		if !ok {
			continue
		}
		if out[in.from] == nil {
			out[in.from] = map[uint64][]idempotency.Response{}
		}
		out[in.from][in.w.Process] = append(out[in.from][in.w.Process], answer)
	}
	return nil
}

// keep keeps what was added.
func (s *Side) keep(err error) {
	if s.failed {
		return
	}
	if dirty := s.log.IsDirty(); err == nil && dirty {
		if err = s.log.Sync(); err == nil {
			s.Figures.Syncs.Add(1)
		}
	}
	if err != nil {
		s.failed = true
		s.cfg.Log.Error("keys can't be kept: this voter says nothing about them until it can", "error", err)
		return
	}
	s.voter.MarkSynced()
}

// tick is the time that goes by.
func (s *Side) tick() {
	if s.failed {
		if err := errors.Join(s.log.Resume(), s.whole()); err != nil {
			return
		}
		s.failed = false
		s.cfg.Log.Info("keys are kept again", "remembered", s.voter.KeyCount())
	}
	more, turned := s.voter.Tick(s.cfg.Now())
	err := s.append(more)
	if err == nil && turned { // what was claimed before the stretch that is over now is forgotten
		old := s.turn
		if err = s.log.Rotate(); err == nil {
			s.turn = s.log.CurrentSegment()
			if err = s.append(s.voter.SegmentHeader()); err == nil {
				err = s.log.Sync()
			}
		}
		if err == nil {
			err = s.log.DropBefore(old)
		}
	}
	s.keep(err)
}

func (s *Side) hello() {
	if s.failed {
		return
	}
	for _, v := range s.cfg.Voters {
		if v != s.cfg.Rank {
			h := s.voter.StatusFor(v)
			s.tell(v, &wire{Hello: &h})
		}
	}
}

func (s *Side) publish() {
	v := View{Votes: true, Keys: s.voter.KeyCount(), Segments: s.log.SegmentCount()}
	if v.Ready, v.Why = s.voter.Ready(s.cfg.Now()); s.failed {
		v.Ready, v.Why = false, "its disk can't be written"
	}
	if old := s.view.Load(); old.Votes && old.Ready != v.Ready {
		s.cfg.Log.Info("this door votes on keys", "speaks", v.Ready, "why not", v.Why)
	}
	s.view.Store(&v)
}
