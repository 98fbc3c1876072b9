package policyreplica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/policy"
	"gapgap/internal/vfs"
)

// testTimeout limits each wait of a test.
const testTimeout = 20 * time.Second

// testHost is a Host that records the applied document. It fails to build documents that begin with "bad".
type testHost struct {
	mu       sync.Mutex
	version  uint64
	document string
	deadline time.Duration
}

var errBadDocument = errors.New("line 7: no such class")

func (h *testHost) Build(document []byte) (any, error) {
	if strings.HasPrefix(string(document), "bad") {
		return nil, errBadDocument
	}
	return string(document), nil
}

func (h *testHost) StopDeciding() { h.SetDecisionDeadline(0) }

func (h *testHost) SwitchTo(version uint64, built any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.document = version, built.(string)
	return nil
}

func (h *testHost) SetDecisionDeadline(deadline time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = deadline
}

// applied returns the document that the host decides by, or an empty string if it does not decide.
func (h *testHost) applied(now time.Duration) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deadline <= now {
		return ""
	}
	return h.document
}

// network runs the replicas of several gateways in one process.
type network struct {
	t       *testing.T
	started time.Time
	dirs    []string
	hosts   []*testHost
	adjust  func(*Config)

	mu          sync.Mutex
	replicas    []*Replica // nil while the gateway's process is down
	incarnation uint32
}

func newNetwork(t *testing.T, gateways int, adjust func(*Config)) *network {
	t.Helper()
	n := &network{t: t, started: time.Now(), adjust: adjust, replicas: make([]*Replica, gateways)}
	for range gateways {
		n.dirs = append(n.dirs, t.TempDir())
		n.hosts = append(n.hosts, nil)
	}
	t.Cleanup(func() {
		for i := range n.replicas {
			n.stop(i)
		}
	})
	for i := range gateways {
		n.start(i)
	}
	return n
}

func (n *network) now() time.Duration { return time.Hour + time.Since(n.started) }

func (n *network) name(i int) string { return fmt.Sprint("g", i) }

// start starts a gateway's process.
func (n *network) start(i int) {
	n.t.Helper()
	n.incarnation++
	process := policy.Process{Gateway: uint16(i), ID: membership.ID{Incarnation: n.incarnation}}
	n.hosts[i] = &testHost{}
	cfg := Config{
		Name:          n.name(i),
		Index:         i,
		FS:            vfs.OS{},
		Dir:           n.dirs[i],
		Now:           n.now,
		Log:           slog.New(slog.DiscardHandler),
		Send:          func(to int, b []byte) { n.deliver(i, to, b) },
		Process:       func() policy.Process { return process },
		InitialPolicy: func() ([]byte, error) { return []byte("initial"), nil },
		Host:          n.hosts[i],
	}
	for other := range n.replicas {
		cfg.Gateways = append(cfg.Gateways, n.name(other))
	}
	n.adjust(&cfg)
	replica, err := New(cfg)
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.replicas[i] = replica
	n.mu.Unlock()
	replica.Start()
}

// stop kills a gateway's process.
func (n *network) stop(i int) {
	n.mu.Lock()
	replica := n.replicas[i]
	n.replicas[i] = nil
	n.mu.Unlock()
	if replica != nil {
		replica.Close()
	}
}

func (n *network) deliver(from, to int, b []byte) {
	n.mu.Lock()
	replica := n.replicas[to]
	n.mu.Unlock()
	if replica != nil {
		replica.HandleMessage(from, b)
	}
}

// waitApplied waits until gateways decide by a document.
func (n *network) waitApplied(document string, gateways ...int) {
	n.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for _, i := range gateways {
		for n.hosts[i].applied(n.now()) != document {
			if time.Now().After(deadline) {
				n.t.Fatalf("gateway %d decides by %q, want %q", i, n.hosts[i].applied(n.now()), document)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// propose proposes a document at a gateway and waits for the outcome.
func (n *network) propose(i int, id, document string, base uint64) *policy.Outcome {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(n.t.Context(), testTimeout)
	defer cancel()
	hash, err := n.replicas[i].StoreDocument(ctx, []byte(document))
	if err != nil {
		n.t.Fatal(err)
	}
	reply, err := n.replicas[i].Query(ctx, policy.Query{ChangeID: id, Change: &policy.Change{
		ID:     id,
		Base:   base,
		Hash:   hash,
		Bytes:  int64(len(document)),
		Source: uint16(i),
	}})
	if err != nil {
		n.t.Fatal(err)
	}
	return reply.Outcome
}

func unchanged(*Config) {}

// TestPolicyReplicasCommit verifies that a long document is committed, that a document that gateways reject is aborted,
// and that all gateways decide by the committed version after a restart.
func TestPolicyReplicasCommit(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 4, unchanged)
	n.waitApplied("initial", 0, 1, 2, 3)
	long := strings.Repeat("a rule\n", 60_000)
	if o := n.propose(3, "long", long, 1); !o.Committed || o.Version != 2 {
		t.Fatalf("%+v", o)
	}
	n.waitApplied(long, 0, 1, 2, 3)
	if o := n.propose(3, "rejected", "bad", 2); o.Committed || !strings.Contains(o.Reason, errBadDocument.Error()) {
		t.Errorf("%+v", o)
	}
	for i := range 4 {
		if v := n.replicas[i].View(); v.Version.Number != 2 || v.DecidesUntil != policy.NoExpiry {
			t.Errorf("gateway %d: %+v", i, v)
		}
	}
	for i := range 4 {
		n.stop(i)
	}
	for i := range 4 {
		n.start(i)
		if v := n.replicas[i].StoredVersion(); v.Number != 2 || v.Hash != policy.HashOf([]byte(long)) {
			t.Errorf("gateway %d has stored %+v", i, v)
		}
	}
	n.waitApplied(long, 0, 1, 2, 3)
}

// TestPolicyReplicasFetch verifies that a document can be downloaded from the only gateway that has it, and the errors
// for a document that no gateway has and for an empty one.
func TestPolicyReplicasFetch(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 3, unchanged)
	n.waitApplied("initial", 0, 1, 2)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	document := []byte(strings.Repeat("x", 100_000))
	hash, err := n.replicas[1].StoreDocument(ctx, document)
	if err != nil {
		t.Fatal(err)
	}
	got, err := n.replicas[2].Document(ctx, hash)
	if err != nil || string(got) != string(document) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	early, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	if _, err := n.replicas[2].Document(early, policy.Hash{1}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a document that nobody has: %v", err)
	}
	var size *DocumentSizeError
	if _, err := n.replicas[2].StoreDocument(ctx, nil); !errors.As(err, &size) {
		t.Errorf("an empty document: %v", err)
	}
}

// TestPolicyReplicasHistory verifies that each gateway, including the leader, returns the outcomes of the last changes.
func TestPolicyReplicasHistory(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 3, unchanged)
	n.waitApplied("initial", 0, 1, 2)
	for i, replica := range n.replicas {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		history, err := replica.History(ctx)
		cancel()
		if err != nil || !strings.Contains(string(history), `"id":"begin"`) {
			t.Errorf("gateway %d: %q, %v", i, history, err)
		}
	}
}

// TestPolicyReplicasHistoryAfterLateLocation verifies that the location of a report that arrives after its caller has
// gone is ignored. Otherwise the next caller would try to download a report that may no longer exist.
func TestPolicyReplicasHistoryAfterLateLocation(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 3, unchanged)
	n.waitApplied("initial", 0, 1, 2)
	for i, replica := range n.replicas {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		late := &reportLocation{Report: historyReport, Hash: policy.Hash{1}}
		if err := replica.call(ctx, func() { replica.handleReportLocation(late) }); err != nil {
			t.Fatal(err)
		}
		history, err := replica.History(ctx)
		cancel()
		if err != nil || !strings.Contains(string(history), `"id":"begin"`) {
			t.Errorf("gateway %d: %q, %v", i, history, err)
		}
	}
}

// TestPolicyReplicaWithoutQuorum verifies that with StoredVersionDelay, one of three gateways that is started alone
// decides by the version on its disk.
func TestPolicyReplicaWithoutQuorum(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 3, func(cfg *Config) {
		if cfg.Index == 2 {
			cfg.StoredVersionDelay = 200 * time.Millisecond
		}
	})
	n.waitApplied("initial", 0, 1, 2)
	for i := range 3 {
		n.stop(i)
	}
	n.start(2)
	n.waitApplied("initial", 2)
}

// TestPolicyReplicaLeaves verifies that a change does not wait for a gateway that has left.
func TestPolicyReplicaLeaves(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 4, unchanged)
	n.waitApplied("initial", 0, 1, 2, 3)
	n.replicas[3].Leave()
	n.stop(3)
	if o := n.propose(1, "next", "second", 1); !o.Committed {
		t.Errorf("%+v", o)
	}
	n.waitApplied("second", 0, 1, 2)
}

// TestPolicyReplicaRefusesRecovery verifies that voters, a gateway that is not a voter and a closed replica refuse a
// recovery while no voter is lost.
func TestPolicyReplicaRefusesRecovery(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 4, unchanged)
	n.waitApplied("initial", 0, 1, 2, 3)
	for i, replica := range n.replicas {
		err := replica.Recover(t.Context(), nil, "o")
		var refused *RecoveryRefusedError
		if !errors.As(err, &refused) || errors.Is(err, ErrNotVoter) != (i == 3) {
			t.Errorf("gateway %d: %v", i, err)
		}
	}
	closed := n.replicas[0]
	n.stop(0)
	if err := closed.Recover(t.Context(), nil, "o"); !errors.Is(err, ErrClosed) {
		t.Errorf("a closed replica: %v", err)
	}
}

// TestPolicyReplicaDamagedDocument verifies that a gateway with a damaged document downloads it from another gateway.
func TestPolicyReplicaDamagedDocument(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 3, unchanged)
	n.waitApplied("initial", 0, 1, 2)
	n.stop(2)
	path := filepath.Join(n.dirs[2], "policies", policy.HashOf([]byte("initial")).String()+documentSuffix)
	if err := vfs.ReplaceFile(vfs.OS{}, path, []byte("damaged")); err != nil {
		t.Fatal(err)
	}
	n.start(2)
	n.waitApplied("initial", 2)
}
