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
	// statusInterval is how often voters exchange their status, and how often a failed log is tried again.
	statusInterval = time.Second

	// logDirectory is the log's, below the state directory.
	logDirectory = "keys"
	logKind      = "gapgap keys"
	logVersion   = 1
	segmentBytes = 4 << 20
	maxSegments  = 256
)

// voterLoop drives the gateway's voter and its log.
type voterLoop struct {
	replica *Replica
	inbox   chan receivedMessage
	// diskSummary tells operators what was read from the disk.
	diskSummary string
	// view is read by any goroutine.
	view atomic.Pointer[View]

	// The fields below belong to the goroutine of run.

	voter *idempotency.Voter
	log   *wal.Log
	// periodSegment is the segment in which the current retention period began.
	periodSegment uint64
	// hasLogFailed is set while the log can't be written. The voter answers nothing then.
	hasLogFailed bool
}

// openVoter reads the voter's log and begins it anew with what is retained.
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
		_ = l.log.Close() // the first error counts
		return nil, err
	}
	l.diskSummary = fmt.Sprintf(
		"keys: %d remembered, by the disk; %d torn bytes at the log's end thrown away, which nobody was told were kept",
		l.voter.KeyCount(), stats.TornBytes)
	config.Log.Info(l.diskSummary, "segments", stats.Segments)
	l.publishView()
	return l, nil
}

// readLog opens the log and makes the voter from its records, one at a time, as there may be millions. The records that
// the new voter has to write are part of the next snapshot.
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
			yield(record) // NewVoter takes all
			return nil
		})
	}
	l.voter, _ = idempotency.NewVoter(config, l.replica.config.Now(), records)
	return stats, err
}

// rewriteLog writes all that is retained into a new segment and drops the older ones.
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

// append adds records to the log.
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

// run handles messages and timers until the context is done.
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

// handleBatch handles the queued messages, stores the votes with one sync and sends the answers after it.
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

// handleMessage takes a message. Its answers may be sent once the log is synced.
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

// sync syncs the log. err is an error of appending to it. After an error the voter answers nothing until the log is
// rewritten.
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

// tick resumes a failed log and advances the voter's time.
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

// resume tries to go on after a failure of the log.
func (l *voterLoop) resume() bool {
	if err := errors.Join(l.log.Resume(), l.rewriteLog()); err != nil {
		return false
	}
	l.hasLogFailed = false
	l.replica.config.Log.Info("keys are kept again", "keys", l.voter.KeyCount())
	return true
}

// beginPeriod begins a segment for a new retention period and drops those before the period that is retained.
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

// sendStatus sends the voter's status to the others.
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

// publishView publishes the voter's state, and logs whether it has begun or ceased to vote.
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

// responseReceiver is a coordinator that responses are for.
type responseReceiver struct {
	gateway int
	process uint64
}

// answerBatch collects what is sent after a sync. The zero value is empty.
type answerBatch struct {
	responses     map[responseReceiver][]idempotency.Response
	otherMessages []outgoingMessage
}

// add adds a message to a gateway.
func (a *answerBatch) add(to int, m *message) {
	a.otherMessages = append(a.otherMessages, outgoingMessage{to, m})
}

// addResponse adds a response to a process's coordinator.
func (a *answerBatch) addResponse(gateway int, process uint64, response idempotency.Response) {
	if a.responses == nil {
		a.responses = map[responseReceiver][]idempotency.Response{}
	}
	receiver := responseReceiver{gateway: gateway, process: process}
	a.responses[receiver] = append(a.responses[receiver], response)
}

// messages returns all answers, responses first, as many of these in a message as fit.
func (a *answerBatch) messages() (all []outgoingMessage) {
	for receiver, responses := range a.responses {
		for chunk := range slices.Chunk(responses, maxEntriesPerMessage) {
			all = append(all, outgoingMessage{receiver.gateway, &message{Receiver: receiver.process, Responses: chunk}})
		}
	}
	return append(all, a.otherMessages...)
}
