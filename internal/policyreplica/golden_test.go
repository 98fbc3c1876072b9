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

func goldenProcess(gateway uint16) policy.Process {
	return policy.Process{Gateway: gateway, ID: membership.ID{Incarnation: 5, Nonce: 1 << 31}}
}

func goldenChange() policy.Change {
	return policy.Change{
		Index:      300,
		ID:         "c",
		Base:       6,
		Hash:       policy.HashOf([]byte("doc")),
		Bytes:      1 << 20,
		Mode:       policy.Fence,
		Author:     "w",
		Note:       "n",
		ProposedAt: 1_700_000_000_001,
		Source:     4,
		Initial:    true,
	}
}

// TestGoldenMessages verifies that each kind of datagram matches the recorded bytes, and that these can be decoded.
func TestGoldenMessages(t *testing.T) {
	hash := policy.HashOf([]byte("doc"))
	statusRequest := policy.StatusRequest{
		Process:    goldenProcess(1),
		SentAt:     time.Hour,
		Version:    7,
		Prepared:   300,
		Rejected:   301,
		Reason:     "r",
		Locked:     302,
		Leaving:    true,
		SwitchedAt: 1_700_000_000_003,
	}
	cases := []struct {
		name  string
		value message
	}{
		{"node", message{Node: &policy.Message{StatusRequest: &statusRequest}}},
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

// TestGoldenVersionFile verifies that the version file matches the recorded one, and that the recorded one can be read.
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

// TestGoldenHistory verifies that the JSON of the outcomes matches the recorded one, with and without outcomes.
func TestGoldenHistory(t *testing.T) {
	change := goldenChange()
	state := &policy.State{Outcomes: []policy.Outcome{
		{
			Change:     change,
			Committed:  true,
			Version:    7,
			Reason:     "r",
			DecidedAt:  1_700_000_000_002,
			Locked:     []policy.Process{goldenProcess(1)},
			Fenced:     []policy.Process{goldenProcess(3)},
			SwitchedAt: map[uint16]int64{1: 1_700_000_000_003, 3: 4},
		},
		{Change: policy.Change{ID: "d"}, Reason: "door 3 has not locked", DecidedAt: 9},
	}}
	golden.CheckBytes(t, "testdata/golden/history.json", encodeHistory(state))
	golden.CheckBytes(t, "testdata/golden/history-none.json", encodeHistory(policy.NewState()))
}

// TestGoldenDocumentFiles verifies that the names and contents of document files, and the choice of files that are kept
// when there are too many, match the recorded hash.
func TestGoldenDocumentFiles(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, "policies"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "policies", "x.toml.new1"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	documents, err := openDocumentStore(vfs.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	first := policy.HashOf([]byte("document 0"))
	for i := range 20 {
		doc := fmt.Appendf(nil, "document %d", i)
		if err := documents.store(doc, first); err != nil {
			t.Fatal(err)
		}
		at := time.Unix(int64(1_700_000_000+i), 0)
		if err := os.Chtimes(documents.path(policy.HashOf(doc)), at, at); err != nil {
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
	n, size, err := documents.readAt(first, 5, b)
	if err != nil {
		t.Fatal(err)
	}
	trace.String(string(b[:n]))
	trace.Int(size)
	hashes.Check(t, "documents", trace.Sum())
}

// downloadHash returns the trace hash of a download over lossy links, where some gateways do not have the document.
func downloadHash(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	trace, now := golden.NewTrace(), time.Hour
	document := make([]byte, 1+rng.IntN(60*chunkBytes))
	for i := range document {
		document[i] = byte(rng.Uint32())
	}
	size := int64(len(document))
	sources := []int{0, 3, 4}[:1+rng.IntN(3)]
	d := newDownload(policy.HashOf(document), sources)
	for range 4000 {
		to, requests := d.nextRequests(now)
		slices.SortFunc(requests, func(a, b chunkRequest) int { // repeated requests come in map order
			return int(a.Offset - b.Offset)
		})
		trace.Int(int64(to))
		trace.Int(int64(len(requests)))
		for _, request := range requests {
			trace.String(string(request.Hash[:]))
			trace.Int(request.Offset)
			if rng.IntN(4) == 0 {
				continue // lost
			}
			reply := &chunk{Hash: request.Hash, Offset: request.Offset}
			if rng.IntN(10) > 0 && to != 3 && request.Offset < size {
				reply.DocumentSize = size
				reply.Data = bytes.Clone(document[request.Offset:min(size, request.Offset+chunkBytes)])
			}
			if rng.IntN(400) == 0 && len(reply.Data) > 0 {
				reply.Data[0]++ // damaged
			}
			received, ok := d.receive(reply)
			trace.Bool(ok)
			if ok {
				trace.Bool(bytes.Equal(received, document))
				return trace.Sum()
			}
		}
		now += time.Duration(rng.IntN(60)) * time.Millisecond
	}
	return trace.Sum()
}

// reassemblyHash returns the trace hash of reassembling messages whose fragments are lost, invalid, out of order or
// have the ID of the previous message.
func reassemblyHash(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 12))
	trace := golden.NewTrace()
	var r reassembly
	for id := range uint32(200) {
		count := 1 + rng.IntN(6)
		for _, index := range rng.Perm(count + 1) {
			if rng.IntN(9) == 0 {
				continue
			}
			encoded := r.add(&fragment{
				MessageID: id - uint32(rng.IntN(15)/14),
				Index:     uint16(index),
				Count:     uint16(count),
				Data:      fmt.Appendf(nil, "%d-%d,", id, index),
			})
			trace.Bool(encoded != nil)
			trace.String(string(encoded))
		}
	}
	return trace.Sum()
}

// TestGoldenTransfers verifies that downloads, reassemblies and the choice of voters match the recorded hashes.
func TestGoldenTransfers(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	check := func(name string, run func() string) {
		t.Helper()
		sum := run()
		if again := run(); again != sum {
			t.Errorf("%s: %s, then %s", name, sum, again)
			return
		}
		hashes.Check(t, name, sum)
	}
	for seed := range uint64(20) {
		check(fmt.Sprint("fetch-", seed), func() string { return downloadHash(t, seed) })
		check(fmt.Sprint("join-", seed), func() string { return reassemblyHash(seed) })
	}
	trace := golden.NewTrace()
	for gateways := range 40 {
		for _, index := range Voters(gateways) {
			trace.Int(int64(index))
		}
		trace.Int(-1)
	}
	hashes.Check(t, "voters", trace.Sum())
}
