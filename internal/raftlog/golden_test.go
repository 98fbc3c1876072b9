package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"gapgap/internal/golden"
	"gapgap/internal/vfs"
)

// unsyncedFS is the operating system's file system without syncs, which only matter for a power loss.
type unsyncedFS struct{ vfs.OS }

// unsyncedFile is a file whose Sync does nothing.
type unsyncedFile struct{ vfs.File }

func (unsyncedFile) Sync() error { return nil }

func (unsyncedFS) SyncDir(string) error { return nil }

func (u unsyncedFS) CreateTemp(dir, pattern string) (vfs.File, error) {
	file, err := u.OS.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err
	}
	return unsyncedFile{file}, nil
}

// createDisk creates an empty disk with a fixed number instead of a random one.
func createDisk(t *testing.T, dir string, number uint64) {
	t.Helper()
	d, err := OpenDisk(vfs.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	d.content.Number = number
	if err := d.write(); err != nil {
		t.Fatal(err)
	}
}

// goldenCluster is a cluster with fixed disk numbers, driven from one goroutine. Raft randomizes election timeouts, so
// the first voter campaigns before any of them expires, and its heartbeats keep all of them from expiring afterwards.
type goldenCluster struct {
	*cluster
	trace *golden.Trace
}

func newGoldenCluster(t *testing.T, voters int) *goldenCluster {
	t.Helper()
	c := &cluster{t: t}
	for i := range voters {
		c.dirs = append(c.dirs, t.TempDir())
		c.voters = append(c.voters, nil)
		createDisk(t, c.dirs[i], uint64(1001+i))
	}
	g := &goldenCluster{cluster: c, trace: golden.NewTrace()}
	for i := range voters {
		g.start(i)
	}
	g.runTicks(2)
	if err := c.voters[0].log.node.Campaign(); err != nil {
		t.Fatal(err)
	}
	g.processReady(0)
	g.runTicks(3)
	if c.leader() != c.voters[0] {
		t.Fatal("the first voter is not the leader")
	}
	return g
}

// start starts a voter whose writes are not synced.
func (g *goldenCluster) start(i int) {
	g.t.Helper()
	g.cluster.start(i)
	g.voters[i].disk.files = unsyncedFS{}
}

// processReady calls a voter's ProcessReady and delivers all messages in order.
func (g *goldenCluster) processReady(i int) {
	g.t.Helper()
	if err := g.voters[i].log.ProcessReady(); err != nil {
		g.t.Fatal(err)
	}
	g.deliver()
}

func (g *goldenCluster) deliver() {
	g.t.Helper()
	for len(g.messages) > 0 {
		m := g.messages[0]
		g.messages = g.messages[1:]
		g.trace.Int(int64(m.from))
		g.trace.Int(int64(m.to))
		g.trace.String(string(m.data))
		to := g.voters[m.to].log
		if to == nil {
			continue
		}
		if err := to.Step(m.from, m.data); err != nil {
			g.t.Fatal(err)
		}
		if err := to.ProcessReady(); err != nil {
			g.t.Fatal(err)
		}
	}
}

func (g *goldenCluster) runTicks(n int) {
	g.t.Helper()
	for range n {
		for i, v := range g.voters {
			if v.log != nil {
				v.log.Tick()
				g.processReady(i)
			}
		}
	}
}

func (g *goldenCluster) propose(from, to int) {
	g.t.Helper()
	for n := from; n < to; n++ {
		g.voters[0].log.Propose(entry(n))
		if n%20 != 19 && n != to-1 {
			continue // a write rewrites the whole file, so several entries share one
		}
		g.voters[0].log.ConfirmRead(uint64(n))
		g.processReady(0)
		if n%60 == 59 {
			g.runTicks(1)
		}
	}
}

// recordError adds the text of an error to the trace, or an empty string for nil.
func (g *goldenCluster) recordError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.trace.String(text)
}

// finalHash adds the applied entries and the files of all voters to the trace, and returns its hash.
func (g *goldenCluster) finalHash() string {
	g.t.Helper()
	for i, v := range g.voters {
		g.trace.Uint(v.index)
		g.trace.Int(int64(len(v.applied)))
		for _, n := range v.applied {
			g.trace.Uint(n)
		}
		g.trace.Int(int64(v.reads))
		b, err := os.ReadFile(filepath.Join(g.dirs[i], fileName))
		if err != nil {
			g.t.Fatal(err)
		}
		g.trace.String(string(b))
	}
	return g.trace.Sum()
}

// singleVoterHash runs a single voter past a compaction and restarts it.
func singleVoterHash(t *testing.T) string {
	g := newGoldenCluster(t, 1)
	g.propose(0, 1200)
	g.stop(0)
	g.start(0)
	g.trace.Uint(g.voters[0].index)
	g.trace.Int(int64(len(g.voters[0].applied)))
	return g.finalHash()
}

// snapshotHash runs a follower that is down until a snapshot is needed for it to catch up.
func snapshotHash(t *testing.T) string {
	g := newGoldenCluster(t, 3)
	g.propose(0, 20)
	g.stop(2)
	g.propose(20, 700)
	g.start(2)
	g.runTicks(60)
	g.propose(700, 720)
	return g.finalHash()
}

// replacedHash runs a voter that loses its disk and is replaced.
func replacedHash(t *testing.T) string {
	g := newGoldenCluster(t, 3)
	g.propose(0, 30)
	g.stop(2)
	if err := os.Remove(filepath.Join(g.dirs[2], fileName)); err != nil {
		t.Fatal(err)
	}
	createDisk(t, g.dirs[2], 2003)
	g.start(2)
	for range 40 {
		g.recordError(g.voters[0].log.ReplaceVoter(2))
		g.processReady(0)
		g.runTicks(1)
	}
	g.trace.Bool(g.voters[2].log.HasStarted())
	g.propose(30, 60)
	g.recordError(g.voters[0].log.ReplaceVoter(1))
	g.recordError(g.voters[0].log.ReplaceVoter(7))
	g.recordError(g.voters[1].log.ReplaceVoter(2))
	return g.finalHash()
}

// stuckDiskHash runs a leader whose disk is stuck, so that it transfers its leadership.
func stuckDiskHash(t *testing.T) string {
	g := newGoldenCluster(t, 3)
	g.propose(0, 5)
	write := g.delayWrites(0)
	g.voters[0].log.Propose(entry(5))
	g.processReady(0)
	for range 8 {
		g.runTicks(1)
		for _, v := range g.voters {
			term, leads := v.log.Leading()
			g.trace.Uint(term)
			g.trace.Bool(leads)
		}
	}
	for range 5 {
		write()
		g.deliver()
		g.runTicks(1)
	}
	return g.finalHash()
}

// rejectedRecoveryHash runs recoveries that are rejected because there is a leader, or because a voter that is named as
// lost was present a short time ago.
func rejectedRecoveryHash(t *testing.T) string {
	g := newGoldenCluster(t, 3)
	g.recordError(g.voters[0].log.Recover(nil, entry(1)))
	g.propose(0, 3)
	g.stop(1)
	g.stop(2)
	g.recordError(g.voters[0].log.Recover([]int{1, 2}, entry(1)))
	g.runTicks(30) // it steps down, as no majority answers
	g.recordError(g.voters[0].log.Recover([]int{1}, entry(1)))
	return g.trace.Sum()
}

// TestGoldenVoters verifies that what voters send, apply and store matches the recorded hashes. Raft randomizes
// election timeouts, so the cases are limited to runs in which no timeout expires.
func TestGoldenVoters(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	cases := []struct {
		name string
		hash func(*testing.T) string
	}{
		{"alone", singleVoterHash},
		{"snapshot", snapshotHash},
		{"replaced", replacedHash},
		{"stuck-disk", stuckDiskHash},
		{"refused-recovery", rejectedRecoveryHash},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sum := c.hash(t)
			if c.name != "snapshot" { // a second run would take seconds
				if again := c.hash(t); again != sum {
					t.Fatalf("%s, then %s", sum, again)
				}
			}
			hashes.Check(t, c.name, sum)
		})
	}
}

// goldenDiskContent returns a content of a voter's file with all fields set.
func goldenDiskContent(t *testing.T) diskContent {
	t.Helper()
	d := &Disk{content: diskContent{Number: 1<<62 + 1, Disks: map[int]uint64{0: 1<<62 + 1, 1: 7, 2: 1 << 40}}}
	hardState := raftpb.HardState{Term: 4, Vote: 2, Commit: 302}
	snapshot := raftpb.Snapshot{
		Data:     append([]byte{snapshotWithDisks, 2, 0, 5, 1, 7}, "state"...),
		Metadata: raftpb.SnapshotMetadata{ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 3}}, Index: 300, Term: 3},
	}
	entries := []raftpb.Entry{
		{Term: 3, Index: 301, Data: []byte("an entry")},
		{Term: 4, Index: 302, Type: raftpb.EntryConfChange, Data: []byte{8, 1}},
	}
	if err := d.record(hardState, entries, &snapshot); err != nil {
		t.Fatal(err)
	}
	return d.content
}

// TestGoldenVoterFile verifies that a voter's file matches the recorded one, and that the recorded one can be read.
func TestGoldenVoterFile(t *testing.T) {
	path := "testdata/golden/policy.log"
	dir := t.TempDir()
	createDisk(t, dir, 1)
	d, err := OpenDisk(vfs.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	d.content = goldenDiskContent(t)
	if err := d.write(); err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, path, golden.Read(t, filepath.Join(dir, fileName)))

	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), golden.Read(t, path), 0o600); err != nil {
		t.Fatal(err)
	}
	if d, err = OpenDisk(vfs.OS{}, dir); err != nil {
		t.Fatal(err)
	}
	if want := goldenDiskContent(t); !reflect.DeepEqual(d.content, want) {
		t.Errorf("read back %+v, want %+v", d.content, want)
	}
	storage, err := d.load()
	if err != nil {
		t.Fatal(err)
	}
	if last, err := storage.LastIndex(); err != nil || last != 302 {
		t.Errorf("the last index is %d, %v", last, err)
	}
}

// TestGoldenSnapshotData verifies that an encoded snapshot with disk numbers matches the recorded one, and that
// snapshots with and without disk numbers can be decoded.
func TestGoldenSnapshotData(t *testing.T) {
	disks := map[int]uint64{0: 1<<62 + 1, 1: 7, 2: 1 << 40}
	l := &Log{cfg: Config{Disk: &Disk{content: diskContent{Disks: disks}}}}
	path := "testdata/golden/snapshot.bin"
	golden.CheckBytes(t, path, l.encodeSnapshot([]byte("state")))
	got, state, err := decodeSnapshot(golden.Read(t, path))
	if err != nil || string(state) != "state" || !reflect.DeepEqual(got, disks) {
		t.Errorf("read back %v, %q, %v", got, state, err)
	}
	got, state, err = decodeSnapshot([]byte("of an earlier program"))
	if err != nil || string(state) != "of an earlier program" || got != nil {
		t.Errorf("without disk numbers: %v, %q, %v", got, state, err)
	}
}

// TestGoldenMessages verifies that each kind of message between voters matches its recorded hash.
func TestGoldenMessages(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/messages.txt")
	var sent [][]byte
	dir := t.TempDir()
	createDisk(t, dir, 1001)
	d, err := OpenDisk(vfs.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(Config{
		Voter:         0,
		Voters:        []int{0, 1},
		Disk:          d,
		Logger:        slog.New(slog.DiscardHandler),
		Send:          func(_ int, b []byte) { sent = append(sent, b) },
		Apply:         func(uint64, []byte) {},
		ReadConfirmed: func(uint64) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	l.Tick()
	fresh := append([]byte{'B'}, binary.AppendUvarint(binary.AppendUvarint(nil, 1002), 0)...)
	if err := l.Step(1, fresh); err != nil {
		t.Fatal(err)
	}
	l.Tick()
	l.Tick()
	l.Tick()
	l.Tick()
	l.Tick()
	l.send(raftpb.Message{Type: raftpb.MsgApp, From: 1, To: 2, Term: 3, Index: 4, LogTerm: 3, Commit: 4,
		Entries: []raftpb.Entry{{Term: 3, Index: 5, Data: []byte("an entry")}}})
	for i, b := range sent {
		trace := golden.NewTrace()
		trace.String(string(b))
		hashes.Check(t, fmt.Sprintf("message-%d-%c", i, b[0]), trace.Sum())
	}
	if hashes.Len() != len(sent) {
		t.Errorf("%d messages were sent, %d are recorded", len(sent), hashes.Len())
	}
	for _, malformed := range [][]byte{nil, {'B'}, {'S'}, {'S', 1}, {'T', 1}} {
		if err := l.Step(1, malformed); !errors.Is(err, ErrMalformed) {
			t.Errorf("%v: %v", malformed, err)
		}
	}
}
