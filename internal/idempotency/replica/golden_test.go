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
var goldenHello = idempotency.Hello{
	Process: 1 << 62,
	Inc:     7,
	Disk:    99,
	Begun:   true,
	Disks:   []uint64{99, 98, 1 << 60},
	Had:     1000,
	Seq:     1234,
	Of:      77,
	Newest:  true,
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
		Asks:    []idempotency.Ask{{Key: goldenKey, N: 1}, {Key: idempotency.KeyOf("a", "b", "c"), N: 1 << 40, Release: true}},
		Ping:    true,
	})
	checkGolden(t, "message_answers", wire{
		Process: 6,
		To:      5,
		Answers: []idempotency.Answer{
			{N: 1, Said: idempotency.Yes},
			{N: 2, Said: idempotency.Held},
			{N: 3, Said: idempotency.Full},
			{N: 4, Said: idempotency.Gone},
		},
		Pong: true,
	})
	hello := goldenHello
	checkGolden(t, "message_hello", wire{Process: 7, Hello: &hello, Back: true})
	checkGolden(t, "message_hello_empty", wire{Process: 7, Hello: &idempotency.Hello{}})
	checkGolden(t, "message_all", wire{
		Process: 8,
		Asks:    []idempotency.Ask{{Key: goldenKey, N: 9, Release: true}},
		To:      10,
		Answers: []idempotency.Answer{{N: 11, Said: idempotency.Yes}},
		Hello:   &hello,
		Back:    true,
		Ping:    true,
		Pong:    true,
	})
}

// TestGoldenRecords holds the bytes of a voter's records on disk.
func TestGoldenRecords(t *testing.T) {
	ticket := idempotency.Ticket{Process: 1 << 50, N: 17}
	checkGolden(t, "record_disk", idempotency.Record{Kind: idempotency.Disk, Number: 1 << 61, Seq: 12})
	checkGolden(t, "record_begun", idempotency.Record{Kind: idempotency.Begun, Disks: []uint64{1, 2, 3}})
	checkGolden(t, "record_claimed", idempotency.Record{Kind: idempotency.Claimed, Key: goldenKey, Ticket: ticket})
	checkGolden(t, "record_freed", idempotency.Record{Kind: idempotency.Freed, Key: goldenKey, Ticket: ticket})
	known := idempotency.Record{Kind: idempotency.Known, Number: 3, Disks: []uint64{4}, Rank: 2, Inc: 9, Seq: 88}
	checkGolden(t, "record_known", known)
	known.Key, known.Ticket = goldenKey, ticket
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
