// Package peer carries what doors of one fleet tell each other, by datagrams that are sealed with a shared key: a stranger is neither
// heard nor told. It drives one [cluster.Node], and has whoever hands out what is shared go by its standing.
//
// One goroutine owns the node; one reads the socket and opens datagrams. A door is told at the address that the list gives for it,
// wherever its own words came from.
package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/clockskew"
	"gapgap/internal/cluster"
	"gapgap/internal/membership"
)

// Bounds and times.
const (
	inboxMost   = 1024                   // datagrams that wait for the loop; more are dropped
	outboxMost  = 1024                   // ... and words of loans from the pools, and of policy
	lendersMost = 16                     // doors that are asked for a loan
	askWithin   = 400 * time.Millisecond // for other doors' views
	leaveWithin = time.Second
	readBuffer  = 1 << 20
	clockEach   = 100 * time.Millisecond
	oddEach     = 10 * time.Second // pause between two log lines on datagrams that are not understood
)

// Gateway is one door of the list.
type Gateway struct{ Name, Address string }

// Config is a door's part in a fleet.
type Config struct {
	Name     string    // of this door, one of the list
	Listen   string    // address and port
	Gateways []Gateway // the same list in the same order at all doors
	Key      []byte
	Identity *IdentityStore
	Now      func() time.Duration // the clock of whoever hands out
	Log      *slog.Logger

	// ApplyLease has those who hand out go by a standing, soon; Applied is the generation that all of them go by. Both return at once.
	ApplyLease   func(cluster.ShareLease)
	AppliedEpoch func() uint64

	// SetClockWrong is told whether this door's clock must be wrong, by what the others say of theirs, whenever that changes. It returns at once.
	SetClockWrong func(wrong bool)

	// HandleLoanRequest and Loaned take what other doors say of loans. Both return at once.
	HandleLoanRequest func(from int, w LoanRequest)
	HandleLoan        func(from int, l Loan)

	// HandlePolicy takes what other doors say of policy; nil: it is passed over. It returns at once.
	HandlePolicy func(from int, b []byte)

	// RecoveryStep is how far this door's recovery has come, for operators; nil: it is not told.
	RecoveryStep func() string

	// HandleKeys takes what other doors say of keys of changes; nil: it is passed over. It returns at once.
	HandleKeys func(from int, b []byte)
}

// Stats count datagrams.
type Stats struct {
	Sent, SentBytes, Received, ReceivedBytes atomic.Uint64
	Rejected                                 atomic.Uint64 // received and not understood, or from a stranger
	Dropped                                  atomic.Uint64 // received while the loop was behind
	Transitions                              atomic.Uint64
}

// Transport is a running part in a fleet.
type Transport struct {
	Stats   Stats
	cfg     Config
	rank    int
	names   []string
	sock    *net.UDPConn
	addrs   []netip.AddrPort
	codec   *codec // seals: the loop's
	opener  *codec // opens: the reader's
	node    *cluster.Node
	inbox   chan inMessage
	calls   chan func()
	outbox  chan outMessage // of loans
	done    chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	clocks  *clockskew.Detector
	wrong   bool               // the loop's ...
	clockAt time.Duration      // ... and when it looks at that again
	last    cluster.ShareLease // the loop's
	rival   bool
	oddAt   time.Time // the reader's
	asks    map[uint32]chan viewed
	lastAsk uint32
	view    atomic.Pointer[View]
	id      atomic.Pointer[membership.ID]
}

type inMessage struct {
	m    *message
	from netip.AddrPort
}

type outMessage struct {
	to int // negative: those that may lend
	m  *message
}

type viewed struct {
	rank int
	a    *statusReply
}

// New takes the address. Nothing is told before Run.
func New(cfg Config) (*Transport, error) {
	p := &Transport{cfg: cfg, inbox: make(chan inMessage, inboxMost), calls: make(chan func()), outbox: make(chan outMessage, outboxMost), done: make(chan struct{}), asks: map[uint32]chan viewed{}}
	for _, d := range cfg.Gateways {
		p.names = append(p.names, d.Name)
		a, err := netip.ParseAddrPort(d.Address)
		if err != nil {
			return nil, fmt.Errorf("door %s: %w", d.Name, err)
		}
		p.addrs = append(p.addrs, a)
	}
	if p.rank = slices.Index(p.names, cfg.Name); p.rank < 0 {
		return nil, fmt.Errorf("no door of the list is named %q", cfg.Name)
	}
	var err error
	if p.codec, err = newCodec(cfg.Key, p.names, p.rank); err != nil {
		return nil, err
	}
	if p.opener, err = newCodec(cfg.Key, p.names, p.rank); err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, err
	}
	if p.sock, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	p.sock.SetReadBuffer(readBuffer)
	p.clocks = clockskew.New(len(p.names))
	var seed [20]byte
	rand.Read(seed[:])
	id := membership.ID{Incarnation: cfg.Identity.Incarnation(), Nonce: binary.BigEndian.Uint32(seed[16:])}
	p.node = cluster.New(cluster.Config{Index: p.rank, Gateways: len(p.names), ID: id}, cfg.Now(),
		mrand.New(mrand.NewPCG(binary.BigEndian.Uint64(seed[:]), binary.BigEndian.Uint64(seed[8:]))))
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.publish(cfg.Now())
	return p, nil
}

// Addr is where this door hears the others.
func (p *Transport) Addr() net.Addr { return p.sock.LocalAddr() }

// Start begins to tell and to hear.
func (p *Transport) Start() {
	p.wg.Go(p.read)
	p.wg.Go(p.loop)
}

// Close ends it, without a word to the others. Leave goes before it.
func (p *Transport) Close() {
	p.stop()
	p.sock.Close()
	p.wg.Wait()
}

func (p *Transport) read() {
	buf := make([]byte, mostBytes+1)
	for {
		n, from, err := p.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // an earlier datagram was refused
		}
		p.Stats.Received.Add(1)
		p.Stats.ReceivedBytes.Add(uint64(n))
		m, err := p.opener.open(buf[:n])
		if err != nil {
			p.odd(err, from)
			continue
		}
		select {
		case p.inbox <- inMessage{m, from}:
		default:
			p.Stats.Dropped.Add(1)
		}
	}
}

func (p *Transport) odd(err error, from netip.AddrPort) {
	p.Stats.Rejected.Add(1)
	if now := time.Now(); now.Sub(p.oddAt) >= oddEach {
		p.oddAt = now
		p.cfg.Log.Warn("a datagram is passed over", "from", from, "why", err, "so far", p.Stats.Rejected.Load())
	}
}

// loop owns the node.
func (p *Transport) loop() {
	defer close(p.done)
	tick := time.NewTicker(cluster.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case call := <-p.calls:
			call()
		case in := <-p.inbox:
			p.heard(in)
		case out := <-p.outbox:
			p.loans(out)
		case <-tick.C:
			p.node.ConfirmApplied(p.cfg.AppliedEpoch())
			now := p.cfg.Now()
			p.send(p.node.Tick(now), netip.AddrPort{})
		}
		p.after()
	}
}

func (p *Transport) heard(in inMessage) {
	from := int(in.m.From)
	switch m := in.m; {
	case m.Cluster != nil:
		if m.SentAt > 0 {
			p.clocks.Observe(p.cfg.Now(), from, time.Duration(m.SentAt))
		}
		outs, err := p.node.Receive(p.cfg.Now(), from, *m.Cluster)
		if err != nil {
			p.Stats.Rejected.Add(1)
			return
		}
		p.send(outs, in.from)
	case m.LoanRequest != nil && m.LoanRequest.good():
		p.cfg.HandleLoanRequest(from, *m.LoanRequest)
	case m.Loan != nil && m.Loan.Request.good():
		p.cfg.HandleLoan(from, *m.Loan)
	case m.Policy != nil:
		if p.cfg.HandlePolicy != nil {
			p.cfg.HandlePolicy(from, m.Policy)
		}
	case m.Keys != nil:
		if p.cfg.HandleKeys != nil {
			p.cfg.HandleKeys(from, m.Keys)
		}
	case m.StatusRequest > 0:
		a := &statusReply{Number: m.StatusRequest}
		for _, o := range p.node.Members() {
			a.States, a.Incarnations = append(a.States, byte(o.State)), append(a.Incarnations, o.ID.Incarnation)
		}
		a.Fraction = p.standing(p.cfg.Now()).Fraction
		a.RecoveryStep = p.step()
		p.tell(from, &message{StatusReply: a}, netip.AddrPort{})
	case m.StatusReply != nil:
		if ch := p.asks[m.StatusReply.Number]; ch != nil && len(m.StatusReply.States) == len(p.names) && len(m.StatusReply.Incarnations) == len(p.names) {
			select {
			case ch <- viewed{from, m.StatusReply}:
			default:
			}
		}
	}
}

func (p *Transport) step() string {
	if p.cfg.RecoveryStep == nil {
		return ""
	}
	s := p.cfg.RecoveryStep()
	return s[:min(len(s), mostStep)]
}

// RequestLoan asks other doors for a loan, some of them where they are many; what does not fit is asked for again. Any goroutine may call it.
func (p *Transport) RequestLoan(w LoanRequest) { p.put(outMessage{-1, &message{LoanRequest: &w}}) }

// SendPolicy tells a door something of policy, MostPolicy bytes at most. It may be lost. Any goroutine may call it.
func (p *Transport) SendPolicy(to int, b []byte) { p.put(outMessage{to, &message{Policy: b}}) }

// SendKeys is TellPolicy for keys of changes.
func (p *Transport) SendKeys(to int, b []byte) { p.put(outMessage{to, &message{Keys: b}}) }

// ID is this process. It may take a higher incarnation than it started with.
func (p *Transport) ID() membership.ID { return *p.id.Load() }

// GrantLoan answers a door's Want.
func (p *Transport) GrantLoan(to int, l Loan) { p.put(outMessage{to, &message{Loan: &l}}) }

func (p *Transport) put(o outMessage) {
	select {
	case p.outbox <- o:
	default:
		p.Stats.Dropped.Add(1)
	}
}

func (p *Transport) loans(o outMessage) {
	if o.to >= 0 {
		p.tell(o.to, o.m, netip.AddrPort{})
		return
	}
	var there []int
	for _, m := range p.node.Members() {
		if m.Index != p.rank && m.State.IsPresent() {
			there = append(there, m.Index)
		}
	}
	mrand.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	for _, to := range there[:min(lendersMost, len(there))] {
		p.tell(to, o.m, netip.AddrPort{})
	}
}

func (p *Transport) send(outs []cluster.Outgoing, back netip.AddrPort) {
	if len(outs) == 0 {
		return
	}
	p.kept()
	for i := range outs {
		o := &outs[i]
		to := netip.AddrPort{}
		if o.ReplyToSender {
			to = back
		}
		m := &message{Cluster: &o.Message}
		if o.Message.Heartbeat != nil {
			m.SentAt = int64(p.cfg.Now())
		}
		p.tell(o.To, m, to)
	}
}

// kept writes an incarnation that was adopted before anybody hears of it.
func (p *Transport) kept() {
	if p.node.TakeIncarnationChange() {
		if err := p.cfg.Identity.Save(p.node.ID().Incarnation); err != nil {
			p.cfg.Log.Error("this door's incarnation could not be kept: after its next start it is taken for an earlier self, for a while", "error", err)
		}
		p.cfg.Log.Warn("this door's disk has lost its incarnation: the others know a later one", "now", p.node.ID().Incarnation)
	}
}

// tell sends a message to a door, and to one more address if that is given.
func (p *Transport) tell(to int, m *message, also netip.AddrPort) {
	m.To = uint16(to)
	b, err := p.codec.seal(m)
	if err != nil || len(b) > mostBytes {
		p.cfg.Log.Error("a message to a door could not be made", "to", p.names[to], "error", err, "bytes", len(b))
		return
	}
	for _, at := range []netip.AddrPort{p.addrs[to], also} {
		if at.IsValid() {
			p.sock.WriteToUDPAddrPort(b, at) // lost ones are said again
			p.Stats.Sent.Add(1)
			p.Stats.SentBytes.Add(uint64(len(b)))
		}
	}
}

// standing is what this door may hand out. One whose clock is wrong hands out nothing: the others lend all of a ceiling by the counter's numbers, which it
// can't name. It keeps its seats, as pools go by this a little later.
func (p *Transport) standing(now time.Duration) cluster.ShareLease {
	s := p.node.ShareLease(now)
	if p.wrong {
		s.Excluded, s.Fraction = true, 0
	}
	return s
}

// judge looks whether this door's clock can be right.
func (p *Transport) judge(now time.Duration) {
	behind, wrong := p.clocks.Skew(now)
	if wrong == p.wrong {
		return
	}
	if p.wrong = wrong; wrong {
		p.cfg.Log.Error("this door's clock is not the others': it asks the counter for nothing and takes no share of ceilings. Set the machine's clock and start the door anew",
			"behind by", behind.Round(time.Millisecond))
	} else {
		p.cfg.Log.Info("this door's clock is the others' again")
	}
	p.cfg.SetClockWrong(wrong)
	p.publish(now)
}

// after logs what has changed, and has a new standing applied.
func (p *Transport) after() {
	now := p.cfg.Now()
	changes := p.node.TakeTransitions()
	for _, c := range changes {
		p.Stats.Transitions.Add(1)
		p.cfg.Log.Info("door of the fleet", "door", p.names[c.Index], "is", c.To, "was", c.From, "cause", c.Cause, "incarnation", c.ID.Incarnation)
	}
	if id, rival := p.node.Duplicate(now); rival != p.rival {
		if p.rival = rival; rival {
			p.cfg.Log.Error("another process has this door's name and goes before it: this one takes no share", "its incarnation", id.Incarnation,
				"this one's", p.node.ID().Incarnation)
		} else {
			p.cfg.Log.Info("the other process of this door's name is gone")
		}
	}
	if now >= p.clockAt {
		p.clockAt = now + clockEach
		p.judge(now)
	}
	s := p.standing(now)
	if s.Epoch != p.last.Epoch || s.Fraction != p.last.Fraction || s.Until != p.last.Until || s.Excluded != p.last.Excluded || !slices.Equal(s.DeadGateways, p.last.DeadGateways) {
		if s.Fraction != p.last.Fraction || s.Excluded != p.last.Excluded {
			p.cfg.Log.Debug("part of what is shared", "part", s.Fraction, "out", s.Excluded)
		}
		p.last = s
		p.cfg.ApplyLease(s)
	}
	if len(changes) > 0 || s.Epoch != p.view.Load().epoch || s.Fraction != p.view.Load().Fraction {
		p.publish(now)
	}
}

// View is how this door sees the fleet.
type View struct {
	Name         string   `json:"name"`
	Incarnation  uint32   `json:"incarnation"`
	Fraction     float64  `json:"part"` // of what is leased, held by this door
	Excluded     bool     `json:"out"`  // it takes no share
	HasDuplicate bool     `json:"rival,omitempty"`
	WrongClock   bool     `json:"wrong_clock,omitempty"` // it asks the counter for nothing
	Gateways     []Member `json:"doors"`
	epoch        uint64
}

// Member is one door as this one sees it, and as the others do.
type Member struct {
	Name        string            `json:"name"`
	State       string            `json:"state"`
	Cause       string            `json:"cause"`
	Since       time.Time         `json:"since"`
	Incarnation uint32            `json:"incarnation"`
	Fraction    *float64          `json:"part,omitempty"` // that it says it holds; null: it has not answered
	SeenBy      map[string]string `json:"seen_by,omitempty"`
	Recovery    string            `json:"recovery,omitempty"` // step that it says it is at
	Disagree    bool              `json:"disagree,omitempty"` // doors that have answered see it differently
}

// IsPresent says whether the door was heard of a moment ago.
func (m *Member) IsPresent() bool {
	return m.State == membership.Alive.String() || m.State == membership.Joining.String() || m.State == membership.Returned.String()
}

func (p *Transport) publish(now time.Duration) {
	s, id := p.standing(now), p.node.ID()
	p.id.Store(&id)
	v := &View{Name: p.cfg.Name, Incarnation: p.node.ID().Incarnation, Fraction: s.Fraction, Excluded: s.Excluded, HasDuplicate: p.rival, WrongClock: p.wrong, epoch: s.Epoch}
	for _, m := range p.node.Members() {
		v.Gateways = append(v.Gateways, Member{Name: p.names[m.Index], State: m.State.String(), Cause: m.Cause, Since: time.Now().Add(m.Since - now),
			Incarnation: m.ID.Incarnation})
	}
	p.view.Store(v)
}

// View is how this door saw the fleet when that last changed. Any goroutine may call it.
func (p *Transport) View() *View { return p.view.Load() }

var errEnded = errors.New("the door is ending")

// do has the loop do something and waits.
func (p *Transport) do(ctx context.Context, f func()) error {
	ended := make(chan struct{})
	select {
	case p.calls <- func() { f(); close(ended) }:
	case <-p.done:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ended:
	case <-p.done:
	}
	return nil
}

// Status is how this door sees the fleet and how the others say that they do, as far as they answer within a moment.
func (p *Transport) Status(ctx context.Context) (*View, error) {
	answers := make(chan viewed, len(p.names))
	var ask uint32
	var v View
	err := p.do(ctx, func() {
		p.lastAsk++
		ask = p.lastAsk
		p.asks[ask] = answers
		p.publish(p.cfg.Now())
		v = *p.view.Load()
		v.Gateways = slices.Clone(v.Gateways)
		for to := range p.names {
			if to != p.rank {
				p.tell(to, &message{StatusRequest: ask}, netip.AddrPort{})
			}
		}
	})
	if err != nil {
		return nil, err
	}
	defer p.do(context.Background(), func() { delete(p.asks, ask) })
	for i := range v.Gateways {
		v.Gateways[i].SeenBy = map[string]string{p.cfg.Name: v.Gateways[i].State}
	}
	part := v.Fraction
	v.Gateways[p.rank].Fraction, v.Gateways[p.rank].Recovery = &part, p.step()
	limit := time.After(askWithin)
	for answered := 1; answered < len(p.names); {
		select {
		case a := <-answers:
			for i, s := range a.a.States {
				m := &v.Gateways[i]
				if _, twice := m.SeenBy[p.names[a.rank]]; !twice && i == 0 {
					answered++
				}
				m.SeenBy[p.names[a.rank]] = membership.State(s).String()
			}
			v.Gateways[a.rank].Fraction, v.Gateways[a.rank].Recovery = &a.a.Fraction, a.a.RecoveryStep[:min(len(a.a.RecoveryStep), mostStep)]
			continue
		case <-limit:
		case <-ctx.Done():
		}
		break
	}
	for i := range v.Gateways {
		m := &v.Gateways[i]
		serves := 0
		for _, s := range m.SeenBy {
			if s != membership.Dead.String() && s != membership.Left.String() && s != membership.Absent.String() {
				serves++
			}
		}
		m.Disagree = serves > 0 && serves < len(m.SeenBy)
	}
	return &v, nil
}

// Leave gives all up and tells the others that this door goes, once all who hand out go by that.
func (p *Transport) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveWithin)
	defer cancel()
	if err := p.do(ctx, p.node.Leave); err != nil {
		return err
	}
	for gone := false; !gone; {
		if err := p.do(ctx, func() { gone = p.node.HasLeft() }); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(cluster.TickInterval):
		}
	}
	return nil
}

// ErrUnknownGateway says that the list has no door of a name.
var ErrUnknownGateway = errors.New("no door of the list has this name")

// Forget takes a door that does not serve as gone for good, here, until it is heard of as a new process.
func (p *Transport) Forget(ctx context.Context, name string) error {
	rank := slices.Index(p.names, name)
	if rank < 0 {
		return fmt.Errorf("%q: %w", name, ErrUnknownGateway)
	}
	var err error
	if e := p.do(ctx, func() {
		if s := p.node.Members()[rank].State; s.IsPresent() {
			err = fmt.Errorf("door %s is %v", name, s)
		} else {
			err = p.node.Forget(p.cfg.Now(), rank)
		}
	}); e != nil {
		return e
	}
	return err
}
