package vfs

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
)

// goldenOps are operations of all kinds that set every field.
var goldenOps = []Op{
	{Kind: Make, ID: 1, Path: "dir/a"},
	{Kind: Open, ID: 2, Path: "dir/b"},
	{Kind: Write, ID: 1, Off: 4096, Data: []byte("data")},
	{Kind: Truncate, ID: 1, Off: 100},
	{Kind: Sync, ID: 1},
	{Kind: Rename, Path: "dir/a", To: "dir/c"},
	{Kind: Remove, Path: "dir/b"},
	{Kind: Mkdir, Path: "dir/sub"},
	{Kind: SyncDir, Path: "dir"},
	{Kind: Write, ID: 1 << 40, Path: "p", To: "t", Off: -1, Data: []byte{0, 255}},
}

// TestGoldenOperations holds the bytes of recorded operations and that they are read into equal values.
func TestGoldenOperations(t *testing.T) {
	var b []byte
	for _, op := range goldenOps {
		one, err := cbor.Marshal(op)
		if err != nil {
			t.Fatal(err)
		}
		b = append(b, one...)
	}
	const path = "testdata/golden/operations.cbor"
	golden.CheckBytes(t, path, b)
	decoder := cbor.NewDecoder(bytes.NewReader(golden.Read(t, path)))
	for i := 0; ; i++ {
		var op Op
		err := decoder.Decode(&op)
		if errors.Is(err, io.EOF) && i == len(goldenOps) {
			return
		}
		if err != nil || i >= len(goldenOps) || !reflect.DeepEqual(op, goldenOps[i]) {
			t.Fatalf("operation %d: %+v, %v", i, op, err)
		}
	}
}
