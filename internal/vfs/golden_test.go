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

// goldenOps are operations of all kinds. Together they set every field.
var goldenOps = []Operation{
	{Kind: OpCreate, FileID: 1, Path: "dir/a"},
	{Kind: OpOpen, FileID: 2, Path: "dir/b"},
	{Kind: OpWrite, FileID: 1, Offset: 4096, Data: []byte("data")},
	{Kind: OpTruncate, FileID: 1, Offset: 100},
	{Kind: OpSync, FileID: 1},
	{Kind: OpRename, Path: "dir/a", NewPath: "dir/c"},
	{Kind: OpRemove, Path: "dir/b"},
	{Kind: OpMkdir, Path: "dir/sub"},
	{Kind: OpSyncDir, Path: "dir"},
	{Kind: OpWrite, FileID: 1 << 40, Path: "p", NewPath: "t", Offset: -1, Data: []byte{0, 255}},
}

// TestGoldenOperations verifies that operations are encoded to the recorded bytes and that these decode to equal
// values.
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
		var op Operation
		err := decoder.Decode(&op)
		if errors.Is(err, io.EOF) && i == len(goldenOps) {
			return
		}
		if err != nil || i >= len(goldenOps) || !reflect.DeepEqual(op, goldenOps[i]) {
			t.Fatalf("operation %d: %+v, %v", i, op, err)
		}
	}
}
