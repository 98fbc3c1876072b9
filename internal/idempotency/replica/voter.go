package replica

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/idempotency"
	"gapgap/internal/wal"
)

const (
	// statusInterval is how often voters exchange their status and retry a failed log.
	statusInterval = time.Second

	// logDirectory is the directory of the log in the state directory.
	logDirectory = "keys"
	// logKind and logVersion identify the log and the format of its records.
	logKind    = "gapgap keys"
	logVersion = 1
	// segmentBytes is the size at which a new segment of the log is begun.
	segmentBytes = 4 << 20
	// maxSegments is the maximum number of segments of the log.
	maxSegments = 256
)

// voterLoop runs the voter of the gateway and its log.
type voterLoop struct {
	replica *Replica
	inbox   chan receivedMessage
	// diskSummary describes to operators what was read from the disk.
	diskSummary string
	// view is the last published state of the voter, for other goroutines to read.
	view atomic.Pointer[View]

	// The following fields are accessed only by the goroutine of run.

	voter *idempotency.Voter
	log   *wal.Log
	// periodSegment is the number of the segment with which the current retention period begins.
	periodSegment uint64
	// hasLogFailed is set while the log can't be written. The voter then answers no messages.
	hasLogFailed bool
}

// openVoter reads the voter's log and rewrites it with the retained state only.
func openVoter(r *Replica) (*voterLoop, error) {
	config := &r.config
	dir := filepath.Join(config.Dir, logDirectory)
	if err := errors.Join(config.FS.MkdirAll(dir, 0o700), config.FS.SyncDir(config.Dir)); err != nil {
		return nil, err
	}
	voterConfig := idempotency.VoterConfig{
		Index:       config.Index,
		Voters:      config.Voters,
		Process:     r.process,
		Retention:   config.Retention,
		MaxKeys:     config.MaxKeys,
		NewDiskID:   randomID(),
		Incarnation: config.Incarnation,
	}
	if err := voterConfig.Validate(); err != nil {
		return nil, err
	}
	l := &voterLoop{replica: r, inbox: make(chan receivedMessage, maxQueuedMessages)}
	l.view.Store(&View{})
	stats, err := l.readLog(dir, voterConfig)
	if err != nil {
		return nil, err
	}
	if err := l.rewriteLog(); err != nil {
		_ = l.log.Close() // the first error is the one to report
		return nil, err
	}
	l.diskSummary = fmt.Sprintf(
		"keys: %d remembered, by the disk; %d torn bytes at the log's end thrown away, which nobody was told were kept",
		l.voter.KeyCount(), stats.TornBytes)
	config.Log.Info(l.diskSummary, "segments", stats.Segments)
	l.publishView()
	return l, nil
}

// readLog opens the log and creates the voter from its records. It passes them on one at a time, as there may be
// millions. The records that the new voter returns are ignored here, as the next snapshot contains them.
func (l *voterLoop) readLog(dir string, config idempotency.VoterConfig) (stats wal.OpenStats, err error) {
	options := wal.Options{
		FS:           l.replica.config.FS,
		Dir:          dir,
		Kind:         logKind,
		Version:      logVersion,
		SegmentBytes: segmentBytes,
		MaxSegments:  maxSegments,
	}
	records := func(yield func(idempotency.Record) bool) {
		l.log, stats, err = wal.Open(options, func(b []byte) error {
			var record idempotency.Record
			if err := messageDecoder.Unmarshal(b, &record); err != nil {
				return err
			}
			yield(record) // NewVoter consumes all records
			return nil
		})
	}
	l.voter, _ = idempotency.NewVoter(config, l.replica.config.Now(), records)
	return stats, err
}

// rewriteLog writes a snapshot of the voter to a new segment and drops the older segments.
func (l *voterLoop) rewriteLog() error {
	if err := l.log.Rotate(); err != nil {
		return err
	}
	first := l.log.CurrentSegment()
	if err := l.append(l.voter.Snapshot()); err != nil {
		return err
	}
	if err := l.log.Sync(); err != nil {
		return err
	}
	l.voter.MarkSynced()
	l.periodSegment = first
	return l.log.DropBefore(first)
}

// append appends records to the log.
func (l *voterLoop) append(records []idempotency.Record) error {
	for i := range records {
		b, err := cbor.Marshal(&records[i])
		if err != nil {
			return err
		}
		if err := l.log.Append(b); err != nil {
			return err
		}
		l.replica.Stats.Bytes.Add(uint64(len(b)))
	}
	return nil
}

// run handles messages and timers until ctx is done.
func (l *voterLoop) run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	l.sendStatus()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.inbox:
			l.handleBatch(first)
		case <-ticker.C:
			l.tick()
			l.sendStatus()
		}
		l.publishView()
	}
}

// handleBatch handles the queued messages, stores the votes with a single sync and then sends the answers.
func (l *voterLoop) handleBatch(first receivedMessage) {
	var answers answerBatch
	var err error
	handleQueued(first, l.inbox, func(received receivedMessage) {
		err = errors.Join(err, l.handleMessage(received, &answers))
	})
	l.sync(err)
	if l.hasLogFailed {
		return
	}
	for _, out := range answers.messages() {
		l.replica.send(out)
	}
}

// handleMessage processes a message and adds its answers, which may be sent only after the log is synced.
func (l *voterLoop) handleMessage(received receivedMessage, answers *answerBatch) error {
	if l.hasLogFailed {
		return nil
	}
	now := l.replica.config.Now()
	m := received.message
	if m.Status != nil {
		records, status := l.voter.HandleStatus(received.from, *m.Status)
		if err := l.append(records); err != nil {
			return err
		}
		if !m.IsStatusAnswer {
			answers.add(received.from, &message{Status: &status, IsStatusAnswer: true})
		}
	}
	if ready, _ := l.voter.Ready(now); m.Ping && ready {
		answers.add(received.from, &message{Receiver: m.Process, Pong: true})
	}
	for _, request := range m.Requests {
		response, records, ok := l.voter.HandleRequest(now, m.Process, request)
		if err := l.append(records); err != nil {
			return err
		}
		if ok {
			answers.addResponse(received.from, m.Process, response)
		}
	}
	return nil
}

// sync syncs the log, unless err reports that appending to it has failed. After an error, the voter answers no messages
// until the log has been resumed and rewritten.
func (l *voterLoop) sync(err error) {
	if l.hasLogFailed {
		return
	}
	if err == nil && l.log.IsDirty() {
		err = l.log.Sync()
		if err == nil {
			l.replica.Stats.Syncs.Add(1)
		}
	}
	if err != nil {
		l.hasLogFailed = true
		l.replica.config.Log.Error("keys can't be kept: this voter says nothing about them until it can", "error", err)
		return
	}
	l.voter.MarkSynced()
}

// tick tries to resume a failed log and advances the time of the voter.
func (l *voterLoop) tick() {
	if l.hasLogFailed && !l.resume() {
		return
	}
	records, rotated := l.voter.Tick(l.replica.config.Now())
	err := l.append(records)
	if err == nil && rotated {
		err = l.beginPeriod()
	}
	l.sync(err)
}

// resume tries to resume and rewrite the log after a failure, and reports whether that succeeded.
func (l *voterLoop) resume() bool {
	if err := errors.Join(l.log.Resume(), l.rewriteLog()); err != nil {
		return false
	}
	l.hasLogFailed = false
	l.replica.config.Log.Info("keys are kept again", "keys", l.voter.KeyCount())
	return true
}

// beginPeriod begins a segment for a new retention period. It keeps the segments of the previous period, whose keys are
// still retained, and drops those before them.
func (l *voterLoop) beginPeriod() error {
	retainedFrom := l.periodSegment
	if err := l.log.Rotate(); err != nil {
		return err
	}
	l.periodSegment = l.log.CurrentSegment()
	if err := l.append(l.voter.SegmentHeader()); err != nil {
		return err
	}
	if err := l.log.Sync(); err != nil {
		return err
	}
	return l.log.DropBefore(retainedFrom)
}

// sendStatus sends the status of the voter to the other voters.
func (l *voterLoop) sendStatus() {
	if l.hasLogFailed {
		return
	}
	for _, voter := range l.replica.config.Voters {
		if voter != l.replica.config.Index {
			status := l.voter.StatusFor(voter)
			l.replica.send(outgoingMessage{voter, &message{Status: &status}})
		}
	}
}

// publishView publishes the state of the voter and logs changes of its readiness.
func (l *voterLoop) publishView() {
	view := View{IsVoter: true, Keys: l.voter.KeyCount(), Segments: l.log.SegmentCount()}
	view.Ready, view.Reason = l.voter.Ready(l.replica.config.Now())
	if l.hasLogFailed {
		view.Ready, view.Reason = false, "its disk can't be written"
	}
	if old := l.view.Load(); old.IsVoter && old.Ready != view.Ready {
		l.replica.config.Log.Info("idempotency voter's readiness changed", "ready", view.Ready, "reason", view.Reason)
	}
	l.view.Store(&view)
}

// responseReceiver identifies the coordinator that receives responses.
type responseReceiver struct {
	gateway int
	process uint64
}

// answerBatch collects the messages to send after a sync. The zero value is empty.
type answerBatch struct {
	responses     map[responseReceiver][]idempotency.Response
	otherMessages []outgoingMessage
}

// add adds a message for the given gateway.
func (a *answerBatch) add(to int, m *message) {
	a.otherMessages = append(a.otherMessages, outgoingMessage{to, m})
}

// addResponse adds a response for the coordinator of a process.
func (a *answerBatch) addResponse(gateway int, process uint64, response idempotency.Response) {
	if a.responses == nil {
		a.responses = map[responseReceiver][]idempotency.Response{}
	}
	receiver := responseReceiver{gateway: gateway, process: process}
	a.responses[receiver] = append(a.responses[receiver], response)
}

// messages returns all messages. Responses come first, with up to maxEntriesPerMessage of them in a message.
func (a *answerBatch) messages() (all []outgoingMessage) {
	for receiver, responses := range a.responses {
		for chunk := range slices.Chunk(responses, maxEntriesPerMessage) {
			all = append(all, outgoingMessage{receiver.gateway, &message{Receiver: receiver.process, Responses: chunk}})
		}
	}
	return append(all, a.otherMessages...)
}
