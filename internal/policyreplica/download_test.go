package policyreplica

import (
	"bytes"
	"testing"
	"time"

	"gapgap/internal/policy"
)

// testDocument returns a document of three chunks, the last of which is shorter.
func testDocument() []byte {
	document := make([]byte, 2*chunkBytes+100)
	for i := range document {
		document[i] = byte(i / 11)
	}
	return document
}

// chunkAt returns the chunk of a document at an offset.
func chunkAt(document []byte, offset int64) *chunk {
	size := int64(len(document))
	return &chunk{
		Hash:         policy.HashOf(document),
		Offset:       offset,
		DocumentSize: size,
		Data:         bytes.Clone(document[offset:min(size, offset+chunkBytes)]),
	}
}

// TestDownloadIgnoresUnusableChunks verifies that chunks with a wrong offset, size or length, and repeated chunks,
// have no effect.
func TestDownloadIgnoresUnusableChunks(t *testing.T) {
	document := testDocument()
	cases := []struct {
		name   string
		change func(*chunk)
	}{
		{"negative offset", func(c *chunk) { c.Offset = -chunkBytes }},
		{"offset within a chunk", func(c *chunk) { c.Offset = 1 }},
		{"other size", func(c *chunk) { c.DocumentSize++ }},
		{"short data", func(c *chunk) { c.Data = c.Data[1:] }},
		{"received before", func(c *chunk) { c.Offset = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDownload(policy.HashOf(document), []int{1})
			d.receive(chunkAt(document, 0))
			unusable := chunkAt(document, chunkBytes)
			c.change(unusable)
			if _, ok := d.receive(unusable); ok || d.receivedBytes != chunkBytes {
				t.Errorf("received %d bytes, complete %v", d.receivedBytes, ok)
			}
		})
	}
	t.Run("too long", func(t *testing.T) {
		d := newDownload(policy.HashOf(document), []int{1})
		d.receive(&chunk{DocumentSize: policy.MaxDocumentBytes + 1, Data: make([]byte, chunkBytes)})
		if d.size != unknownSize {
			t.Errorf("the size is %d", d.size)
		}
	})
}

// TestDownloadRestartsOnWrongHash verifies that a complete document with a wrong hash is discarded and downloaded again
// from the next gateway.
func TestDownloadRestartsOnWrongHash(t *testing.T) {
	document := testDocument()
	d := newDownload(policy.HashOf(document), []int{1, 2})
	if to, requests := d.nextRequests(time.Hour); to != 1 || len(requests) != 1 {
		t.Fatalf("first requests %v to %d", requests, to)
	}
	for offset := int64(0); offset < int64(len(document)); offset += chunkBytes {
		c := chunkAt(document, offset)
		c.Data[0]++
		if _, ok := d.receive(c); ok {
			t.Fatal("a damaged document is complete")
		}
	}
	if to, requests := d.nextRequests(time.Hour); to != 2 || len(requests) != 1 || requests[0].Offset != 0 {
		t.Errorf("after a damaged document %v to %d, want the first chunk of gateway 2", requests, to)
	}
}

// TestDownloadTriesNextSource verifies that the next gateway is asked after a timeout, and at once if a gateway does
// not have the document.
func TestDownloadTriesNextSource(t *testing.T) {
	document := testDocument()
	unavailable := &chunk{Hash: policy.HashOf(document)}
	cases := []struct {
		name   string
		answer func(*download)
		after  time.Duration
		to     int
		count  int
	}{
		{"no answer yet", func(*download) {}, chunkTimeout - 1, 1, 0},
		{"no answer in time", func(*download) {}, chunkTimeout, 2, 1},
		{"not available", func(d *download) { d.receive(unavailable) }, time.Millisecond, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDownload(policy.HashOf(document), []int{1, 2})
			d.nextRequests(time.Hour)
			c.answer(d)
			to, requests := d.nextRequests(time.Hour + c.after)
			if to != c.to || len(requests) != c.count {
				t.Errorf("%d requests to %d, want %d to %d", len(requests), to, c.count, c.to)
			}
		})
	}
}
