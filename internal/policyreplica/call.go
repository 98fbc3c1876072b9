package policyreplica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gapgap/internal/policy"
)

const (
	// callPollInterval is how often a waiting call checks for its result.
	callPollInterval = 20 * time.Millisecond
	// leaveAttempts limits how often the leader is notified of a leave, and leaveInterval is the pause in between.
	leaveAttempts = 10
	leaveInterval = 50 * time.Millisecond
)

// ErrClosed is returned by calls to a replica that is closed.
var ErrClosed = errors.New("the gateway is shutting down")

// ErrNotVoter is returned by Recover on a gateway that is not a voter and so has no log to recover.
var ErrNotVoter = errors.New("this gateway is not a voter: run the recovery on a voter")

// RecoveryRefusedError says why the voter must not continue alone. Its text may refer to gateways by index; see
// [policy.ReplaceGatewayNumbers].
type RecoveryRefusedError struct {
	// Err is ErrNotVoter or an error of package raftlog.
	Err error
}

func (e *RecoveryRefusedError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *RecoveryRefusedError) Unwrap() error { return e.Err }

// DocumentSizeError is returned for a document that is empty or too long.
type DocumentSizeError struct {
	// Bytes is the document's length.
	Bytes int
}

func (e *DocumentSizeError) Error() string {
	return fmt.Sprintf("policy document has %d bytes, want 1 to %d", e.Bytes, policy.MaxDocumentBytes)
}

// UnavailableDocumentError is returned if no gateway sent a document in time.
type UnavailableDocumentError struct {
	Hash policy.Hash
	// Err is the error of the caller's context.
	Err error
}

func (e *UnavailableDocumentError) Error() string {
	return fmt.Sprintf("no door that answers has the document %s: %v", shortHash(e.Hash), e.Err)
}

// Unwrap returns the error of the caller's context.
func (e *UnavailableDocumentError) Unwrap() error { return e.Err }

// call runs a function on the replica's goroutine and waits until it returns. Its error is ErrClosed or the context's.
func (r *Replica) call(ctx context.Context, f func()) error {
	returned := make(chan struct{})
	call := func() {
		f()
		close(returned)
	}
	select {
	case r.calls <- call:
	case <-r.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-returned:
	case <-r.done:
	}
	return nil
}

// cleanUp runs a function on the replica's goroutine. If that has ended, there is nothing left to clean up.
func (r *Replica) cleanUp(f func()) { _ = r.call(context.Background(), f) }

// poll runs a function on the replica's goroutine every callPollInterval until it returns true. Its error is ErrClosed
// or the context's.
func (r *Replica) poll(ctx context.Context, isReady func() bool) error {
	for {
		ready := false
		if err := r.call(ctx, func() { ready = isReady() }); err != nil {
			return err
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(callPollInterval):
		}
	}
}

// Query sends a query to the leader and waits for the reply, which for a change is its outcome. Its error is ErrClosed,
// policy.ErrTooManyQueries or the context's. After a context error, the outcome of a change is unknown.
func (r *Replica) Query(ctx context.Context, query policy.Query) (*policy.QueryReply, error) {
	number, err := r.startQuery(ctx, query)
	if err != nil {
		return nil, err
	}
	defer r.cleanUp(func() { r.node.EndQuery(number) })
	var reply *policy.QueryReply
	err = r.poll(ctx, func() bool {
		reply = r.node.QueryReply(number)
		return reply != nil
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// startQuery sends a query and returns its number.
func (r *Replica) startQuery(ctx context.Context, query policy.Query) (number uint64, err error) {
	var startErr error
	err = r.call(ctx, func() {
		number, startErr = r.node.StartQuery(query)
		if startErr == nil {
			r.sendAll(r.node.Tick(r.config.Now(), wallMilliseconds()))
		}
	})
	if err != nil {
		return 0, err
	}
	return number, startErr
}

// Recover makes this gateway's voter continue alone after a majority of the voters' disks is permanently lost. lost are
// the indices of the voters whose disks are known to be lost. Its error may be a *RecoveryRefusedError, ErrClosed or
// the context's.
func (r *Replica) Recover(ctx context.Context, lost []int, author string) error {
	entry, err := encodeRecovery(lost, author)
	if err != nil {
		return err
	}
	refusal := ErrNotVoter
	err = r.call(ctx, func() {
		if r.raftLog != nil {
			refusal = r.raftLog.Recover(lost, entry)
		}
	})
	if err != nil {
		return err
	}
	if refusal != nil {
		return &RecoveryRefusedError{Err: refusal}
	}
	return nil
}

// encodeRecovery returns the encoded log entry of a recovery.
func encodeRecovery(lost []int, author string) ([]byte, error) {
	recovery := &policy.Recovery{
		Author:      author[:min(len(author), policy.MaxIDBytes)],
		RecoveredAt: wallMilliseconds(),
	}
	for _, index := range lost {
		recovery.Lost = append(recovery.Lost, uint16(index))
	}
	return policy.Entry{Recovery: recovery}.Encode()
}

// StoreDocument stores a document on this gateway's disk, from which other gateways can download it, and returns its
// hash. Its error may be a *DocumentSizeError, ErrClosed or the context's.
func (r *Replica) StoreDocument(ctx context.Context, document []byte) (policy.Hash, error) {
	if len(document) == 0 || len(document) > policy.MaxDocumentBytes {
		return policy.Hash{}, &DocumentSizeError{Bytes: len(document)}
	}
	var inUse policy.Hash
	if err := r.call(ctx, func() { inUse = r.version.Hash }); err != nil {
		return policy.Hash{}, err
	}
	return policy.HashOf(document), r.documents.store(document, inUse)
}

// Document returns a document from this gateway's disk, or else from another gateway. Its error may be an
// *UnavailableDocumentError, ErrClosed or the context's.
func (r *Replica) Document(ctx context.Context, hash policy.Hash) ([]byte, error) {
	if document, err := r.documents.read(hash); err == nil {
		return document, nil
	}
	ownDownload := newDownload(hash, r.sources(0))
	defer r.cleanUp(func() {
		if r.download == ownDownload {
			r.download = nil
		}
		delete(r.awaited, shortHash(hash))
		delete(r.preparer.downloaded, hash)
	})
	for {
		var document []byte
		err := r.call(ctx, func() { document = r.awaitDownload(ownDownload) })
		if err != nil {
			return nil, err
		}
		if document != nil {
			return document, nil
		}
		select {
		case <-ctx.Done():
			return nil, &UnavailableDocumentError{Hash: hash, Err: ctx.Err()}
		case <-time.After(callPollInterval):
		}
	}
}

// awaitDownload returns the document of a complete download, or a report from this gateway's own cache, as no other
// gateway has the reports of the leader. It returns nil while there is neither, and starts the download if no other one
// is running.
func (r *Replica) awaitDownload(ownDownload *download) []byte {
	if report := r.reports.byHash[ownDownload.hash]; report != nil {
		return report
	}
	document := r.preparer.downloaded[ownDownload.hash]
	if document == nil && r.download == nil {
		r.download = ownDownload
		r.awaited[shortHash(ownDownload.hash)] = ownDownload.hash
	}
	return document
}

// History returns the outcomes of the most recent changes, as JSON, from the leader. Its errors are those of Document.
func (r *Replica) History(ctx context.Context) ([]byte, error) {
	defer r.cleanUp(func() { delete(r.awaited, historyReport) })
	hash, err := r.locateHistory(ctx)
	if err != nil {
		return nil, err
	}
	return r.Document(ctx, hash)
}

// locateHistory returns the hash by which the leader's history can be downloaded.
func (r *Replica) locateHistory(ctx context.Context) (hash policy.Hash, err error) {
	err = r.poll(ctx, func() bool {
		located := r.awaited[historyReport]
		if located == (policy.Hash{}) {
			r.awaited[historyReport] = policy.Hash{} // marks the location as awaited
			for _, voter := range r.voters {
				r.send(voter, &message{ReportRequest: historyReport})
			}
			return false
		}
		hash = located
		return true
	})
	return hash, err
}

// Leave notifies the leader that this gateway no longer decides requests. The host must have stopped before. The
// notification is repeated until the leader confirms it, at most leaveAttempts times.
func (r *Replica) Leave() {
	for range leaveAttempts {
		isConfirmed := false
		err := r.call(context.Background(), func() {
			r.node.Participant().Leave()
			r.node.PollNow()
			r.sendAll(r.node.Tick(r.config.Now(), wallMilliseconds()))
			isConfirmed = r.node.IsLeaveConfirmed()
		})
		if err != nil || isConfirmed {
			return
		}
		time.Sleep(leaveInterval)
	}
}
