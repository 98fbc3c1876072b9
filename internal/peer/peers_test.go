package peer

import (
	"bytes"
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/vfs"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/cluster"
	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

var key, names = []byte("0123456789abcdef"), []string{"n0", "n1", "n2"}

func mustCodec(t testing.TB, key []byte, names []string, rank int) *codec {
	t.Helper()
	c, err := newCodec(key, names, rank)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func beat() *cluster.Message {
	return &cluster.Message{Heartbeat: &membership.Heartbeat{Entries: []membership.Entry{{Index: 1, ID: membership.ID{Incarnation: 3, Nonce: 4}, Counter: 5, Phase: membership.Serving, AgeMillis: 6}}}}
}

// A door hears what a door of its fleet seals for it, and nobody else.
func TestMembersStrangersAreNotHeard(t *testing.T) {
	from, to := mustCodec(t, key, names, 1), mustCodec(t, key, names, 0)
	good, err := from.seal(&message{To: 0, Cluster: beat()})
	if err != nil {
		t.Fatal(err)
	}
	m, err := to.open(good)
	if err != nil || m.From != 1 || m.Cluster.Heartbeat.Entries[0] != beat().Heartbeat.Entries[0] {
		t.Fatalf("%+v, %v", m, err)
	}
	if bytes.Contains(good, []byte("n1")) {
		t.Error("a name can be read")
	}
	seal := func(c *codec, to uint16) []byte {
		b, err := c.seal(&message{To: to, Cluster: beat()})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	flipped := bytes.Clone(good)
	flipped[len(flipped)-1] ^= 1
	count := bytes.Clone(good)
	count[headBytes-1] ^= 1
	newer := bytes.Clone(good)
	newer[0] = 2
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{"another key": {seal(mustCodec(t, []byte("another key, as long"), names, 1), 0), errStranger},
		"another list": {seal(mustCodec(t, key, []string{"n0", "n1", "n3"}, 1), 0), errList},
		"another door": {seal(from, 2), errTo}, "a flipped bit": {flipped, errStranger}, "another count": {count, errStranger}, "a newer form": {newer, errForm},
		"nothing": {nil, errForm}, "cut short": {good[:headBytes], errStranger}, "too long": {make([]byte, mostBytes+1), errForm}} {
		if _, err := to.open(c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, not %v", name, err, c.want)
		}
	}
	for range 1000 { // processes come and go; strangers fill nothing
		to.open(seal(mustCodec(t, key, names, 1), 0))
		to.open(seal(mustCodec(t, []byte("another key, as long"), names, 1), 0))
	}
	if n := len(to.known); n > 2*len(names)+16 {
		t.Errorf("%d processes are remembered", n)
	}
}

// Whatever a door of the fleet says, a node takes it or says what is wrong; it holds no more than before.
func FuzzMembersMessages(f *testing.F) {
	for _, m := range []*message{{Cluster: beat()}, {StatusRequest: 3}, {StatusReply: &statusReply{Number: 1, States: []byte{1, 2, 3}, Incarnations: []uint32{1, 2, 3}}},
		{Cluster: &cluster.Message{Request: &quotalease.Request{Sequence: 1, Slots: quotalease.NewSlotSet(3)}}}, {Cluster: &cluster.Message{Grant: &quotalease.Grant{Sequence: 1, Slots: quotalease.NewSlotSet(3)}}}, {Cluster: &cluster.Message{}}} {
		m.ListHash, m.From = listOf(names), 1
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &message{}
		if decoder.Unmarshal(b, m) != nil || m.Cluster == nil {
			return
		}
		n := cluster.New(cluster.Config{Index: 0, Gateways: 3, ID: membership.ID{Incarnation: 1}}, 1, nil)
		outs, err := n.Receive(1, int(m.From), *m.Cluster)
		if err != nil && len(outs) > 0 || len(outs) > 1 {
			t.Errorf("%d answers, %v", len(outs), err)
		}
		if held, _ := n.Slots(1); held > 0 {
			t.Errorf("%d seats held by one message", held)
		}
		for _, c := range n.Members() {
			if c.Index != 0 && c.LastHeard > 1 {
				t.Errorf("%+v is heard of in the future", c)
			}
		}
	})
}

// A section says which field is wrong.
func TestMembersSection(t *testing.T) {
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "key")
	if err := os.WriteFile(keyFile, []byte(" 0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	short := filepath.Join(dir, "short")
	if err := os.WriteFile(short, []byte("0123456789abcde \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := func() *FileSettings {
		return &FileSettings{Listen: "127.0.0.1:7000", KeyFile: keyFile, StateDir: dir, Control: "/run/x", Door: []Gateway{{"n0", "127.0.0.1:7000"}, {"n1", "127.0.0.1:7001"}}}
	}
	check := func(f *FileSettings, name string) (*Settings, error) {
		return f.Check(name, netip.Addr.IsLoopback, func(s string) bool { return s != "" && !strings.Contains(s, " ") })
	}
	s, err := check(good(), "n1")
	if err != nil || s.Index != 1 || string(s.Key) != "0123456789abcdef" || !s.Same(s) {
		t.Fatalf("%+v, %v", s, err)
	}
	for field, change := range map[string]func(*FileSettings){
		"listen ":           func(f *FileSettings) { f.Listen = "n0:7000" },
		"listen 10.":        func(f *FileSettings) { f.Listen = "10.0.0.1:7000" },
		"door has":          func(f *FileSettings) { f.Door = nil },
		"door[1].name":      func(f *FileSettings) { f.Door[1].Name = "n0" },
		"door[1].address ":  func(f *FileSettings) { f.Door[1].Address = "127.0.0.1" },
		"door[1].address 1": func(f *FileSettings) { f.Door[1].Address = "127.0.0.1:7000" },
		"state_dir is":      func(f *FileSettings) { f.StateDir = "" },
		"state_dir \"":      func(f *FileSettings) { f.StateDir = keyFile },
		"control":           func(f *FileSettings) { f.Control = "x" },
		"control has":       func(f *FileSettings) { f.Control = "/" + strings.Repeat("x", 100) },
		"key_file is":       func(f *FileSettings) { f.KeyFile = "" },
		"key_file " + short: func(f *FileSettings) { f.KeyFile = short },
		"key_file open":     func(f *FileSettings) { f.KeyFile = filepath.Join(dir, "none") },
	} {
		f := good()
		change(f)
		var e *FieldError
		if _, err := check(f, "n0"); !errors.As(err, &e) || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
		if o, err := check(f, "n0"); err == nil && o.Same(s) {
			t.Errorf("%s: the same section", field)
		}
	}
	if _, err := check(good(), "n7"); err == nil || !strings.Contains(err.Error(), `none is named "n7"`) {
		t.Error(err)
	}
}

// An incarnation grows with each start, also if a process was killed, and a directory has one process at a time.
func TestMembersDisk(t *testing.T) {
	dir := t.TempDir()
	for want := uint32(1); want < 4; want++ {
		d, err := OpenIdentity(vfs.OS{}, dir, "n0")
		if err != nil || d.Incarnation() != want {
			t.Fatalf("%v, %v", d, err)
		}
		if _, err := OpenIdentity(vfs.OS{}, dir, "n0"); err == nil || !strings.Contains(err.Error(), "another process has it") {
			t.Errorf("a second process: %v", err)
		}
		if want == 2 {
			if err := d.Save(2); err != nil {
				t.Error(err)
			}
		}
		d.Close()
	}
	if _, err := OpenIdentity(vfs.OS{}, filepath.Join(dir, "none"), "n0"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no directory: %v", err)
	}
}
