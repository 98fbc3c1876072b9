package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gapgap/internal/resourcelimit"
)

func TestRespReaderTakesPieces(t *testing.T) {
	text := "*2\r\n$3\r\na\r\n\r\n*1\r\n$-1\r\n+OK\r\n-ERR x\r\n:5\r\n$" + "65536\r\n" + strings.Repeat("x", MaxValueBytes) + "\r\n"
	in := &Reader{Source: iotest.OneByteReader(strings.NewReader(text))}
	var got string
	for {
		m, err := in.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got += string(m.Raw)
	}
	if got != text || in.HasPartialMessage() {
		t.Errorf("%d of %d bytes", len(got), len(text))
	}
}

// Neither a length nor a count that the other side names takes memory before the bytes have come.
func TestRespReaderRefuses(t *testing.T) {
	for _, bad := range []string{"PING\r\n", "\n", "$x\r\n", "$-2\r\n", "$65537\r\n", "*65\r\n", "*-2\r\n", "$1\r\nab\r\n",
		"*1\n", "$" + strings.Repeat("1", maxHeaderBytes), "+" + strings.Repeat("a", maxLineBytes), "*1\r\n*1\r\n*1\r\n:1\r\n"} {
		in := &Reader{Source: io.MultiReader(strings.NewReader(bad), iotest.ErrReader(errors.New("asked for more")))}
		if _, err := in.Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: %v", bad, err)
		}
	}
}

func FuzzRespReader(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Fuzz(func(t *testing.T, s string) {
		in := &Reader{Source: strings.NewReader(s)}
		for {
			if _, err := in.Next(); err != nil {
				return
			}
		}
	})
}

// A reader may be told to take longer values. What they hold is charged while they come in, given back after, and refused where
// there is no room.
func TestRespReaderLongValues(t *testing.T) {
	const long = 300 << 10
	text := "*2\r\n$307200\r\n" + strings.Repeat("x", long) + "\r\n$-1\r\n"
	mem := resourcelimit.NewBytes(2 * long)
	in := &Reader{Source: iotest.HalfReader(strings.NewReader(text)), MaxValue: long, Memory: mem}
	if m, err := in.Next(); err != nil || len(m.Raw) != len(text) {
		t.Fatalf("%d of %d bytes, %v", len(m.Raw), len(text), err)
	}
	if mem.Held() < long-defaultBufferBytes {
		t.Errorf("%d bytes charged for a value of %d", mem.Held(), long)
	}
	in.Release()
	if mem.Held() != 0 {
		t.Errorf("%d bytes still charged", mem.Held())
	}
	for name, r := range map[string]*Reader{"too long": {MaxValue: long - 1}, "as usual": {}, "no room": {MaxValue: long, Memory: resourcelimit.NewBytes(long / 2)}} {
		r.Source = strings.NewReader(text)
		want := ErrMalformed
		if r.Memory != nil {
			want = ErrNoMemory
		}
		if _, err := r.Next(); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", name, err, want)
		}
		if r.Release(); r.Memory != nil && r.Memory.Held() != 0 {
			t.Errorf("%s: %d bytes still charged", name, r.Memory.Held())
		}
	}
}
