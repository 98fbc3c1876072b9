package peer

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/cluster"
	"gapgap/internal/golden"
	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
	"gapgap/internal/vfs"
)

// goldenMessages returns a message of each kind, with a value in each field.
func goldenMessages() map[string]*message {
	id := membership.ID{Incarnation: 70_000, Nonce: 3_000_000_001}
	heartbeat := &membership.Heartbeat{
		Entries: []membership.Entry{
			{
				Index:     1,
				ID:        id,
				Counter:   5,
				Phase:     membership.Serving,
				AgeMillis: 6,
			},
			{
				Index:     300,
				ID:        membership.ID{Incarnation: 1, Nonce: 2},
				Counter:   70_000,
				Phase:     membership.Leaving,
				AgeMillis: 1400,
			},
		},
		AliveBits: []byte{1, 0, 255},
	}
	request := &quotalease.Request{ID: id, Sequence: 9, Slots: quotalease.SlotSet{1, 2, 3}}
	grant := &quotalease.Grant{ID: id, Sequence: 9, Slots: quotalease.SlotSet{4, 5, 6}}
	reply := &statusReply{
		Number:       42,
		States:       []byte{2, 3, 5},
		Incarnations: []uint32{1, 70_000, 3},
		Fraction:     0.375,
		RecoveryStep: "policy",
	}
	loanRequest := LoanRequest{Pool: "checkout", Customer: "acme", Plan: 3, At: 7_200_000_000_123}
	return map[string]*message{
		"heartbeat": {Cluster: &cluster.Message{Heartbeat: heartbeat}, SentAt: 1_700_000_000_000_000_001},
		"claim":     {Cluster: &cluster.Message{Request: request}},
		"grant":     {Cluster: &cluster.Message{Grant: grant}},
		"query":     {StatusRequest: 42},
		"report":    {StatusReply: reply},
		"want":      {LoanRequest: &loanRequest},
		"loan":      {Loan: &Loan{Request: loanRequest, Rate: 12.5, Depth: 30.25}},
		"policy":    {Policy: []byte("policy bytes")},
		"keys":      {Keys: []byte("key bytes")},
	}
}

// TestGoldenMessages verifies that encoded messages match the recorded bytes and are decoded to equal values.
func TestGoldenMessages(t *testing.T) {
	for name, m := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			m.ListHash, m.From, m.To = hashNames(testNames), 1, 2
			encoded, err := cbor.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata/golden", name+".cbor")
			golden.CheckBytes(t, path, encoded)
			decoded := &message{}
			if err := decoder.Unmarshal(golden.Read(t, path), decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, m) {
				t.Errorf("got %+v, want %+v", decoded, m)
			}
		})
	}
}

// TestGoldenDatagram verifies that a sealed datagram matches the recorded bytes and can be opened.
func TestGoldenDatagram(t *testing.T) {
	const path = "testdata/golden/datagram.bin"
	sender := mustSealer(t, testKey, testNames, 1)
	sender.salt = salt([]byte("sixteen bytes of"))
	var err error
	if sender.cipher, err = deriveCipher(testKey, sender.salt); err != nil {
		t.Fatal(err)
	}
	sender.sequence = 258
	want := goldenMessages()["heartbeat"]
	want.To = 2
	sealed := mustSeal(t, sender, want)
	golden.CheckBytes(t, path, sealed)
	got, err := newOpener(testKey, testNames, 2).open(golden.Read(t, path))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestGoldenIdentityFile verifies that the file of a gateway's identity matches the recorded bytes and can be read, and
// that the directory of another gateway is rejected.
func TestGoldenIdentityFile(t *testing.T) {
	const path = "testdata/golden/identity.json"
	written := t.TempDir()
	d, err := OpenIdentity(vfs.OS{}, written, "n0")
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Save(70_000); err != nil {
		t.Fatal(err)
	}
	d.Close()
	contents, err := os.ReadFile(filepath.Join(written, "door.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, path, contents)
	if _, err := os.Stat(filepath.Join(written, "door.lock")); err != nil {
		t.Error(err)
	}
	stored := t.TempDir()
	if err := os.WriteFile(filepath.Join(stored, "door.json"), golden.Read(t, path), 0o600); err != nil {
		t.Fatal(err)
	}
	d, err = OpenIdentity(vfs.OS{}, stored, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if d.Incarnation() != 70_001 {
		t.Errorf("incarnation %d, want 70001", d.Incarnation())
	}
	if _, err := OpenIdentity(vfs.OS{}, written, "n1"); err == nil {
		t.Error("the directory of another gateway was opened")
	}
}

// TestGoldenView verifies that the JSON encoding of a view matches the recorded bytes and is decoded to an equal value.
func TestGoldenView(t *testing.T) {
	const path = "testdata/golden/view.json"
	fraction := 0.25
	since := time.Date(2026, 1, 2, 3, 4, 5, 6_000_000, time.UTC)
	want := View{
		Name:         "n0",
		Incarnation:  70_000,
		Fraction:     0.5,
		Excluded:     true,
		HasDuplicate: true,
		WrongClock:   true,
		Gateways: []Member{
			{
				Name:        "n0",
				State:       membership.Alive.String(),
				Cause:       "serves",
				Since:       since,
				Incarnation: 70_000,
				Fraction:    &fraction,
				SeenBy:      map[string]string{"n0": "alive", "n1": "suspect"},
				Recovery:    "policy",
				Disagree:    true,
			},
			{
				Name:        "n1",
				State:       membership.Dead.String(),
				Cause:       "no sign of life for 1.5s",
				Since:       since,
				Incarnation: 2,
			},
		},
	}
	var encoded bytes.Buffer
	if err := json.NewEncoder(&encoded).Encode(&want); err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, path, encoded.Bytes())
	var got View
	if err := json.Unmarshal(golden.Read(t, path), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
