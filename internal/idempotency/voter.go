package idempotency

import (
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"
)

// Limits of what voters retain.
const (
	MinRetention = 10 * time.Second
	MaxRetention = 24 * time.Hour
	// MaxKeys limits the keys that a voter may be configured to retain.
	MaxKeys = 4_000_000
)

// ErrInvalidConfig reports a voter's configuration that is not possible.
var ErrInvalidConfig = errors.New("invalid voter configuration")

// VoterConfig configures a voter.
type VoterConfig struct {
	// Index is the voter's index among the gateways.
	Index int
	// Voters are the indices of all voters, this one among them.
	Voters []int
	// Process is a random number that identifies this process. It is not zero.
	Process uint64
	// Retention is how long a key is retained at least, from its reservation or from the voter's start on.
	Retention time.Duration
	// MaxKeys limits the retained keys.
	MaxKeys int
	// NewDiskID is a random number that identifies the disk if it is empty. It is not zero.
	NewDiskID uint64
	// Incarnation is that with which the process started.
	Incarnation uint32
}

// Validate returns an error that wraps ErrInvalidConfig if a field is out of its range.
func (c *VoterConfig) Validate() error {
	switch {
	case len(c.Voters) > maxVoters:
		return fmt.Errorf("%w: %d voters, %d at most", ErrInvalidConfig, len(c.Voters), maxVoters)
	case !slices.Contains(c.Voters, c.Index):
		return fmt.Errorf("%w: %d is not among the voters %v", ErrInvalidConfig, c.Index, c.Voters)
	case c.Retention <= 0:
		return fmt.Errorf("%w: retention of %v", ErrInvalidConfig, c.Retention)
	case c.MaxKeys <= 0:
		return fmt.Errorf("%w: %d keys at most", ErrInvalidConfig, c.MaxKeys)
	}
	return nil
}

// diskState is what a voter's disk says of itself.
type diskState struct {
	id uint64
	// joined tells whether the disk takes part in votes, since the voters began with initialDisks.
	joined       bool
	initialDisks []uint64
	// recordsAtStart, recordsWritten and recordsSynced count the disk's records when the process started, by now, and
	// those of them that outlive a power loss.
	recordsAtStart, recordsWritten, recordsSynced uint64
}

// join has the disk take part from now on, as there is nothing that it may have forgotten.
func (d *diskState) join(initialDisks []uint64) Record {
	d.joined = true
	d.initialDisks = initialDisks
	return Record{Kind: RecordJoined, Disks: d.initialDisks}
}

// Voter grants each key to one reservation.
//
// Its methods return records. The caller writes and syncs these before it sends what the same call returned, and calls
// MarkSynced then.
type Voter struct {
	config    VoterConfig
	startedAt time.Duration
	keys      keyTable
	disk      diskState
	// peers has a RecordPeer for each voter that was heard of.
	peers map[int]Record
	// confirmedBy are the voters that know this process as the newest of this gateway.
	confirmedBy map[int]bool
	// emptyPeerDisks has the disks of the voters that have not joined.
	emptyPeerDisks map[int]uint64
	// isDiskOutdated is set if a peer knows a later process of this gateway: the disk is an older copy.
	isDiskOutdated bool
	// isDiskReplaced is set if the other voters have begun without this disk.
	isDiskReplaced bool
}

// NewVoter returns a voter that has just started from its disk's records, in their order, and the records to add.
func NewVoter(config VoterConfig, now time.Duration, stored iter.Seq[Record]) (*Voter, []Record) {
	v := &Voter{
		config:         config,
		startedAt:      now,
		keys:           newKeyTable(now),
		peers:          map[int]Record{},
		confirmedBy:    map[int]bool{},
		emptyPeerDisks: map[int]uint64{},
	}
	for record := range stored {
		v.restore(record)
	}
	v.disk.recordsAtStart = v.disk.recordsWritten
	v.disk.recordsSynced = v.disk.recordsWritten
	var records []Record
	if v.disk.id == 0 {
		v.disk.id = config.NewDiskID
		records = append(records, Record{Kind: RecordDisk, ID: v.disk.id})
	}
	hasRunBefore := config.Incarnation > 1
	if v.isOnlyVoter() && !v.disk.joined && !hasRunBefore {
		records = append(records, v.disk.join([]uint64{v.disk.id}))
	}
	return v, v.countWritten(records)
}

// restore applies a record of the disk.
func (v *Voter) restore(record Record) {
	v.disk.recordsWritten++
	switch record.Kind {
	case RecordDisk:
		v.disk.id = record.ID
		v.disk.recordsWritten = max(v.disk.recordsWritten, record.RecordCount)
	case RecordJoined:
		v.disk.join(record.Disks)
	case RecordReserved:
		v.keys.put(record.Key, entry{owner: record.Owner})
	case RecordReleased:
		v.keys.put(record.Key, entry{owner: record.Owner, released: true})
	case RecordPeer:
		v.peers[record.Voter] = record
	}
}

// countWritten counts records that the caller is to write, and returns them.
func (v *Voter) countWritten(records []Record) []Record {
	v.disk.recordsWritten += uint64(len(records))
	return records
}

// MarkSynced records that all records returned so far outlive a power loss.
func (v *Voter) MarkSynced() { v.disk.recordsSynced = v.disk.recordsWritten }

// SegmentHeader returns the records that have to precede the keys of a retention period, so that older segments of the
// log can be dropped.
func (v *Voter) SegmentHeader() []Record {
	records := []Record{{Kind: RecordDisk, ID: v.disk.id, RecordCount: v.disk.recordsWritten}}
	if v.disk.joined {
		records = append(records, Record{Kind: RecordJoined, Disks: v.disk.initialDisks})
	}
	records = slices.AppendSeq(records, maps.Values(v.peers))
	return v.countWritten(records)
}

// Snapshot returns the records from which the voter's state can be restored without any others.
func (v *Voter) Snapshot() []Record {
	header := v.SegmentHeader()
	return append(header, v.countWritten(v.keys.records())...)
}

// isOnlyVoter tells whether there are no other voters.
func (v *Voter) isOnlyVoter() bool { return len(v.config.Voters) == 1 }

// isRetentionOver tells whether any key that the voter may have forgotten before its start is past its retention.
func (v *Voter) isRetentionOver(now time.Duration) bool { return now-v.startedAt >= v.config.Retention }

// Ready tells whether the voter may vote, and if not, the reason for operators.
func (v *Voter) Ready(now time.Duration) (ready bool, reason string) {
	switch {
	case v.isRetentionOver(now) && v.disk.joined:
		return true, ""
	case v.isDiskOutdated:
		return false, "its disk is older than one that it had: keys that it has forgotten must be over first"
	case !v.disk.joined && (v.isDiskReplaced || v.isOnlyVoter()):
		return false, "its disk is empty: keys that it may have forgotten must be over first"
	case !v.disk.joined:
		return false, "it has not heard whether the others have begun"
	case v.isOnlyVoter() || len(v.confirmedBy) >= len(v.config.Voters)/2:
		return true, ""
	}
	return false, "it has not heard whether its disk is its newest one"
}

// Tick advances the time. When rotated is true, a retention period has ended: keys older than that period are dropped.
func (v *Voter) Tick(now time.Duration) (records []Record, rotated bool) {
	if !v.disk.joined && v.isRetentionOver(now) {
		records = append(records, v.disk.join([]uint64{v.disk.id}))
	}
	if now-v.keys.rotatedAt >= v.config.Retention {
		v.keys.rotate(now)
		rotated = true
	}
	return v.countWritten(records), rotated
}

// StatusFor returns the status to send to another voter.
func (v *Voter) StatusFor(voter int) VoterStatus {
	status := VoterStatus{
		Process:        v.config.Process,
		Incarnation:    v.config.Incarnation,
		Disk:           v.disk.id,
		Joined:         v.disk.joined,
		InitialDisks:   v.disk.initialDisks,
		RecordsAtStart: v.disk.recordsAtStart,
		RecordsSynced:  v.disk.recordsSynced,
	}
	if peer, ok := v.peers[voter]; ok {
		status.ObservedProcess = peer.ID
		status.ObservedIsNewest = true
	}
	return status
}

// HandleStatus takes another voter's status and returns the answer to it, to be sent after the records are synced.
func (v *Voter) HandleStatus(from int, status VoterStatus) (records []Record, answer VoterStatus) {
	if from == v.config.Index || !slices.Contains(v.config.Voters, from) || status.Process == 0 {
		return nil, v.StatusFor(from)
	}
	isNewest, records := v.observePeer(from, status)
	if status.ObservedProcess == v.config.Process {
		v.observeOwnProcess(from, status.ObservedIsNewest)
	}
	if !v.disk.joined {
		records = append(records, v.tryJoin(from, status)...)
	}
	answer = v.StatusFor(from)
	answer.ObservedProcess = status.Process
	answer.ObservedIsNewest = isNewest
	return v.countWritten(records), answer
}

// observePeer tells whether a peer's process is the newest known one, and remembers that process if there is news.
func (v *Voter) observePeer(from int, status VoterStatus) (isNewest bool, records []Record) {
	peer, isKnown := v.peers[from]
	isSameDisk := isKnown && slices.Equal(peer.Disks, []uint64{status.Disk})
	// A later process must not have fewer records than are known of its disk, unless it has joined with another disk.
	isSuccessor := status.Incarnation > peer.Incarnation &&
		(!isSameDisk && status.Joined || status.RecordsAtStart >= peer.RecordCount)
	isNewest = !isKnown || status.Process == peer.ID || isSuccessor
	hasNews := !isKnown || status.Process != peer.ID || status.RecordsSynced > peer.RecordCount
	if !isNewest || !hasNews {
		return isNewest, nil
	}
	peer = Record{
		Kind:        RecordPeer,
		Voter:       from,
		Incarnation: max(status.Incarnation, peer.Incarnation),
		ID:          status.Process,
		Disks:       []uint64{status.Disk},
		RecordCount: max(status.RecordsSynced, status.RecordsAtStart),
	}
	v.peers[from] = peer
	return isNewest, []Record{peer}
}

// observeOwnProcess takes a peer's view of whether this process is the newest of its gateway.
func (v *Voter) observeOwnProcess(from int, isNewest bool) {
	switch {
	case isNewest:
		v.confirmedBy[from] = true
	case !v.isDiskOutdated && !v.confirmedBy[from]:
		v.isDiskOutdated = v.disk.joined
	}
}

// tryJoin joins the votes with an empty disk: when the other voters began with this disk, or when all disks are empty.
func (v *Voter) tryJoin(from int, status VoterStatus) []Record {
	if status.Joined {
		delete(v.emptyPeerDisks, from)
		if !slices.Contains(status.InitialDisks, v.disk.id) {
			v.isDiskReplaced = true
			return nil
		}
		return []Record{v.disk.join(slices.Clone(status.InitialDisks))}
	}
	v.emptyPeerDisks[from] = status.Disk
	if len(v.emptyPeerDisks) < len(v.config.Voters)-1 || v.isDiskReplaced {
		return nil
	}
	initialDisks := slices.AppendSeq([]uint64{v.disk.id}, maps.Values(v.emptyPeerDisks))
	return []Record{v.disk.join(initialDisks)}
}

// HandleRequest answers a request of a coordinator's process. The response is sent after these records and all earlier
// ones are synced. It is false if the voter may not vote yet.
func (v *Voter) HandleRequest(
	now time.Duration, process uint64, request Request,
) (response Response, records []Record, ok bool) {
	if ready, _ := v.Ready(now); !ready {
		return Response{}, nil, false
	}
	owner := Owner{Process: process, Sequence: request.Sequence}
	response.Sequence = request.Sequence
	if request.Release {
		response.Vote = VoteReleased
		records = v.release(request.Key, owner)
	} else {
		response.Vote, records = v.reserve(request.Key, owner)
	}
	return response, v.countWritten(records), true
}

// reserve grants a key that is free or released by its last owner.
func (v *Voter) reserve(key Key, owner Owner) (Vote, []Record) {
	held, isKnown := v.keys.get(key)
	switch {
	case isKnown && held.owner == owner && !held.released:
		return VoteGranted, nil
	case isKnown && (held.owner == owner || !held.released):
		return VoteHeld, nil
	case v.isFull():
		return VoteFull, nil
	}
	v.keys.put(key, entry{owner: owner})
	return VoteGranted, []Record{{Kind: RecordReserved, Key: key, Owner: owner}}
}

// release releases an owner's key. A release of a key that is not reserved is retained too, as the request for the key
// may come later.
func (v *Voter) release(key Key, owner Owner) []Record {
	held, isKnown := v.keys.get(key)
	switch {
	case isKnown && held.owner == owner && held.released:
		return nil
	case isKnown && held.owner != owner:
		return nil
	case !isKnown && v.isFull():
		return nil
	}
	v.keys.put(key, entry{owner: owner, released: true})
	return []Record{{Kind: RecordReleased, Key: key, Owner: owner}}
}

func (v *Voter) isFull() bool { return v.KeyCount() >= v.config.MaxKeys }

// KeyCount returns how many keys are retained.
func (v *Voter) KeyCount() int { return v.keys.size() }
