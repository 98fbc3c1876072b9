package policyreplica

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/raftlog"
)

const (
	// tickInterval is how often the replica checks the timers of the node.
	tickInterval = 10 * time.Millisecond
	// ticksPerRaftTick is the number of replica ticks in one tick of the replicated log.
	ticksPerRaftTick = 5
	// maxQueuedMessages limits the messages that wait for the replica's goroutine. Further messages are dropped.
	maxQueuedMessages = 4096
	// maxBatch limits the queued messages that are handled together. A batch needs only one write of the log.
	maxBatch = 64
)

// View is a snapshot of the version that a gateway decides by.
type View struct {
	// Version is the version that the gateway has switched to; the zero version: none yet.
	Version policy.Version
	// DecidesUntil is when the gateway's right to decide ends, on the clock Config.Now; zero: it has no such right.
	DecidesUntil time.Duration
	// PendingChange is the ID of the change that is pending as far as the gateway knows; empty: none.
	PendingChange string
}

// Replica runs the policy commit protocol on one gateway. Any goroutine may call its exported methods.
type Replica struct {
	config        Config
	voters        []int
	documents     *documentStore
	versionWriter *versionWriter
	// storedVersion is the version that was on the disk at the start.
	storedVersion   policy.Version
	droppedMessages atomic.Uint64
	view            atomic.Pointer[View]

	inbox chan receivedDatagram
	// calls and completedWrites carry functions that the replica's goroutine runs: those of callers, and the callbacks
	// of finished log writes.
	calls           chan func()
	completedWrites chan func()
	ctx             context.Context
	cancel          context.CancelFunc
	waitGroup       sync.WaitGroup
	// done is closed when the replica's goroutine ends.
	done chan struct{}

	// The fields below belong to the goroutine of run.

	node *policy.Node
	// raftLog is nil if this gateway is not a voter.
	raftLog *raftlog.Log
	process policy.Process
	// startedAt is when run started, and ticks counts its ticks.
	startedAt time.Duration
	ticks     int
	// version and decidesUntil are the values that were last passed to the host.
	version      policy.Version
	decidesUntil time.Duration
	// loggedReason is the last logged reason why nothing is decided; empty: requests are decided.
	loggedReason    string
	preparer        *preparer
	initialProposal initialProposal
	// download is the running download; nil: none.
	download *download
	awaited  awaitedDocuments
	reports  reportCache
	// lastMessageID is the ID of the last message that was sent in fragments.
	lastMessageID uint32
	// reassemblies has the incomplete received messages, by sender.
	reassemblies map[int]*reassembly
}

// New opens the policy state on the gateway's disk. Its error messages have a single line. They may wrap errors of
// packages statefile and raftlog.
func New(config Config) (*Replica, error) {
	documents, err := openDocumentStore(config.FS, config.Dir)
	if err != nil {
		return nil, err
	}
	storedVersion, err := loadVersion(config.FS, config.Dir)
	if err != nil {
		return nil, err
	}
	r := newReplica(config, documents)
	r.storedVersion = storedVersion
	if err := r.openNode(); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

// newReplica returns a replica without a node.
func newReplica(config Config, documents *documentStore) *Replica {
	r := &Replica{
		config:          config,
		voters:          Voters(len(config.Gateways)),
		documents:       documents,
		inbox:           make(chan receivedDatagram, maxQueuedMessages),
		calls:           make(chan func()),
		completedWrites: make(chan func()),
		done:            make(chan struct{}),
		process:         config.Process(),
		awaited:         awaitedDocuments{},
		reports:         reportCache{byHash: map[policy.Hash][]byte{}},
		reassemblies:    map[int]*reassembly{},
	}
	r.versionWriter = &versionWriter{fs: config.FS, dir: config.Dir, log: config.Log, waitGroup: &r.waitGroup}
	r.preparer = &preparer{
		host:       config.Host,
		documents:  documents,
		log:        config.Log,
		waitGroup:  &r.waitGroup,
		results:    make(chan buildResult, 1),
		done:       r.done,
		downloaded: map[policy.Hash][]byte{},
		built:      map[policy.Hash]any{},
		failedAt:   map[policy.Hash]time.Duration{},
	}
	r.view.Store(&View{})
	return r
}

// openNode creates the node, and opens the replicated log if this gateway is a voter.
func (r *Replica) openNode() error {
	nodeConfig := policy.Config{
		Process:    r.process,
		Gateways:   len(r.config.Gateways),
		Voters:     r.voters,
		AbortAfter: r.config.AbortAfter,
	}
	if !slices.Contains(r.voters, r.config.Index) {
		r.node = policy.NewNode(nodeConfig)
		return nil
	}
	disk, err := raftlog.OpenDisk(r.config.FS, r.config.Dir)
	if err != nil {
		return err
	}
	nodeConfig.Log = voterLog{replica: r}
	r.node = policy.NewNode(nodeConfig)
	return r.openLog(disk)
}

// Start starts the replica's goroutine.
func (r *Replica) Start() { r.waitGroup.Go(r.run) }

// Close stops the replica's goroutines. It does not notify other gateways; call [Replica.Leave] first for that.
func (r *Replica) Close() {
	r.cancel()
	r.waitGroup.Wait()
}

// View returns the version that the gateway decides by.
func (r *Replica) View() View { return *r.view.Load() }

// StoredVersion returns the version that was on the disk at the start, or the zero version if there was none.
func (r *Replica) StoredVersion() policy.Version { return r.storedVersion }

// DroppedMessages returns the number of messages that were invalid or arrived at a full queue.
func (r *Replica) DroppedMessages() uint64 { return r.droppedMessages.Load() }

// run handles messages, calls, results and ticks until the context is canceled.
func (r *Replica) run() {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.startedAt = r.config.Now()
	for {
		select {
		case <-r.ctx.Done():
			return
		case first := <-r.inbox:
			r.handleQueued(first)
		case call := <-r.calls:
			call()
		case result := <-r.preparer.results:
			r.handleBuildResult(result)
		case done := <-r.completedWrites:
			done()
		case <-ticker.C:
			r.tick()
		}
		r.update()
	}
}

// handleQueued handles a message and up to maxBatch more that are already queued.
func (r *Replica) handleQueued(first receivedDatagram) {
	r.handle(first)
	for range min(len(r.inbox), maxBatch) {
		r.handle(<-r.inbox)
	}
}

// tick advances the log, the node and the replica's own timers.
func (r *Replica) tick() {
	now := r.config.Now()
	r.ticks++
	if r.raftLog != nil && r.ticks%ticksPerRaftTick == 0 {
		r.raftLog.Tick()
	}
	if process := r.config.Process(); process != r.process {
		r.process = process
		r.node.SetProcess(process)
	}
	r.sendAll(r.node.Tick(now, wallMilliseconds()))
	r.proposeInitialPolicy(now)
	r.decideByStoredVersion(now)
	r.preparer.expireFailures(now)
}

// update processes the effects of the last event: log writes, downloads, and changes for the host and the view.
func (r *Replica) update() {
	if r.raftLog != nil {
		_ = r.raftLog.ProcessReady() // the log reports its failure itself, and the voter stops
	}
	now := r.config.Now()
	r.updateDownload(now)
	r.updateHost()
	r.logDecisionState(now)
	r.updateView()
}

func (r *Replica) updateView() {
	view := View{Version: r.version, DecidesUntil: r.decidesUntil}
	if change, ok := r.node.Participant().Pending(); ok {
		view.PendingChange = change.ID
	}
	if view != *r.view.Load() {
		r.view.Store(&view)
	}
}

// wallMilliseconds returns the wall-clock time in Unix milliseconds.
func wallMilliseconds() int64 { return time.Now().UnixMilli() }
