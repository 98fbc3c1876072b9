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

// Sizes of queues and buffers.
const (
	// maxReceived is the length of the queue of received messages. Messages are dropped when it is full.
	maxReceived = 1024
	// maxQueued is the length of the queue of messages that pools, policy and keys send. Messages are dropped when it
	// is full.
	maxQueued = 1024
	// socketBufferBytes is the size of the socket's receive buffer.
	socketBufferBytes = 1 << 20
)

// ErrNotListed is wrapped by the error that [New] returns for a name that is not in the list.
var ErrNotListed = errors.New("no door of the list is named")

// Transport connects a gateway to the other gateways of its cluster.
type Transport struct {
	Stats  Stats
	config Config
	// index is this gateway's index in the list; names and addresses are in the order of the list.
	index     int
	names     []string
	addresses []netip.AddrPort
	socket    *net.UDPConn

	received chan receivedMessage
	queued   chan queuedMessage
	// calls passes functions to the event loop, which calls them.
	calls chan func()
	// done is closed when the event loop has ended.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	view atomic.Pointer[View]
	id   atomic.Pointer[membership.ID]

	// The following fields belong to the event loop.
	node         *cluster.Node
	sealer       *sealer
	clock        clockCheck
	lease        cluster.ShareLease
	hasDuplicate bool
	queries      statusQueries

	// The following fields belong to the reader.
	opener           *opener
	nextRejectionLog time.Time
}

// New returns a transport with an open socket. It neither sends nor reads before Start.
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

// parseList returns the names and addresses of a list of gateways.
func parseList(gateways []Gateway) (names []string, addresses []netip.AddrPort, err error) {
	for _, gateway := range gateways {
		address, err := netip.ParseAddrPort(gateway.Address)
		if err != nil {
			return nil, nil, fmt.Errorf("gateway %s: %w", gateway.Name, err)
		}
		names = append(names, gateway.Name)
		addresses = append(addresses, address)
	}
	return names, addresses, nil
}

// listen opens the UDP socket.
func listen(at string) (*net.UDPConn, error) {
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBufferBytes) // with a smaller buffer more datagrams are lost and sent again
	return socket, nil
}

// newNode returns the node of this process, with a random nonce and a randomly seeded source of random numbers.
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

// Addr returns the local address of the socket.
func (t *Transport) Addr() net.Addr { return t.socket.LocalAddr() }

// ID returns the identity of this process, which may take a higher incarnation than it was started with. It is safe for
// concurrent use.
func (t *Transport) ID() membership.ID { return *t.id.Load() }

// Start starts the event loop and the reader, which run until Close.
func (t *Transport) Start() {
	t.wg.Go(t.readDatagrams)
	t.wg.Go(t.runEventLoop)
}

// Close stops the event loop and the reader and waits until both have ended. It does not tell the other gateways; call
// Leave first to do that.
func (t *Transport) Close() {
	t.cancel()
	_ = t.socket.Close() // ends the reader; no data is buffered
	t.wg.Wait()
}

// runEventLoop is the event loop, which owns the node.
func (t *Transport) runEventLoop() {
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
			t.handleMessage(received)
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
var errClosed = errors.New("the gateway is shutting down")

// runOnLoop calls a function on the event loop and waits until it has returned.
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
