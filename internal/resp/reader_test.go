package resp

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/resourcelimit"
)

// TestReaderReadsMessagesInPieces verifies that messages are complete when their bytes arrive one at a time.
func TestReaderReadsMessagesInPieces(t *testing.T) {
	text := "*2\r\n$3\r\na\r\n\r\n*1\r\n$-1\r\n+OK\r\n-ERR x\r\n:5\r\n" +
		"$65536\r\n" + strings.Repeat("x", MaxValueBytes) + "\r\n"
	reader := &Reader{Source: iotest.OneByteReader(strings.NewReader(text))}
	var got string
	for {
		message, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got += string(message.Raw)
	}
	if got != text || reader.HasPartialMessage() {
		t.Errorf("read %d of %d bytes", len(got), len(text))
	}
}

// TestReaderRejectsMalformedMessages verifies that a malformed message or a length over the limit is rejected before
// the reader reads more bytes.
func TestReaderRejectsMalformedMessages(t *testing.T) {
	tests := []struct {
		name  string
		input string
	}{
		{name: "inline command", input: "PING\r\n"},
		{name: "empty line", input: "\n"},
		{name: "bulk length without digits", input: "$x\r\n"},
		{name: "negative bulk length", input: "$-2\r\n"},
		{name: "bulk string too long", input: "$65537\r\n"},
		{name: "array too long", input: "*65\r\n"},
		{name: "negative array length", input: "*-2\r\n"},
		{name: "bulk string without line end", input: "$1\r\nab\r\n"},
		{name: "line end without carriage return", input: "*1\n"},
		{name: "header line too long", input: "$" + strings.Repeat("1", maxHeaderBytes)},
		{name: "simple string too long", input: "+" + strings.Repeat("a", maxLineBytes)},
		{name: "arrays nested too deep", input: "*1\r\n*1\r\n*1\r\n:1\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			atEnd := iotest.ErrReader(errors.New("read beyond the input"))
			reader := &Reader{Source: io.MultiReader(strings.NewReader(test.input), atEnd)}
			if _, err := reader.Next(); !errors.Is(err, ErrMalformed) {
				t.Errorf("%.40q: %v, want %v", test.input, err, ErrMalformed)
			}
		})
	}
}

// FuzzRespReader reads arbitrary input, which must not panic.
func FuzzRespReader(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Fuzz(func(_ *testing.T, s string) {
		reader := &Reader{Source: strings.NewReader(s)}
		for {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
	})
}

const (
	longValueBytes = 300 << 10
	// longMessageHeader declares an array of a value of longValueBytes and a null.
	longMessageHeader = "*2\r\n$307200\r\n"
)

// longMessage returns a message that begins with a value of longValueBytes.
func longMessage() string {
	return longMessageHeader + strings.Repeat("x", longValueBytes) + "\r\n$-1\r\n"
}

// TestReaderReservesMemoryForLongValues verifies that the buffer bytes of a long value are reserved while it is read
// and released by Release.
func TestReaderReservesMemoryForLongValues(t *testing.T) {
	text := longMessage()
	memory := resourcelimit.NewBytes(2 * longValueBytes)
	reader := &Reader{
		Source:   iotest.HalfReader(strings.NewReader(text)),
		MaxValue: longValueBytes,
		Memory:   memory,
	}
	message, err := reader.Next()
	if err != nil || len(message.Raw) != len(text) {
		t.Fatalf("%d of %d bytes, %v", len(message.Raw), len(text), err)
	}
	if memory.Held() < longValueBytes-defaultBufferBytes {
		t.Errorf("%d bytes reserved for a value of %d", memory.Held(), longValueBytes)
	}
	reader.Release()
	if memory.Held() != 0 {
		t.Errorf("%d bytes still reserved", memory.Held())
	}
}

// TestReaderRejectsLongValues verifies that a value over the limit, or one without memory for it, is rejected and that
// nothing remains reserved.
func TestReaderRejectsLongValues(t *testing.T) {
	tests := []struct {
		name     string
		maxValue int
		memory   *resourcelimit.Bytes
		want     error
	}{
		{name: "over the limit", maxValue: longValueBytes - 1, want: ErrMalformed},
		{name: "over the default limit", want: ErrMalformed},
		{
			name:     "no memory",
			maxValue: longValueBytes,
			memory:   resourcelimit.NewBytes(longValueBytes / 2),
			want:     ErrNoMemory,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := &Reader{
				Source:   strings.NewReader(longMessage()),
				MaxValue: test.maxValue,
				Memory:   test.memory,
			}
			if _, err := reader.Next(); !errors.Is(err, test.want) {
				t.Errorf("%v, want %v", err, test.want)
			}
			reader.Release()
			if test.memory != nil && test.memory.Held() != 0 {
				t.Errorf("%d bytes still reserved", test.memory.Held())
			}
		})
	}
}

// nestedMessage returns a message of the given number of arrays, each with as many integers as an array may have.
func nestedMessage(arrays int) string {
	array := "*64\r\n" + strings.Repeat(":1\r\n", maxArrayItems)
	return fmt.Sprintf("*%d\r\n%s", arrays, strings.Repeat(array, arrays))
}

// TestReaderScansEachItemOnce guards against a message that costs more for each byte that arrives, because its items
// are scanned anew: four times the bytes, one at a time, take about four times as long, not sixteen times.
func TestReaderScansEachItemOnce(t *testing.T) {
	readAll := func(text string) time.Duration {
		reader := &Reader{Source: iotest.OneByteReader(strings.NewReader(text))}
		began := time.Now()
		message, err := reader.Next()
		took := time.Since(began)
		if err != nil || string(message.Raw) != text {
			t.Fatalf("%d of %d bytes, %v", len(message.Raw), len(text), err)
		}
		return took
	}
	short, long := nestedMessage(maxArrayItems/4), nestedMessage(maxArrayItems)
	once, fourTimes := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for range 30 {
		once = min(once, readAll(short))
		fourTimes = min(fourTimes, readAll(long))
	}
	if ratio := float64(fourTimes) / float64(once); ratio > 10 {
		t.Errorf("four times the bytes take %.1f times as long (%v, %v)", ratio, once, fourTimes)
	}
}

// TestReaderFindsTheSameMessagesInPieces verifies, for any input and any division into pieces, that the reader finds
// the same messages and the same error as when all bytes arrive at once.
func TestReaderFindsTheSameMessagesInPieces(t *testing.T) {
	pieces := []string{"*2\r\n", "*1\r\n", "*0\r\n", "*-1\r\n", "$1\r\na\r\n", "$-1\r\n", "$3\r\nabc\r\n", ":5\r\n",
		"+OK\r\n", "-ERR\r\n", "*3\r\n$70000\r\n", "\n", "x"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(pieces)).Draw(t, "pieces"), "")
		read := func(source io.Reader) (found []string, end error) {
			reader := &Reader{Source: source, MaxStreamedValue: longValueBytes}
			for {
				message, err := reader.Next()
				if errors.Is(err, ErrLongValue) {
					reader.StartLongValue()
					continue
				}
				if err != nil {
					return found, err
				}
				found = append(found, string(message.Raw))
			}
		}
		wantFound, wantEnd := read(strings.NewReader(text))
		found, end := read(iotest.OneByteReader(strings.NewReader(text)))
		if !slices.Equal(found, wantFound) || !errors.Is(end, wantEnd) {
			t.Fatalf("%q: in pieces %q and %v, at once %q and %v", text, found, end, wantFound, wantEnd)
		}
	})
}

// TestReaderWaitsOnceForAMessage guards against readers that wait for memory while they hold some, which can wait for
// each other: however its bytes arrive, a message longer than the default buffer reserves all it needs in one call.
func TestReaderWaitsOnceForAMessage(t *testing.T) {
	for _, size := range []int{defaultBufferBytes - 100, defaultBufferBytes, 10_000, MaxValueBytes - 1, MaxValueBytes} {
		text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$7\r\nused=37\r\n$-1\r\n", size, strings.Repeat("v", size))
		for name, source := range map[string]io.Reader{
			"at once":          strings.NewReader(text),
			"in halves":        iotest.HalfReader(strings.NewReader(text)),
			"a byte at a time": iotest.OneByteReader(strings.NewReader(text)),
		} {
			t.Run(fmt.Sprint(size, " ", name), func(t *testing.T) {
				memory, calls := resourcelimit.NewBytes(maxOverheadBytes+MaxValueBytes), 0
				reader := &Reader{Source: source, Memory: memory, WaitForMemory: func(n int64) error {
					calls++
					return memory.Reserve(t.Context(), n)
				}}
				message, err := reader.Next()
				if err != nil || string(message.Raw) != text {
					t.Fatalf("%d of %d bytes, %v", len(message.Raw), len(text), err)
				}
				if want := min(1, len(text)/(defaultBufferBytes+1)); calls != want {
					t.Errorf("memory was reserved in %d calls, want %d", calls, want)
				}
				if held := memory.Held(); held > int64(len(text)+maxOverheadBytes) {
					t.Errorf("%d bytes are reserved for a message of %d", held, len(text))
				}
				reader.Release()
				if held := memory.Held(); held != 0 {
					t.Errorf("%d bytes are still reserved", held)
				}
			})
		}
	}
}

// TestFirstValue verifies that the first item of an incomplete array is returned once it is complete, and nothing else.
func TestFirstValue(t *testing.T) {
	for text, want := range map[string]string{
		"":                          "",
		"*":                         "",
		"*3\r\n":                    "",
		"*3\r\n$2\r\nv":             "",
		"*3\r\n$2\r\nvv\r":          "",
		"*3\r\n$2\r\nvv\r\n":        "$2\r\nvv\r\n",
		"*3\r\n$0\r\n\r\n":          "$0\r\n\r\n",
		"*3\r\n$2\r\nvv\r\n$4\r\nu": "$2\r\nvv\r\n",
		"*3\r\n$-1\r\n":             "",
		"*3\r\n+OK\r\n":             "",
		"*3\r\n*1\r\n$1\r\nv\r\n":   "",
		"$2\r\nv":                   "",
		"-ERR f":                    "",
	} {
		reader := &Reader{Source: strings.NewReader("")}
		reader.Prefill([]byte(text))
		if got := string(reader.FirstValue()); got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
}
