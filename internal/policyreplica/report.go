package policyreplica

import (
	"encoding/json"

	"gapgap/internal/policy"
)

// maxCachedReports is how many reports a leader keeps for other gateways to download.
const maxCachedReports = 4

// encodeHistory returns the outcomes of the most recent changes as JSON.
func encodeHistory(state *policy.State) []byte {
	encoded, err := json.Marshal(state.Outcomes)
	if err != nil {
		return []byte("[]")
	}
	return encoded
}

// reportCache keeps the most recent reports of a leader by hash.
type reportCache struct {
	// order has the hashes of the reports, oldest first.
	order  []policy.Hash
	byHash map[policy.Hash][]byte
}

// add adds a report, drops the oldest one if there are too many, and returns the report's hash.
func (c *reportCache) add(report []byte) policy.Hash {
	hash := policy.HashOf(report)
	if c.byHash[hash] != nil {
		return hash
	}
	c.order = append(c.order, hash)
	if len(c.order) > maxCachedReports {
		delete(c.byHash, c.order[0])
		c.order = c.order[1:]
	}
	c.byHash[hash] = report
	return hash
}

// chunk returns up to chunkBytes of a report from an offset on, and the report's size. data is nil if the cache does
// not have the report or the offset is beyond its end.
func (c *reportCache) chunk(hash policy.Hash, offset int64) (data []byte, size int64) {
	report := c.byHash[hash]
	size = int64(len(report))
	if offset >= size {
		return nil, 0
	}
	return report[offset:min(size, offset+chunkBytes)], size
}

// awaitedDocuments has the hashes of documents that callers wait for. The key is the name of a report, or the short
// hash of a policy document.
type awaitedDocuments map[string]policy.Hash

// has reports whether a caller waits for a document.
func (a awaitedDocuments) has(hash policy.Hash) bool {
	for _, awaited := range a {
		if awaited == hash {
			return true
		}
	}
	return false
}
