package policyreplica

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"gapgap/internal/policy"
)

// buildRetryInterval is how long a document that could not be built is rejected before another attempt.
const buildRetryInterval = time.Minute

// buildResult is the result of building and storing a document.
type buildResult struct {
	hash  policy.Hash
	built any
	err   error
}

// preparer builds and stores documents, one at a time, so that the host can switch to them without delay. Its methods
// are called by the replica's goroutine, except build.
type preparer struct {
	host      Host
	documents *documentStore
	log       *slog.Logger
	waitGroup *sync.WaitGroup
	// results receives the results of started builds, until done is closed.
	results chan buildResult
	done    <-chan struct{}

	isBuilding bool
	// downloaded has documents that are not yet built and stored.
	downloaded map[policy.Hash][]byte
	// built has the results of Host.Build for stored documents.
	built map[policy.Hash]any
	// failedAt is when each document could not be built or stored.
	failedAt map[policy.Hash]time.Duration
}

// isBuilt reports whether a document is built and stored.
func (p *preparer) isBuilt(hash policy.Hash) bool {
	_, ok := p.built[hash]
	return ok
}

// hasFailed reports whether a document could not be built or stored within the last buildRetryInterval.
func (p *preparer) hasFailed(hash policy.Hash) bool {
	_, ok := p.failedAt[hash]
	return ok
}

// prepare reports whether a document is built. If it is not, but is downloaded or stored, prepare starts to build it.
// inUse is a document that must not be pruned from the disk.
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

// find returns a downloaded or stored document, or nil if there is none.
func (p *preparer) find(hash policy.Hash) []byte {
	if document := p.downloaded[hash]; document != nil {
		return document
	}
	document, err := p.documents.read(hash)
	if errors.Is(err, errDocumentDamaged) {
		p.log.Error("a policy's file is not used: it is downloaded again", "error", err)
	}
	if err != nil {
		return nil
	}
	return document
}

// build builds and stores a document. It runs on its own goroutine.
func (p *preparer) build(hash policy.Hash, document []byte, inUse policy.Hash) buildResult {
	built, err := p.host.Build(document)
	if err != nil {
		return buildResult{hash: hash, err: err}
	}
	if err := p.documents.store(document, inUse, hash); err != nil {
		return buildResult{hash: hash, err: fmt.Errorf("document could not be stored: %w", err)}
	}
	return buildResult{hash: hash, built: built}
}

// finish records the result of the running build.
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

// expireFailures allows documents that failed more than buildRetryInterval ago to be built again.
func (p *preparer) expireFailures(now time.Duration) {
	for hash, at := range p.failedAt {
		if now-at > buildRetryInterval {
			delete(p.failedAt, hash)
		}
	}
}

// ensurePrepared starts to build a document that the node lacks, or to download it if it is not stored. source is the
// gateway that is most likely to have it.
func (r *Replica) ensurePrepared(hash policy.Hash, source int) {
	participant := r.node.Participant()
	if r.preparer.prepare(hash, r.version.Hash) {
		participant.DocumentPrepared(hash) // it was built under an earlier identity of the process
		r.node.PollNow()
		return
	}
	if r.preparer.hasFailed(hash) {
		if change, ok := participant.Pending(); ok && change.Hash == hash {
			participant.RejectDocument(hash, "document could not be built a moment ago")
		}
		return
	}
	isDownloading := r.download != nil && r.download.hash == hash
	if r.preparer.isBuilding || r.preparer.downloaded[hash] != nil || isDownloading {
		return
	}
	r.download = newDownload(hash, r.sources(source))
}

// handleBuildResult tells the node whether the host can switch to a document.
func (r *Replica) handleBuildResult(result buildResult) {
	r.preparer.finish(result, r.config.Now())
	if result.err != nil {
		r.node.Participant().RejectDocument(result.hash, result.err.Error())
	} else {
		r.node.Participant().DocumentPrepared(result.hash)
	}
	r.node.PollNow()
}

// shortHash returns the prefix of a hash that log lines and error messages show.
func shortHash(hash policy.Hash) string { return hash.String()[:12] }
