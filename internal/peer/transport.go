package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/cluster"
	"gapgap/internal/membership"
)

// Bounds of queues and buffers.
const (
	// maxReceived is how many datagrams wait for the event loop; more are dropped.
	maxReceived = 1024
	// maxQueued is how many messages of pools, policy and keys wait to be sent; more are dropped.
	maxQueued = 1024
	// socketBufferBytes is the size of the socket's receive buffer.
	socketBufferBytes = 1 << 20
)

// ErrNotListed is wrapped by the error of [New] for a name that is not in the list.
var ErrNotListed = errors.New("no door of the list is named")

// Transport runs a gateway's part in a cluster.
type Transport struct {
	Stats  Stats
	config Config
	// index is this gateway's position in the list; names and addresses are in its order.
	index     int
	names     []string
	addresses []netip.AddrPort
	socket    *net.UDPConn

	received chan receivedMessage
	queued   chan queuedMessage
	// calls are functions that the event loop is to call.
	calls chan func()
	// done is closed when the event loop has ended.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	view atomic.Pointer[View]
	id   atomic.Pointer[membership.ID]

	// The following belongs to the event loop.
	node         *cluster.Node
	sealer       *sealer
	clock        clockCheck
	lease        cluster.ShareLease
	hasDuplicate bool
	queries      statusQueries

	// The following belongs to the reader.
	opener           *opener
	nextRejectionLog time.Time
}

// New opens the socket. Nothing is sent or read before Start.
func New(config Config) (*Transport, error) {
	names, addresses, err := parseList(config.Gateways)
	if err != nil {
		return nil, err
	}
	index := slices.Index(names, config.Name)
	if index < 0 {
		return nil, fmt.Errorf("%w %q", ErrNotListed, config.Name)
	}
	sealer, err := newSealer(config.Key, names, index)
	if err != nil {
		return nil, err
	}
	socket, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	t := &Transport{
		config:    config,
		index:     index,
		names:     names,
		addresses: addresses,
		socket:    socket,
		received:  make(chan receivedMessage, maxReceived),
		queued:    make(chan queuedMessage, maxQueued),
		calls:     make(chan func()),
		done:      make(chan struct{}),
		node:      newNode(config, index),
		sealer:    sealer,
		clock:     newClockCheck(len(names)),
		queries:   newStatusQueries(),
		opener:    newOpener(config.Key, names, index),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.publish(config.Now())
	return t, nil
}

// parseList returns the names and addresses of a list.
func parseList(gateways []Gateway) (names []string, addresses []netip.AddrPort, err error) {
	for _, gateway := range gateways {
		address, err := netip.ParseAddrPort(gateway.Address)
		if err != nil {
			return nil, nil, fmt.Errorf("door %s: %w", gateway.Name, err)
		}
		names = append(names, gateway.Name)
		addresses = append(addresses, address)
	}
	return names, addresses, nil
}

// listen opens the socket for datagrams.
func listen(at string) (*net.UDPConn, error) {
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBufferBytes) // a smaller buffer loses more datagrams, which are sent again
	return socket, nil
}

// newNode returns the node of a process, with a random nonce and a random source.
func newNode(config Config, index int) *cluster.Node {
	var random [20]byte
	rand.Read(random[:])
	id := membership.ID{
		Incarnation: config.Identity.Incarnation(),
		Nonce:       binary.BigEndian.Uint32(random[16:]),
	}
	seed := mathrand.NewPCG(binary.BigEndian.Uint64(random[:]), binary.BigEndian.Uint64(random[8:]))
	nodeConfig := cluster.Config{Index: index, Gateways: len(config.Gateways), ID: id}
	return cluster.New(nodeConfig, config.Now(), mathrand.New(seed))
}

// Addr returns the address that datagrams are received at.
func (t *Transport) Addr() net.Addr { return t.socket.LocalAddr() }

// ID returns the identity of this process. It may take a higher incarnation than it was started with. Any goroutine may
// call it.
func (t *Transport) ID() membership.ID { return *t.id.Load() }

// Start starts the event loop and the reader. They end with Close.
func (t *Transport) Start() {
	t.wg.Go(t.read)
	t.wg.Go(t.loop)
}

// Close ends both without a message to the other gateways; call Leave before it to tell them. It waits for their end.
func (t *Transport) Close() {
	t.cancel()
	_ = t.socket.Close() // the reader ends by it; no data is buffered
	t.wg.Wait()
}

// loop is the event loop. It owns the node.
func (t *Transport) loop() {
	defer close(t.done)
	ticker := time.NewTicker(cluster.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case call := <-t.calls:
			call()
		case received := <-t.received:
			t.handle(received)
		case queued := <-t.queued:
			t.sendQueued(queued)
		case <-ticker.C:
			t.node.ConfirmApplied(t.config.AppliedEpoch())
			t.sendAll(t.node.Tick(t.config.Now()), netip.AddrPort{})
		}
		t.applyChanges()
	}
}

// errClosed is returned for calls after the event loop has ended.
var errClosed = errors.New("the door is ending")

// runOnLoop has the event loop call a function and waits for it.
func (t *Transport) runOnLoop(ctx context.Context, f func()) error {
	ended := make(chan struct{})
	call := func() {
		f()
		close(ended)
	}
	select {
	case t.calls <- call:
	case <-t.done:
		return errClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ended:
	case <-t.done:
	}
	return nil
}
