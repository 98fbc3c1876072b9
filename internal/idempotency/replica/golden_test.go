package replica

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
	"gapgap/internal/idempotency"
)

// goldenKey is a key with a byte that differs at each place.
var goldenKey = idempotency.Key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 255}

// goldenHello sets every field.
var goldenHello = idempotency.VoterStatus{
	Process:          1 << 62,
	Incarnation:      7,
	Disk:             99,
	Joined:           true,
	InitialDisks:     []uint64{99, 98, 1 << 60},
	RecordsAtStart:   1000,
	RecordsSynced:    1234,
	ObservedProcess:  77,
	ObservedIsNewest: true,
}

// checkGolden compares a value's bytes with recorded ones, which must be read into an equal value.
func checkGolden[T any](t *testing.T, name string, value T) {
	t.Helper()
	b, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := "testdata/golden/" + name + ".cbor"
	golden.CheckBytes(t, path, b)
	var got T
	if err := decoder.Unmarshal(golden.Read(t, path), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("%s: read as %+v, %v", name, got, err)
	}
}

// TestGoldenMessages holds the bytes of messages between gateways.
func TestGoldenMessages(t *testing.T) {
	checkGolden(t, "message_requests", wire{
		Process: 5,
		Asks:    []idempotency.Request{{Key: goldenKey, Sequence: 1}, {Key: idempotency.KeyOf("a", "b", "c"), Sequence: 1 << 40, Release: true}},
		Ping:    true,
	})
	checkGolden(t, "message_answers", wire{
		Process: 6,
		To:      5,
		Answers: []idempotency.Response{
			{Sequence: 1, Vote: idempotency.VoteGranted},
			{Sequence: 2, Vote: idempotency.VoteHeld},
			{Sequence: 3, Vote: idempotency.VoteFull},
			{Sequence: 4, Vote: idempotency.VoteReleased},
		},
		Pong: true,
	})
	hello := goldenHello
	checkGolden(t, "message_hello", wire{Process: 7, Hello: &hello, Back: true})
	checkGolden(t, "message_hello_empty", wire{Process: 7, Hello: &idempotency.VoterStatus{}})
	checkGolden(t, "message_all", wire{
		Process: 8,
		Asks:    []idempotency.Request{{Key: goldenKey, Sequence: 9, Release: true}},
		To:      10,
		Answers: []idempotency.Response{{Sequence: 11, Vote: idempotency.VoteGranted}},
		Hello:   &hello,
		Back:    true,
		Ping:    true,
		Pong:    true,
	})
}

// TestGoldenRecords holds the bytes of a voter's records on disk.
func TestGoldenRecords(t *testing.T) {
	ticket := idempotency.Owner{Process: 1 << 50, Sequence: 17}
	checkGolden(t, "record_disk", idempotency.Record{Kind: idempotency.RecordDisk, ID: 1 << 61, RecordCount: 12})
	checkGolden(t, "record_begun", idempotency.Record{Kind: idempotency.RecordJoined, Disks: []uint64{1, 2, 3}})
	checkGolden(t, "record_claimed", idempotency.Record{Kind: idempotency.RecordReserved, Key: goldenKey, Owner: ticket})
	checkGolden(t, "record_freed", idempotency.Record{Kind: idempotency.RecordReleased, Key: goldenKey, Owner: ticket})
	known := idempotency.Record{Kind: idempotency.RecordPeer, ID: 3, Disks: []uint64{4}, Voter: 2, Incarnation: 9, RecordCount: 88}
	checkGolden(t, "record_known", known)
	known.Key, known.Owner = goldenKey, ticket
	checkGolden(t, "record_all", known)
}

// TestGoldenView holds the form in which operators are shown a voter.
func TestGoldenView(t *testing.T) {
	want := View{Votes: true, Ready: true, Why: "reason", Keys: 5, Segments: 2}
	b, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	const path = "testdata/golden/view.json"
	golden.CheckBytes(t, path, b)
	var got View
	if err := json.Unmarshal(golden.Read(t, path), &got); err != nil || got != want {
		t.Errorf("read as %+v, %v", got, err)
	}
}
