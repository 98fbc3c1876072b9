package replica

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
	"gapgap/internal/idempotency"
)

// goldenKey is a key whose bytes all differ.
var goldenKey = idempotency.Key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 255}

// goldenStatus is a status with all fields set.
var goldenStatus = idempotency.VoterStatus{
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

// checkGolden checks that the encoding of a value equals the recorded one, and that the recorded one decodes to the
// same value.
func checkGolden[T any](t *testing.T, name string, value T) {
	t.Helper()
	b, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := "testdata/golden/" + name + ".cbor"
	golden.CheckBytes(t, path, b)
	var got T
	if err := messageDecoder.Unmarshal(golden.Read(t, path), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("%s: decoded as %+v, %v", name, got, err)
	}
}

// TestGoldenMessages verifies the encoding of messages between gateways.
func TestGoldenMessages(t *testing.T) {
	checkGolden(t, "message_requests", message{
		Process: 5,
		Requests: []idempotency.Request{
			{Key: goldenKey, Sequence: 1},
			{Key: idempotency.KeyOf("a", "b", "c"), Sequence: 1 << 40, Release: true},
		},
		Ping: true,
	})
	checkGolden(t, "message_responses", message{
		Process:  6,
		Receiver: 5,
		Responses: []idempotency.Response{
			{Sequence: 1, Vote: idempotency.VoteGranted},
			{Sequence: 2, Vote: idempotency.VoteHeld},
			{Sequence: 3, Vote: idempotency.VoteFull},
			{Sequence: 4, Vote: idempotency.VoteReleased},
		},
		Pong: true,
	})
	status := goldenStatus
	checkGolden(t, "message_status", message{Process: 7, Status: &status, IsStatusAnswer: true})
	checkGolden(t, "message_status_empty", message{Process: 7, Status: &idempotency.VoterStatus{}})
	checkGolden(t, "message_all", message{
		Process:        8,
		Requests:       []idempotency.Request{{Key: goldenKey, Sequence: 9, Release: true}},
		Receiver:       10,
		Responses:      []idempotency.Response{{Sequence: 11, Vote: idempotency.VoteGranted}},
		Status:         &status,
		IsStatusAnswer: true,
		Ping:           true,
		Pong:           true,
	})
}

// TestGoldenRecords verifies the encoding of a voter's records on disk.
func TestGoldenRecords(t *testing.T) {
	owner := idempotency.Owner{Process: 1 << 50, Sequence: 17}
	checkGolden(t, "record_disk", idempotency.Record{Kind: idempotency.RecordDisk, ID: 1 << 61, RecordCount: 12})
	checkGolden(t, "record_joined", idempotency.Record{Kind: idempotency.RecordJoined, Disks: []uint64{1, 2, 3}})
	reserved := idempotency.Record{Kind: idempotency.RecordReserved, Key: goldenKey, Owner: owner}
	checkGolden(t, "record_reserved", reserved)
	released := idempotency.Record{Kind: idempotency.RecordReleased, Key: goldenKey, Owner: owner}
	checkGolden(t, "record_released", released)
	peer := idempotency.Record{
		Kind:        idempotency.RecordPeer,
		ID:          3,
		Disks:       []uint64{4},
		Voter:       2,
		Incarnation: 9,
		RecordCount: 88,
	}
	checkGolden(t, "record_peer", peer)
	peer.Key, peer.Owner = goldenKey, owner
	checkGolden(t, "record_all", peer)
}

// TestGoldenView verifies the JSON encoding of the view of a voter for operators.
func TestGoldenView(t *testing.T) {
	want := View{IsVoter: true, Ready: true, Reason: "reason", Keys: 5, Segments: 2}
	b, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	const path = "testdata/golden/view.json"
	golden.CheckBytes(t, path, b)
	var got View
	if err := json.Unmarshal(golden.Read(t, path), &got); err != nil || got != want {
		t.Errorf("decoded as %+v, %v", got, err)
	}
}
