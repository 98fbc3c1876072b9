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
	p := &goldenCluster{cluster: c, trace: golden.NewTrace()}
	for i := range voters {
		p.start(i)
	}
	p.runTicks(2)
	if err := c.voters[0].log.node.Campaign(); err != nil {
		t.Fatal(err)
	}
	p.processReady(0)
	p.runTicks(3)
	if c.leader() != c.voters[0] {
		t.Fatal("the first voter is not the leader")
	}
	return p
}

// start starts a voter whose writes are not synced.
func (p *goldenCluster) start(i int) {
	p.t.Helper()
	p.cluster.start(i)
	p.voters[i].disk.files = unsyncedFS{}
}

// processReady calls a voter's ProcessReady and delivers all messages in order.
func (p *goldenCluster) processReady(i int) {
	p.t.Helper()
	if err := p.voters[i].log.ProcessReady(); err != nil {
		p.t.Fatal(err)
	}
	p.deliver()
}

func (p *goldenCluster) deliver() {
	p.t.Helper()
	for len(p.messages) > 0 {
		m := p.messages[0]
		p.messages = p.messages[1:]
		p.trace.Int(int64(m.from))
		p.trace.Int(int64(m.to))
		p.trace.String(string(m.data))
		to := p.voters[m.to].log
		if to == nil {
			continue
		}
		if err := to.Step(m.from, m.data); err != nil {
			p.t.Fatal(err)
		}
		if err := to.ProcessReady(); err != nil {
			p.t.Fatal(err)
		}
	}
}

func (p *goldenCluster) runTicks(n int) {
	p.t.Helper()
	for range n {
		for i, v := range p.voters {
			if v.log != nil {
				v.log.Tick()
				p.processReady(i)
			}
		}
	}
}

func (p *goldenCluster) propose(from, to int) {
	p.t.Helper()
	for n := from; n < to; n++ {
		p.voters[0].log.Propose(entry(n))
		if n%20 != 19 && n != to-1 {
			continue // a write rewrites the whole file, so several entries share one
		}
		p.voters[0].log.ConfirmRead(uint64(n))
		p.processReady(0)
		if n%60 == 59 {
			p.runTicks(1)
		}
	}
}

// recordError adds the text of an error to the trace, or an empty string for nil.
func (p *goldenCluster) recordError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	p.trace.String(text)
}

// finalHash adds the applied entries and the files of all voters to the trace, and returns its hash.
func (p *goldenCluster) finalHash() string {
	p.t.Helper()
	for i, v := range p.voters {
		p.trace.Uint(v.index)
		p.trace.Int(int64(len(v.applied)))
		for _, n := range v.applied {
			p.trace.Uint(n)
		}
		p.trace.Int(int64(v.reads))
		b, err := os.ReadFile(filepath.Join(p.dirs[i], fileName))
		if err != nil {
			p.t.Fatal(err)
		}
		p.trace.String(string(b))
	}
	return p.trace.Sum()
}

// singleVoterHash runs a single voter past a compaction and restarts it.
func singleVoterHash(t *testing.T) string {
	p := newGoldenCluster(t, 1)
	p.propose(0, 1200)
	p.stop(0)
	p.start(0)
	p.trace.Uint(p.voters[0].index)
	p.trace.Int(int64(len(p.voters[0].applied)))
	return p.finalHash()
}

// snapshotHash runs a follower that is down until a snapshot is needed for it to catch up.
func snapshotHash(t *testing.T) string {
	p := newGoldenCluster(t, 3)
	p.propose(0, 20)
	p.stop(2)
	p.propose(20, 700)
	p.start(2)
	p.runTicks(60)
	p.propose(700, 720)
	return p.finalHash()
}

// replacedHash runs a voter that loses its disk and is replaced.
func replacedHash(t *testing.T) string {
	p := newGoldenCluster(t, 3)
	p.propose(0, 30)
	p.stop(2)
	if err := os.Remove(filepath.Join(p.dirs[2], fileName)); err != nil {
		t.Fatal(err)
	}
	createDisk(t, p.dirs[2], 2003)
	p.start(2)
	for range 40 {
		p.recordError(p.voters[0].log.ReplaceVoter(2))
		p.processReady(0)
		p.runTicks(1)
	}
	p.trace.Bool(p.voters[2].log.HasStarted())
	p.propose(30, 60)
	p.recordError(p.voters[0].log.ReplaceVoter(1))
	p.recordError(p.voters[0].log.ReplaceVoter(7))
	p.recordError(p.voters[1].log.ReplaceVoter(2))
	return p.finalHash()
}

// stuckDiskHash runs a leader whose disk is stuck, so that it transfers its leadership.
func stuckDiskHash(t *testing.T) string {
	p := newGoldenCluster(t, 3)
	p.propose(0, 5)
	write := p.delayWrites(0)
	p.voters[0].log.Propose(entry(5))
	p.processReady(0)
	for range 8 {
		p.runTicks(1)
		for _, v := range p.voters {
			term, leads := v.log.Leading()
			p.trace.Uint(term)
			p.trace.Bool(leads)
		}
	}
	for range 5 {
		write()
		p.deliver()
		p.runTicks(1)
	}
	return p.finalHash()
}

// rejectedRecoveryHash runs recoveries that are rejected because there is a leader or a majority may still return.
func rejectedRecoveryHash(t *testing.T) string {
	p := newGoldenCluster(t, 3)
	p.recordError(p.voters[0].log.Recover(nil, entry(1)))
	p.propose(0, 3)
	p.stop(1)
	p.stop(2)
	p.recordError(p.voters[0].log.Recover([]int{1, 2}, entry(1)))
	p.runTicks(30) // it steps down, as no majority answers
	p.recordError(p.voters[0].log.Recover([]int{1}, entry(1)))
	return p.trace.Sum()
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
