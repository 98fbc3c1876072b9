// Package policyreplica is a door's part in agreeing on policy, with its disk and its words to the other doors: it drives one
// [policy.Node], the voters' log where this door votes (package agree), and the documents. Whoever serves is told what to go by, and until
// when, through [Host].
//
// One goroutine owns the node and the log, and never waits for the disk: a voter's log, the version that the door goes by and documents are
// written by others, each one at a time.
package policyreplica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/policy"
	"gapgap/internal/raftlog"
	"gapgap/internal/vfs"
)

// Times and bounds.
const (
	tickEvery  = 10 * time.Millisecond
	raftEvery  = 5       // ticks to one of the log's
	inboxMost  = 4096    // messages that wait for the loop; more are dropped
	fragBytes  = 8 << 10 // of a message in a datagram
	leaveTries = 10      // words that this door goes
	leaveEach  = 50 * time.Millisecond
	mostTemp   = 4 // answers too long for a datagram that a leader keeps
	askEach    = 20 * time.Millisecond
)

// Host serves by a policy.
type Host interface {
	// Build reads a document whole and makes all that it needs. Its error says what is wrong, with the line.
	Build(doc []byte) (any, error)
	// StopDeciding has nothing be decided any more, from its return on.
	StopDeciding()
	// SwitchTo has all that is decided from now on go by what Read returned.
	SwitchTo(version uint64, built any) error
	// SetDecisionDeadline says until when requests may be decided, on the clock of Config.Now.
	SetDecisionDeadline(t time.Duration)
}

// Config is a door's part.
type Config struct {
	Name               string
	Index              int
	Gateways           []string // of all doors, by rank
	FS                 vfs.FS   // of its state directory ...
	Dir                string   // ... which this process has
	Now                func() time.Duration
	Log                *slog.Logger
	Send               func(to int, b []byte) // a datagram's worth to a door; it may be lost
	Process            func() policy.Process  // this process
	InitialPolicy      func() ([]byte, error) // the policy that a fleet begins with
	AbortAfter         time.Duration
	Fence              bool
	StoredVersionDelay time.Duration // after so long without the others a door that has started goes by what its disk has; 0: never
	Host               Host
}

// Voters are the ranks of those that vote, of so many doors.
func Voters(doors int) (all []int) {
	n := 5
	switch {
	case doors < 3:
		n = 1
	case doors < 20:
		n = 3
	}
	for i := range min(n, doors) {
		all = append(all, i)
	}
	return all
}

// message is what is told in a datagram: one field is set.
type message struct {
	Node           *policy.Message `cbor:"1,keyasint,omitempty"`
	Raft           []byte          `cbor:"2,keyasint,omitempty"`
	ChunkRequest   *chunkRequest   `cbor:"3,keyasint,omitempty"`
	Chunk          *chunk          `cbor:"4,keyasint,omitempty"`
	Fragment       *fragment       `cbor:"5,keyasint,omitempty"`
	ReportRequest  string          `cbor:"6,keyasint,omitempty"` // asks for an answer that is too long for a datagram: "history"
	ReportLocation *reportLocation `cbor:"7,keyasint,omitempty"`
}

// reportLocation says by which hash such an answer can be fetched.
type reportLocation struct {
	Report string      `cbor:"1,keyasint"`
	Hash   policy.Hash `cbor:"2,keyasint"`
}

type inMsg struct {
	from int
	b    []byte
}

type built struct {
	hash policy.Hash
	what any
	err  error
}

// Replica is a running part.
type Replica struct {
	cfg    Config
	node   *policy.Node
	log    *raftlog.Log  // nil: this door does not vote
	disk   *raftlog.Disk // likewise
	docs   *documentStore
	voters []int

	inbox   chan inMsg
	calls   chan func()
	results chan built
	written chan func()
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	done    chan struct{}

	// The loop's.
	ticks    int
	ref      policy.Process
	fetch    *download
	fetched  map[policy.Hash][]byte // read and not yet built
	built    map[policy.Hash]any
	building bool
	failed   map[policy.Hash]time.Duration // documents that can't be gone by, and when that was found
	has      policy.Version
	until    time.Duration
	joins    map[int]*reassembly
	fragID   uint32
	temp     []policy.Hash
	temps    map[policy.Hash][]byte
	longs    map[string]policy.Hash
	begun    time.Duration
	last     policy.Version // what the disk had at the start
	beginAt  time.Duration
	beginAsk uint64
	said     string // the last line of the log on why nothing is decided
	dropped  atomic.Uint64
	view     atomic.Pointer[View]

	keepMu  sync.Mutex
	keep    *policy.Version // that is to be kept next
	keeping bool            // a goroutine sees to it
}

// View is how a door stands.
type View struct {
	Version       policy.Version // that it goes by; 0: none yet
	DecidesUntil  time.Duration  // it decides until then; 0: it does not
	PendingChange string         // id of the change that is being decided, as far as it knows
}

// New opens what the door's disk has. Its errors say in one line what is wrong.
func New(cfg Config) (_ *Replica, err error) {
	s := &Replica{cfg: cfg, voters: Voters(len(cfg.Gateways)), inbox: make(chan inMsg, inboxMost), calls: make(chan func()), results: make(chan built, 1), written: make(chan func()), done: make(chan struct{}),
		fetched: map[policy.Hash][]byte{}, built: map[policy.Hash]any{}, failed: map[policy.Hash]time.Duration{}, joins: map[int]*reassembly{},
		temps: map[policy.Hash][]byte{}, longs: map[string]policy.Hash{}, ref: cfg.Process()}
	if s.docs, err = openDocumentStore(cfg.FS, cfg.Dir); err != nil {
		return nil, err
	}
	if s.last, err = loadVersion(cfg.FS, cfg.Dir); err != nil {
		return nil, err
	}
	nc := policy.Config{Process: s.ref, Gateways: len(cfg.Gateways), Voters: s.voters, AbortAfter: cfg.AbortAfter}
	if slices.Contains(s.voters, cfg.Index) {
		if s.disk, err = raftlog.OpenDisk(cfg.FS, cfg.Dir); err != nil {
			return nil, err
		}
		nc.Log = (*voterLog)(s)
	}
	s.node = policy.NewNode(nc)
	if s.disk != nil {
		s.log, err = raftlog.New(raftlog.Config{Rank: cfg.Index, Voters: s.voters, Disk: s.disk, Log: cfg.Log,
			Send: func(to int, b []byte) { s.tell(to, &message{Raft: b}) }, Applied: s.node.Apply,
			Read:     func(token uint64) { s.send(s.node.ReadConfirmed(cfg.Now(), token)) },
			Snapshot: s.node.Snapshot, Restore: s.node.Restore, Write: s.write})
		if err != nil {
			return nil, err
		}
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.Store(&View{})
	return s, nil
}

// voterLog is the log as the node sees it: while the log is being made there is none.
type voterLog Replica

func (v *voterLog) Leading() (uint64, bool) {
	if v.log == nil {
		return 0, false
	}
	return v.log.Leading()
}
func (v *voterLog) Propose(b []byte)     { v.log.Propose(b) }
func (v *voterLog) ConfirmRead(t uint64) { v.log.Read(t) }

func (v *voterLog) ReplaceVoter(rank int) error {
	if reason := v.log.Replace(rank); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// Start begins.
func (s *Replica) Start() { s.wg.Go(s.loop) }

// Close ends it without a word.
func (s *Replica) Close() {
	s.stop()
	s.wg.Wait()
}

// View is how the door stands. Any goroutine may call it.
func (s *Replica) View() View { return *s.view.Load() }

// StoredVersion is the version that the disk had at the start; 0: none.
func (s *Replica) StoredVersion() policy.Version { return s.last }

// DroppedMessages is how many messages were not understood or had no place. Any goroutine may call it.
func (s *Replica) DroppedMessages() uint64 { return s.dropped.Load() }

// HandleMessage takes what another door says. It returns at once. Any goroutine may call it.
func (s *Replica) HandleMessage(from int, b []byte) {
	select {
	case s.inbox <- inMsg{from, b}:
	default:
		s.dropped.Add(1) // it is said again
	}
}

func (s *Replica) loop() {
	defer close(s.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	s.begun = s.cfg.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case in := <-s.inbox:
			s.heard(in)
			for range min(len(s.inbox), 64) { // together, so that what is kept of them is kept once
				s.heard(<-s.inbox)
			}
		case call := <-s.calls:
			call()
		case r := <-s.results:
			s.was(r)
		case done := <-s.written:
			done()
		case <-tick.C:
			s.tick()
		}
		s.work()
	}
}

func (s *Replica) tick() {
	now := s.cfg.Now()
	if s.ticks++; s.log != nil && s.ticks%raftEvery == 0 {
		s.log.Tick()
	}
	if ref := s.cfg.Process(); ref != s.ref { // its disk had lost its incarnation
		s.ref = ref
		s.node.SetProcess(ref)
	}
	s.send(s.node.Tick(now, time.Now().UnixMilli()))
	s.begin(now)
	if s.cfg.StoredVersionDelay > 0 && s.has.Number == 0 && s.last.Number > 0 && now-s.begun >= s.cfg.StoredVersionDelay && s.node.Participant().Version().Number == 0 {
		if s.ready(s.last.Hash) {
			s.cfg.Log.Warn("no majority of the voters answers: this door goes by the version that its disk has, as without_quorum says", "version", s.last.Number)
			s.node.Participant().DecideWithoutQuorum(s.last)
		}
	}
	for h, at := range s.failed {
		if now-at > time.Minute {
			delete(s.failed, h) // it is tried again
		}
	}
}

func (s *Replica) leads() bool {
	if s.log == nil {
		return false
	}
	_, leads := s.log.Leading()
	return leads
}

// begin proposes this door's own policy where the fleet has none.
func (s *Replica) begin(now time.Duration) {
	if s.node.State().Current.Number > 0 && s.beginAsk > 0 {
		s.node.EndQuery(s.beginAsk)
		s.beginAsk = 0
	}
	if !s.leads() || s.node.State().Current.Number > 0 || now < s.beginAt {
		return
	}
	s.beginAt = now + time.Second
	doc, err := s.cfg.InitialPolicy()
	if err == nil {
		err = s.docs.store(doc)
	}
	if err != nil {
		s.cfg.Log.Error("the fleet's policy could not be begun", "error", err)
		return
	}
	c := policy.Change{ID: "begin", Hash: policy.HashOf(doc), Bytes: int64(len(doc)), Author: s.cfg.Name, ProposedAt: time.Now().UnixMilli(), Source: uint16(s.cfg.Index), Initial: true}
	if s.cfg.Fence {
		c.Mode = policy.Fence
	}
	s.node.EndQuery(s.beginAsk)
	s.beginAsk, _ = s.node.StartQuery(policy.Query{ChangeID: c.ID, Change: &c})
}

func (s *Replica) send(outs []policy.Outgoing) {
	for i := range outs {
		s.tell(outs[i].To, &message{Node: &outs[i].Message})
	}
}

// tell tells a door something, in parts if it is long. This door is one, too.
func (s *Replica) tell(to int, w *message) {
	b, err := cbor.Marshal(w)
	if err != nil {
		s.cfg.Log.Error("a message of policy could not be made", "error", err)
		return
	}
	switch {
	case to == s.cfg.Index:
		s.HandleMessage(to, b)
	case len(b) <= fragBytes+1024:
		s.cfg.Send(to, b)
	default:
		s.fragID++
		of := (len(b) + fragBytes - 1) / fragBytes
		for n := range of {
			f, err := cbor.Marshal(&message{Fragment: &fragment{s.fragID, uint16(n), uint16(of), b[n*fragBytes : min(len(b), (n+1)*fragBytes)]}})
			if err == nil {
				s.cfg.Send(to, f)
			}
		}
	}
}

var messageDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 12, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options above are wrong
	}
	return m
}()

func (s *Replica) heard(in inMsg) {
	var w message
	if messageDecoder.Unmarshal(in.b, &w) != nil || in.from < 0 || in.from >= len(s.cfg.Gateways) {
		s.dropped.Add(1)
		return
	}
	now := s.cfg.Now()
	switch {
	case w.Fragment != nil:
		j := s.joins[in.from]
		if j == nil {
			j = &reassembly{}
			s.joins[in.from] = j
		}
		if whole := j.add(w.Fragment); whole != nil {
			s.heard(inMsg{in.from, whole})
		}
	case w.Node != nil:
		s.send(s.node.Receive(now, in.from, *w.Node, time.Now().UnixMilli()))
	case w.Raft != nil:
		if s.log != nil {
			if err := s.log.Step(in.from, w.Raft); err != nil {
				s.dropped.Add(1)
			}
		}
	case w.ChunkRequest != nil:
		s.give(in.from, w.ChunkRequest)
	case w.Chunk != nil:
		if s.fetch != nil && s.fetch.hash == w.Chunk.Hash {
			if whole, ok := s.fetch.receive(w.Chunk); ok {
				s.fetched[s.fetch.hash], s.fetch = whole, nil
			}
		}
	case w.ReportRequest == "history":
		if s.leads() {
			b := encodeHistory(s.node.State())
			h := policy.HashOf(b)
			if s.temps[h] == nil {
				if s.temp = append(s.temp, h); len(s.temp) > mostTemp {
					delete(s.temps, s.temp[0])
					s.temp = s.temp[1:]
				}
				s.temps[h] = b
			}
			s.tell(in.from, &message{ReportLocation: &reportLocation{w.ReportRequest, h}})
		}
	case w.ReportLocation != nil:
		if len(w.ReportLocation.Report) < 16 {
			s.longs[w.ReportLocation.Report] = w.ReportLocation.Hash
		}
	}
}

// give answers a get.
func (s *Replica) give(to int, g *chunkRequest) {
	p := &chunk{Hash: g.Hash, Offset: g.Offset}
	if g.Offset < 0 || g.Offset%chunkBytes != 0 {
		return
	}
	if b := s.temps[g.Hash]; b != nil && g.Offset < int64(len(b)) {
		p.DocumentSize, p.Data = int64(len(b)), b[g.Offset:min(int64(len(b)), g.Offset+chunkBytes)]
	} else {
		b := make([]byte, chunkBytes)
		if n, size, err := s.docs.readAt(g.Hash, g.Offset, b); err == nil && n > 0 {
			p.DocumentSize, p.Data = size, b[:n]
		}
	}
	s.tell(to, &message{Chunk: p})
}

// ready says whether a document is read and built; if not, it is seen to.
func (s *Replica) ready(h policy.Hash) bool {
	if _, ok := s.built[h]; ok {
		return true
	}
	if _, bad := s.failed[h]; bad || s.building {
		return false
	}
	doc := s.fetched[h]
	if doc == nil {
		b, err := s.docs.read(h)
		if errors.Is(err, errDamaged) {
			s.cfg.Log.Error("a policy's file is not used: it is fetched anew", "error", err)
		}
		if err != nil {
			return false
		}
		doc = b
	}
	s.building = true
	keep := []policy.Hash{s.has.Hash, h}
	s.wg.Go(func() {
		r := built{hash: h}
		if r.what, r.err = s.cfg.Host.Build(doc); r.err == nil {
			if err := s.docs.store(doc, keep...); err != nil {
				r.err = fmt.Errorf("it could not be kept: %w", err)
			}
		}
		select {
		case s.results <- r:
		case <-s.done:
		}
	})
	return false
}

// was takes what has become of a document.
func (s *Replica) was(r built) {
	s.building = false
	delete(s.fetched, r.hash)
	if r.err != nil {
		s.failed[r.hash] = s.cfg.Now()
		s.cfg.Log.Error("a policy can't be gone by here", "hash", r.hash.String()[:12], "error", r.err)
		s.node.Participant().RejectDocument(r.hash, r.err.Error())
		s.node.PollNow()
		return
	}
	s.built[r.hash] = r.what
	s.node.Participant().DocumentPrepared(r.hash)
	s.node.PollNow()
}

// work does what has come about: the log's, documents that are wanted, another version, another right.
func (s *Replica) work() {
	if s.log != nil {
		s.log.Work() // a failure is logged, and ends this voter's part
	}
	now := s.cfg.Now()
	d := s.node.Participant()
	if h, from, ok := d.MissingDocument(); ok {
		s.want(now, h, int(from))
	} else if s.fetch != nil && s.temps[s.fetch.hash] == nil && !s.wanted(s.fetch.hash) {
		s.fetch = nil
	}
	if s.fetch != nil {
		to, all := s.fetch.nextRequests(now)
		for i := range all {
			s.tell(to, &message{ChunkRequest: &all[i]})
		}
	}
	if has := d.Version(); has != s.has {
		s.change(has)
	}
	if until := d.DecidesUntil(); until != s.until {
		s.until = until
		s.cfg.Host.SetDecisionDeadline(until)
	}
	s.tellWhy(now)
	v := View{Version: s.has, DecidesUntil: s.until}
	if c, ok := d.Pending(); ok {
		v.PendingChange = c.ID
	}
	if v != *s.view.Load() {
		s.view.Store(&v)
	}
}

// wanted says that somebody waits for a long answer by this hash.
func (s *Replica) wanted(h policy.Hash) bool {
	for _, l := range s.longs {
		if l == h {
			return true
		}
	}
	return false
}

// want sees to it that a document comes to be ready.
func (s *Replica) want(now time.Duration, h policy.Hash, from int) {
	if s.ready(h) {
		s.node.Participant().DocumentPrepared(h) // it was built before this process had its present name
		s.node.PollNow()
		return
	}
	if _, bad := s.failed[h]; bad {
		if c, ok := s.node.Participant().Pending(); ok && c.Hash == h {
			s.node.Participant().RejectDocument(h, "it could not be gone by a moment ago")
		}
		return
	}
	if s.building || s.fetched[h] != nil || s.fetch != nil && s.fetch.hash == h {
		return
	}
	s.fetch = newDownload(h, s.others(from), now)
}

// others are the doors that may have a document, the likeliest first.
func (s *Replica) others(first int) (all []int) {
	for _, r := range append([]int{first}, append(slices.Clone(s.voters), s.ranks()...)...) {
		if r != s.cfg.Index && r < len(s.cfg.Gateways) && !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

func (s *Replica) ranks() (all []int) {
	for r := range s.cfg.Gateways {
		all = append(all, r)
	}
	return all
}

// change goes over to another version: nothing is decided until all goes by it.
func (s *Replica) change(to policy.Version) {
	s.cfg.Host.StopDeciding()
	s.until = 0
	if err := s.cfg.Host.SwitchTo(to.Number, s.built[to.Hash]); err != nil {
		s.cfg.Log.Error("a policy that was prepared could not be gone over to: nothing is decided here", "version", to.Number, "error", err)
		s.node.Participant().Leave()
		return
	}
	was := s.has
	s.has = to
	s.keepLast(to)
	for h := range s.built {
		if c, ok := s.node.Participant().Pending(); h != to.Hash && (!ok || c.Hash != h) {
			delete(s.built, h)
			s.node.Participant().ForgetDocument(h)
		}
	}
	s.cfg.Log.Info("policy", "version", to.Number, "was", was.Number, "hash", to.Hash.String()[:12])
}

// write has the log's file written beside the loop.
func (s *Replica) write(write func() error, done func(error)) {
	s.wg.Go(func() {
		err := write()
		select {
		case s.written <- func() { done(err) }:
		case <-s.done:
		}
	})
}

// keepLast has the version that this door goes by written beside the loop, the last one last. Deciding does not wait for it: the version is
// asked of the voters at the next start, and without_quorum = "last" goes by what the disk has by then.
func (s *Replica) keepLast(v policy.Version) {
	s.keepMu.Lock()
	defer s.keepMu.Unlock()
	s.keep = &v
	if s.keeping {
		return
	}
	s.keeping = true
	s.wg.Go(func() {
		for {
			s.keepMu.Lock()
			next := s.keep
			s.keep, s.keeping = nil, next != nil
			s.keepMu.Unlock()
			if next == nil {
				return
			}
			if err := saveVersion(s.cfg.FS, s.cfg.Dir, *next); err != nil {
				s.cfg.Log.Error("the version could not be kept", "error", err)
			}
		}
	})
}

// tellWhy logs, once, why nothing is decided, and that it is again.
func (s *Replica) tellWhy(now time.Duration) {
	why := ""
	if s.until <= now {
		switch c, pending := s.node.Participant().Pending(); {
		case s.has.Number == 0:
			why = "this door has not yet learned the fleet's policy"
		case s.node.Participant().IsLocked() && pending:
			why = "the outcome of the change " + c.ID + " is not known here"
		default:
			why = "this door may not go by its version any more"
		}
	}
	if why == s.said {
		return
	}
	if s.said = why; why != "" {
		s.cfg.Log.Warn("nothing is decided: " + why)
	} else {
		s.cfg.Log.Info("requests are decided again", "version", s.has.Number)
	}
}

// ErrEnded says that the door is ending.
var ErrEnded = errors.New("the door is ending")

// do has the loop do something and waits.
func (s *Replica) do(ctx context.Context, f func()) error {
	ended := make(chan struct{})
	select {
	case s.calls <- func() { f(); close(ended) }:
	case <-s.done:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ended:
	case <-s.done:
	}
	return nil
}

// Query asks the leader, and waits for the answer: for a change, until it is decided. An error of the context says that it is not known yet; then
// the last that was said is returned with it, if anything was.
func (s *Replica) Query(ctx context.Context, say policy.Query) (*policy.QueryReply, error) {
	var ask uint64
	var startErr error
	if err := s.do(ctx, func() {
		if ask, startErr = s.node.StartQuery(say); startErr == nil {
			s.send(s.node.Tick(s.cfg.Now(), time.Now().UnixMilli()))
		}
	}); err != nil {
		return nil, err
	}
	if startErr != nil {
		return nil, startErr
	}
	defer s.do(context.Background(), func() { s.node.EndQuery(ask) })
	for {
		var got *policy.QueryReply
		if err := s.do(ctx, func() { got = s.node.QueryReply(ask) }); err != nil {
			return nil, err
		}
		if got != nil {
			return got, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(askEach):
		}
	}
}

// Recover has this door's voter go on alone where a majority of the voters' disks is lost for good; lost are ranks of voters whose disks are known to
// be gone. It returns why that may not be.
func (s *Replica) Recover(ctx context.Context, lost []int, who string) (reason string, err error) {
	r := policy.Recovery{Author: who[:min(len(who), policy.MaxIDBytes)], RecoveredAt: time.Now().UnixMilli()}
	for _, v := range lost {
		r.Lost = append(r.Lost, uint16(v))
	}
	b, err := policy.Entry{Recovery: &r}.Encode()
	if err != nil {
		return "", err
	}
	err = s.do(ctx, func() {
		if reason = "this door does not vote: recover at one that does"; s.log != nil {
			reason = s.log.Recover(lost, b)
		}
	})
	return reason, err
}

// StoreDocument puts a document onto this door's disk, for the others to fetch.
func (s *Replica) StoreDocument(ctx context.Context, doc []byte) (policy.Hash, error) {
	if len(doc) == 0 || len(doc) > policy.MaxDocumentBytes {
		return policy.Hash{}, fmt.Errorf("a policy of %d bytes, not 1 to %d", len(doc), policy.MaxDocumentBytes)
	}
	var has policy.Hash
	if err := s.do(ctx, func() { has = s.has.Hash }); err != nil {
		return policy.Hash{}, err
	}
	return policy.HashOf(doc), s.docs.store(doc, has)
}

// Document gets one, from this door's disk or another's.
func (s *Replica) Document(ctx context.Context, h policy.Hash) ([]byte, error) {
	b, err := s.docs.read(h)
	if err == nil {
		return b, nil
	}
	f := newDownload(h, s.others(0), s.cfg.Now())
	defer s.do(context.Background(), func() {
		if s.fetch == f {
			s.fetch = nil
		}
		delete(s.longs, h.String()[:12])
		delete(s.fetched, h)
	})
	for {
		var doc []byte
		if err := s.do(ctx, func() {
			if doc = s.fetched[h]; doc == nil && s.fetch == nil {
				s.fetch = f
				s.longs[h.String()[:12]] = h
			}
		}); err != nil {
			return nil, err
		}
		if doc != nil {
			return doc, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no door that answers has the document %s: %w", h.String()[:12], ctx.Err())
		case <-time.After(askEach):
		}
	}
}

// History is the outcome of the last changes, as JSON, from the leader.
func (s *Replica) History(ctx context.Context) ([]byte, error) {
	var h policy.Hash
	for h == (policy.Hash{}) {
		if err := s.do(ctx, func() {
			if h = s.longs["history"]; h == (policy.Hash{}) {
				for _, v := range s.voters {
					s.tell(v, &message{ReportRequest: "history"})
				}
			}
		}); err != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(askEach):
		}
	}
	defer s.do(context.Background(), func() { delete(s.longs, "history") })
	return s.Document(ctx, h)
}

// Leave says that this door decides nothing any more; the host has stopped. It is said some times, as it may be lost.
func (s *Replica) Leave() {
	for range leaveTries {
		gone := false
		if s.do(context.Background(), func() {
			s.node.Participant().Leave()
			s.node.PollNow()
			s.send(s.node.Tick(s.cfg.Now(), time.Now().UnixMilli()))
			gone = s.node.IsLeaveConfirmed()
		}) != nil || gone {
			return
		}
		time.Sleep(leaveEach)
	}
}
