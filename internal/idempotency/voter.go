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

func (v *Voter) isFull() bool { return v.KeyCount() >= v.config.MaxKeys }

// KeyCount returns how many keys are retained.
func (v *Voter) KeyCount() int { return v.keys.size() }
