package policyreplica

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"gapgap/internal/policy"
)

// buildRetryInterval is how long a document that could not be built is rejected before it is tried again.
const buildRetryInterval = time.Minute

// buildResult is what Host.Build made of a document.
type buildResult struct {
	hash  policy.Hash
	built any
	err   error
}

// preparer builds and stores documents, one at a time, so that the host can switch to them at once. Its methods are
// called by the replica's goroutine.
type preparer struct {
	host      Host
	documents *documentStore
	log       *slog.Logger
	waitGroup *sync.WaitGroup
	// results has the results of started builds, until done is closed.
	results chan buildResult
	done    <-chan struct{}

	isBuilding bool
	// downloaded has documents that are neither built nor stored yet.
	downloaded map[policy.Hash][]byte
	// built has what Host.Build made of stored documents.
	built map[policy.Hash]any
	// failedAt is when each document turned out not to be usable.
	failedAt map[policy.Hash]time.Duration
}

// isBuilt tells whether a document is stored and built.
func (p *preparer) isBuilt(hash policy.Hash) bool {
	_, ok := p.built[hash]
	return ok
}

// hasFailed tells whether a document could not be built a short time ago.
func (p *preparer) hasFailed(hash policy.Hash) bool {
	_, ok := p.failedAt[hash]
	return ok
}

// prepare returns whether a document is built. If not, and if it is at hand, it starts to build it. inUse is a document
// that stays on the disk.
func (p *preparer) prepare(hash, inUse policy.Hash) bool {
	if p.isBuilt(hash) {
		return true
	}
	if p.hasFailed(hash) || p.isBuilding {
		return false
	}
	document := p.find(hash)
	if document == nil {
		return false
	}
	p.isBuilding = true
	p.waitGroup.Go(func() {
		result := p.build(hash, document, inUse)
		select {
		case p.results <- result:
		case <-p.done:
		}
	})
	return false
}

// find returns a document that was downloaded or is stored; nil if there is none.
func (p *preparer) find(hash policy.Hash) []byte {
	if document := p.downloaded[hash]; document != nil {
		return document
	}
	document, err := p.documents.read(hash)
	if errors.Is(err, errDocumentDamaged) {
		p.log.Error("a policy's file is not used: it is fetched anew", "error", err)
	}
	if err != nil {
		return nil
	}
	return document
}

// build builds and stores a document. It runs on a goroutine of its own.
func (p *preparer) build(hash policy.Hash, document []byte, inUse policy.Hash) buildResult {
	built, err := p.host.Build(document)
	if err != nil {
		return buildResult{hash: hash, err: err}
	}
	if err := p.documents.store(document, inUse, hash); err != nil {
		return buildResult{hash: hash, err: fmt.Errorf("it could not be kept: %w", err)}
	}
	return buildResult{hash: hash, built: built}
}

// finish takes the result of the build that is running.
func (p *preparer) finish(result buildResult, now time.Duration) {
	p.isBuilding = false
	delete(p.downloaded, result.hash)
	if result.err != nil {
		p.failedAt[result.hash] = now
		p.log.Error("a policy can't be gone by here", "hash", shortHash(result.hash), "error", result.err)
		return
	}
	p.built[result.hash] = result.built
}

// expireFailures lets documents that failed long ago be built again.
func (p *preparer) expireFailures(now time.Duration) {
	for hash, at := range p.failedAt {
		if now-at > buildRetryInterval {
			delete(p.failedAt, hash)
		}
	}
}

// shortHash is the form of a hash in log lines and error messages.
func shortHash(hash policy.Hash) string { return hash.String()[:12] }
