package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/cluster"
	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

var (
	testKey   = []byte("0123456789abcdef")
	testNames = []string{"n0", "n1", "n2"}
)

func mustSealer(t testing.TB, key []byte, names []string, index int) *sealer {
	t.Helper()
	s, err := newSealer(key, names, index)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func mustSeal(t testing.TB, s *sealer, m *message) []byte {
	t.Helper()
	datagram, err := s.seal(m)
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

func testHeartbeat() *cluster.Message {
	return &cluster.Message{Heartbeat: &membership.Heartbeat{Entries: []membership.Entry{{
		Index:     1,
		ID:        membership.ID{Incarnation: 3, Nonce: 4},
		Counter:   5,
		Phase:     membership.Serving,
		AgeMillis: 6,
	}}}}
}

// TestDatagramIsOpened verifies that a gateway can read a datagram that another one has sealed for it, and that the
// content is encrypted.
func TestDatagramIsOpened(t *testing.T) {
	datagram := mustSeal(t, mustSealer(t, testKey, testNames, 1), &message{Cluster: testHeartbeat()})
	m, err := newOpener(testKey, testNames, 0).open(datagram)
	if err != nil || m.From != 1 || m.Cluster.Heartbeat.Entries[0] != testHeartbeat().Heartbeat.Entries[0] {
		t.Fatalf("%+v, %v", m, err)
	}
	if bytes.Contains(datagram, []byte("n1")) {
		t.Error("a name is not encrypted")
	}
}

// TestForeignDatagramsAreRejected verifies that a gateway accepts only datagrams that a gateway of its cluster has
// sealed for it.
func TestForeignDatagramsAreRejected(t *testing.T) {
	otherKey, otherNames := []byte("another key, as long"), []string{"n0", "n1", "n3"}
	sender := mustSealer(t, testKey, testNames, 1)
	seal := func(s *sealer, to uint16) []byte {
		return mustSeal(t, s, &message{To: to, Cluster: testHeartbeat()})
	}
	valid := seal(sender, 0)
	changed := func(position int, change byte) []byte {
		datagram := bytes.Clone(valid)
		datagram[position] ^= change
		return datagram
	}
	newerVersion := bytes.Clone(valid)
	newerVersion[0] = datagramVersion + 1
	cases := []struct {
		name     string
		datagram []byte
		want     error
	}{
		{"another key", seal(mustSealer(t, otherKey, testNames, 1), 0), errNotAuthentic},
		{"another list", seal(mustSealer(t, testKey, otherNames, 1), 0), errListMismatch},
		{"another receiver", seal(sender, 2), errWrongReceiver},
		{"a flipped bit", changed(len(valid)-1, 1), errNotAuthentic},
		{"another count", changed(headerSize-1, 1), errNotAuthentic},
		{"a newer version", newerVersion, errMalformedDatagram},
		{"nothing", nil, errMalformedDatagram},
		{"cut short", valid[:headerSize], errNotAuthentic},
		{"too long", make([]byte, maxDatagramBytes+1), errMalformedDatagram},
	}
	receiver := newOpener(testKey, testNames, 0)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := receiver.open(c.datagram); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// TestKnownSendersAreBounded verifies that the number of cached ciphers is bounded when many processes start and
// foreign datagrams arrive.
func TestKnownSendersAreBounded(t *testing.T) {
	receiver := newOpener(testKey, testNames, 0)
	for range 1000 {
		own := mustSeal(t, mustSealer(t, testKey, testNames, 1), &message{Cluster: testHeartbeat()})
		if _, err := receiver.open(own); err != nil {
			t.Fatal(err)
		}
		foreign := mustSealer(t, []byte("another key, as long"), testNames, 1)
		if _, err := receiver.open(mustSeal(t, foreign, &message{Cluster: testHeartbeat()})); err == nil {
			t.Fatal("a foreign datagram was opened")
		}
	}
	limit := 2*len(testNames) + extraKnownSenders
	if len(receiver.ciphers) > limit || len(receiver.senders) > limit {
		t.Errorf("%d ciphers are cached, with %d senders", len(receiver.ciphers), len(receiver.senders))
	}
}

// FuzzMessages verifies that a node accepts any message from a gateway of the cluster or returns an error, and that one
// message never makes it hold quota slots.
func FuzzMessages(f *testing.F) {
	slots := quotalease.NewSlotSet(3)
	reply := &statusReply{Number: 1, States: []byte{1, 2, 3}, Incarnations: []uint32{1, 2, 3}}
	seeds := []*message{
		{Cluster: testHeartbeat()},
		{StatusRequest: 3},
		{StatusReply: reply},
		{Cluster: &cluster.Message{Request: &quotalease.Request{Sequence: 1, Slots: slots}}},
		{Cluster: &cluster.Message{Grant: &quotalease.Grant{Sequence: 1, Slots: slots}}},
		{Cluster: &cluster.Message{}},
	}
	for _, m := range seeds {
		m.ListHash, m.From = hashNames(testNames), 1
		encoded, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m := &message{}
		if decoder.Unmarshal(encoded, m) != nil || m.Cluster == nil {
			return
		}
		config := cluster.Config{Index: 0, Gateways: 3, ID: membership.ID{Incarnation: 1}}
		node := cluster.New(config, 1, nil)
		outgoing, err := node.Receive(1, int(m.From), *m.Cluster)
		if err != nil && len(outgoing) > 0 || len(outgoing) > 1 {
			t.Errorf("%d answers, %v", len(outgoing), err)
		}
		if held, _ := node.Slots(1); held > 0 {
			t.Errorf("%d slots held by one message", held)
		}
		for _, member := range node.Members() {
			if member.Index != 0 && member.LastHeard > 1 {
				t.Errorf("%+v is heard of in the future", member)
			}
		}
	})
}
