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

// goldenMessages are messages of each kind, with a value in each field.
func goldenMessages() map[string]*message {
	id := membership.ID{Incarnation: 70_000, Nonce: 3_000_000_001}
	want := Want{Pool: "checkout", Customer: "acme", Plan: 3, At: 7_200_000_000_123}
	return map[string]*message{
		"heartbeat": {
			At: 1_700_000_000_000_000_001,
			Msg: &cluster.Msg{Beat: &membership.Beat{
				Entries: []membership.Entry{
					{Rank: 1, ID: id, Count: 5, Phase: membership.Serving, Age: 6},
					{Rank: 300, ID: membership.ID{Incarnation: 1, Nonce: 2}, Count: 70_000, Phase: membership.Leaving, Age: 1400},
				},
				Alive: []byte{1, 0, 255},
			}},
		},
		"claim":  {Msg: &cluster.Msg{Claim: &quotalease.Claim{ID: id, Seq: 9, Seats: quotalease.Set{1, 2, 3}}}},
		"grant":  {Msg: &cluster.Msg{Grant: &quotalease.Grant{ID: id, Seq: 9, Seats: quotalease.Set{4, 5, 6}}}},
		"query":  {Ask: 42},
		"report": {Answer: &answer{Ask: 42, States: []byte{2, 3, 5}, Incs: []uint32{1, 70_000, 3}, Part: 0.375, Step: "policy"}},
		"want":   {Want: &want},
		"loan":   {Loan: &Loan{Want: want, Rate: 12.5, Depth: 30.25}},
		"policy": {Policy: []byte("policy bytes")},
		"keys":   {Keys: []byte("key bytes")},
	}
}

// TestGoldenMessages holds that messages between gateways have the recorded form, and are read back as they were.
func TestGoldenMessages(t *testing.T) {
	for name, m := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			m.List, m.From, m.To = listOf(names), 1, 2
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

// TestGoldenDatagram holds that a sealed datagram has the recorded form, and is opened.
func TestGoldenDatagram(t *testing.T) {
	const path = "testdata/golden/datagram.bin"
	sender := mustCodec(t, key, names, 1)
	salt := sender.head[1 : 1+saltBytes]
	copy(salt, "sixteen bytes of")
	var err error
	if sender.own, err = aead(key, salt); err != nil {
		t.Fatal(err)
	}
	sender.count = 258
	want := goldenMessages()["heartbeat"]
	want.To = 2
	sealed, err := sender.seal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, path, sealed)
	got, err := mustCodec(t, key, names, 2).open(golden.Read(t, path))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestGoldenIdentityFile holds that the file of a gateway's identity has the recorded form, and is read.
func TestGoldenIdentityFile(t *testing.T) {
	const path = "testdata/golden/identity.json"
	written := t.TempDir()
	d, err := OpenDisk(vfs.OS{}, written, "n0")
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Keep(70_000); err != nil {
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
	d, err = OpenDisk(vfs.OS{}, stored, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if d.Incarnation() != 70_001 {
		t.Errorf("incarnation %d, want 70001", d.Incarnation())
	}
	if _, err := OpenDisk(vfs.OS{}, written, "n1"); err == nil {
		t.Error("the directory of another gateway was opened")
	}
}

// TestGoldenView holds that the view of the cluster for operators has the recorded form, and is read back as it was.
func TestGoldenView(t *testing.T) {
	const path = "testdata/golden/view.json"
	part := 0.25
	since := time.Date(2026, 1, 2, 3, 4, 5, 6_000_000, time.UTC)
	want := View{
		Name: "n0", Incarnation: 70_000, Part: 0.5, Out: true, Rival: true, WrongClock: true,
		Doors: []Member{
			{
				Name: "n0", State: membership.Alive.String(), Cause: "serves", Since: since, Incarnation: 70_000, Part: &part,
				SeenBy: map[string]string{"n0": "alive", "n1": "suspect"}, Recovery: "policy", Disagree: true,
			},
			{Name: "n1", State: membership.Dead.String(), Cause: "no sign of life for 1.5s", Since: since, Incarnation: 2},
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
