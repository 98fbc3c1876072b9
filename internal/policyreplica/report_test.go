package policyreplica

import (
	"bytes"
	"fmt"
	"testing"

	"gapgap/internal/policy"
)

// TestReportCacheDropsOldest verifies that the oldest report is dropped, and that adding a cached report drops none.
func TestReportCacheDropsOldest(t *testing.T) {
	cache := reportCache{byHash: map[policy.Hash][]byte{}}
	var hashes []policy.Hash
	for i := range maxCachedReports + 1 {
		hashes = append(hashes, cache.add(fmt.Appendf(nil, "report %d", i)))
	}
	cache.add([]byte("report 1")) // it is already cached
	for i, hash := range hashes {
		data, size := cache.chunk(hash, 0)
		if hasReport := data != nil; hasReport != (i > 0) || size != int64(len(data)) {
			t.Errorf("report %d: %q of %d bytes", i, data, size)
		}
	}
}

// TestReportCacheChunk verifies the chunks at the beginning, at the end and beyond the end of a report.
func TestReportCacheChunk(t *testing.T) {
	cache := reportCache{byHash: map[policy.Hash][]byte{}}
	report := bytes.Repeat([]byte("x"), chunkBytes+10)
	hash := cache.add(report)
	cases := []struct {
		name   string
		offset int64
		length int
		size   int64
	}{
		{"first", 0, chunkBytes, chunkBytes + 10},
		{"last", chunkBytes, 10, chunkBytes + 10},
		{"beyond the end", 2 * chunkBytes, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			data, size := cache.chunk(hash, c.offset)
			if len(data) != c.length || size != c.size {
				t.Errorf("%d of %d bytes, want %d of %d", len(data), size, c.length, c.size)
			}
		})
	}
}
