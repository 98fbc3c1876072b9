package policyreplica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
	"gapgap/internal/policy"
	"gapgap/internal/vfs"
)

func goldenRef(rank uint16) policy.Process {
	return policy.Process{Gateway: rank, ID: membership.ID{Incarnation: 5, Nonce: 1 << 31}}
}

func goldenChange() policy.Change {
	return policy.Change{Index: 300, ID: "c", Base: 6, Hash: policy.HashOf([]byte("doc")), Bytes: 1 << 20, Mode: policy.Fence,
		Author: "w", Note: "n", ProposedAt: 1_700_000_000_001, Source: 4, Initial: true}
}

// TestGoldenMessages compares the bytes of each kind of datagram with those recorded, and reads them back.
func TestGoldenMessages(t *testing.T) {
	hash := policy.HashOf([]byte("doc"))
	hello := policy.StatusRequest{Process: goldenRef(1), SentAt: time.Hour, Version: 7, Prepared: 300, Rejected: 301, Reason: "r", Locked: 302,
		Leaving: true, SwitchedAt: 1_700_000_000_003}
	cases := []struct {
		name  string
		value message
	}{
		{"node", message{Node: &policy.Message{StatusRequest: &hello}}},
		{"log", message{Raft: []byte("S raft")}},
		{"get", message{ChunkRequest: &chunkRequest{Hash: hash, Offset: 8192}}},
		{"part", message{Chunk: &chunk{Hash: hash, Offset: 8192, DocumentSize: 10_000, Data: []byte("some bytes")}}},
		{"fragment", message{Fragment: &fragment{MessageID: 1 << 30, Index: 2, Count: 3, Data: []byte("some bytes")}}},
		{"want", message{ReportRequest: "history"}},
		{"long", message{ReportLocation: &reportLocation{Report: "history", Hash: hash}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := "testdata/golden/" + c.name + ".cbor"
			b, err := cbor.Marshal(&c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.CheckBytes(t, path, b)
			var got message
			if err := messageDecoder.Unmarshal(golden.Read(t, path), &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, c.value) {
				t.Errorf("read back %+v, want %+v", got, c.value)
			}
		})
	}
}

// TestGoldenVersionFile compares the file of the version gone by with the recorded one, and reads that back.
func TestGoldenVersionFile(t *testing.T) {
	path := "testdata/golden/policy.json"
	want := policy.Version{Number: 7, Hash: policy.HashOf([]byte("doc"))}
	dir := t.TempDir()
	if err := saveVersion(vfs.OS{}, dir, want); err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, path, golden.Read(t, filepath.Join(dir, "policy.json")))
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "policy.json"), golden.Read(t, path), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := loadVersion(vfs.OS{}, dir); err != nil || got != want {
		t.Errorf("read back %v, %v", got, err)
	}
}

// TestGoldenHistory compares the JSON of all outcomes with the recorded one.
func TestGoldenHistory(t *testing.T) {
	change := goldenChange()
	state := &policy.State{Outcomes: []policy.Outcome{
		{Change: change, Committed: true, Version: 7, Reason: "r", DecidedAt: 1_700_000_000_002, Locked: []policy.Process{goldenRef(1)},
			Fenced: []policy.Process{goldenRef(3)}, SwitchedAt: map[uint16]int64{1: 1_700_000_000_003, 3: 4}},
		{Change: policy.Change{ID: "d"}, Reason: "door 3 has not locked", DecidedAt: 9},
	}}
	golden.CheckBytes(t, "testdata/golden/history.json", encodeHistory(state))
	golden.CheckBytes(t, "testdata/golden/history-none.json", encodeHistory(policy.NewState()))
}

// TestGoldenDocumentFiles compares the files of documents, and which are left when there are many.
func TestGoldenDocumentFiles(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, "policies"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "policies", "x.toml.new1"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := openDocumentStore(vfs.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	first := policy.HashOf([]byte("document 0"))
	for i := range 20 {
		doc := fmt.Appendf(nil, "document %d", i)
		if err := d.store(doc, first); err != nil {
			t.Fatal(err)
		}
		at := time.Unix(int64(1_700_000_000+i), 0)
		if err := os.Chtimes(d.path(policy.HashOf(doc)), at, at); err != nil {
			t.Fatal(err)
		}
	}
	list, err := os.ReadDir(filepath.Join(dir, "policies"))
	if err != nil {
		t.Fatal(err)
	}
	trace := golden.NewTrace()
	for _, e := range list {
		trace.String(e.Name())
		trace.String(string(golden.Read(t, filepath.Join(dir, "policies", e.Name()))))
	}
	b := make([]byte, 4)
	n, size, err := d.readAt(first, 5, b)
	if err != nil {
		t.Fatal(err)
	}
	trace.String(string(b[:n]))
	trace.Int(size)
	hashes.Check(t, "documents", trace.Sum())
}

// fetchHash is the trace of fetching a document over lines that lose from gateways of which some do not have it.
func fetchHash(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	trace, now := golden.NewTrace(), time.Hour
	doc := make([]byte, 1+rng.IntN(60*chunkBytes))
	for i := range doc {
		doc[i] = byte(rng.Uint32())
	}
	sources := []int{0, 3, 4}[:1+rng.IntN(3)]
	f := newDownload(policy.HashOf(doc), sources, now)
	for range 4000 {
		to, gets := f.nextRequests(now)
		slices.SortFunc(gets, func(a, b chunkRequest) int { return int(a.Offset - b.Offset) }) // those asked for again come in the order of a map
		trace.Int(int64(to))
		trace.Int(int64(len(gets)))
		for _, g := range gets {
			trace.String(string(g.Hash[:]))
			trace.Int(g.Offset)
			if rng.IntN(4) == 0 {
				continue // lost
			}
			p := &chunk{Hash: g.Hash, Offset: g.Offset}
			if rng.IntN(10) > 0 && to != 3 && g.Offset < int64(len(doc)) {
				p.DocumentSize, p.Data = int64(len(doc)), bytes.Clone(doc[g.Offset:min(int64(len(doc)), g.Offset+chunkBytes)])
			}
			if rng.IntN(400) == 0 && len(p.Data) > 0 {
				p.Data[0]++ // damaged
			}
			whole, ok := f.receive(p)
			trace.Bool(ok)
			if ok {
				trace.Bool(bytes.Equal(whole, doc))
				return trace.Sum()
			}
		}
		now += time.Duration(rng.IntN(60)) * time.Millisecond
	}
	return trace.Sum()
}

// joinHash is the trace of messages in fragments that are lost, doubled and out of order.
func joinHash(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 12))
	trace := golden.NewTrace()
	var j reassembly
	for id := range uint32(200) {
		of := 1 + rng.IntN(6)
		for _, n := range rng.Perm(of + 1) {
			if rng.IntN(9) == 0 {
				continue
			}
			whole := j.add(&fragment{MessageID: id - uint32(rng.IntN(15)/14), Index: uint16(n), Count: uint16(of), Data: fmt.Appendf(nil, "%d-%d,", id, n)})
			trace.Bool(whole != nil)
			trace.String(string(whole))
		}
	}
	return trace.Sum()
}

// TestGoldenTransfers compares how documents are fetched and messages are joined with what is recorded.
func TestGoldenTransfers(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	check := func(name string, play func() string) {
		t.Helper()
		sum := play()
		if again := play(); again != sum {
			t.Errorf("%s: %s, then %s", name, sum, again)
			return
		}
		hashes.Check(t, name, sum)
	}
	for seed := range uint64(20) {
		check(fmt.Sprint("fetch-", seed), func() string { return fetchHash(t, seed) })
		check(fmt.Sprint("join-", seed), func() string { return joinHash(seed) })
	}
	trace := golden.NewTrace()
	for gateways := range 40 {
		for _, rank := range Voters(gateways) {
			trace.Int(int64(rank))
		}
		trace.Int(-1)
	}
	hashes.Check(t, "voters", trace.Sum())
}
