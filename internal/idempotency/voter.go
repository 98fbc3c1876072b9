package idempotency

import (
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"
)

// Limits of a voter's configuration.
const (
	// MinRetention and MaxRetention limit the retention of keys.
	MinRetention = 10 * time.Second
	MaxRetention = 24 * time.Hour
	// MaxKeys is the maximum number of keys that a voter may be configured to retain.
	MaxKeys = 4_000_000
)

// ErrInvalidConfig reports an invalid voter configuration.
var ErrInvalidConfig = errors.New("invalid voter configuration")

// VoterConfig configures a voter.
type VoterConfig struct {
	// Index is the voter's index among the gateways.
	Index int
	// Voters are the indices of all voters, including this one.
	Voters []int
	// Process is a random number that identifies this process. It is not zero.
	Process uint64
	// Retention is the minimum time for which a key is retained after its reservation. It starts anew for all keys when
	// the voter starts.
	Retention time.Duration
	// MaxKeys is the maximum number of retained keys.
	MaxKeys int
	// NewDiskID is a random number that becomes the ID of the disk if the disk is empty. It is not zero.
	NewDiskID uint64
	// Incarnation is the incarnation with which the process started.
	Incarnation uint32
}

// Validate returns an error that wraps ErrInvalidConfig if a field is out of range.
func (c *VoterConfig) Validate() error {
	switch {
	case len(c.Voters) > maxVoters:
		return fmt.Errorf("%w: %d voters, at most %d are supported", ErrInvalidConfig, len(c.Voters), maxVoters)
	case !slices.Contains(c.Voters, c.Index):
		return fmt.Errorf("%w: index %d is not among the voters %v", ErrInvalidConfig, c.Index, c.Voters)
	case c.Retention <= 0:
		return fmt.Errorf("%w: retention %v is not positive", ErrInvalidConfig, c.Retention)
	case c.MaxKeys <= 0:
		return fmt.Errorf("%w: maximum of %d keys is not positive", ErrInvalidConfig, c.MaxKeys)
	}
	return nil
}

// Voter grants each key to one reservation.
//
// Its methods return records. The caller must write and sync them and call MarkSynced before it sends the response or
// status that the same call returned.
type Voter struct {
	config    VoterConfig
	startedAt time.Duration
	keys      keyTable
	disk      diskState
	// peers holds a RecordPeer for each other voter whose status was received, by the voter's index.
	peers map[int]Record
	// confirmedBy are the voters that have confirmed this process as the latest of this gateway.
	confirmedBy map[int]bool
	// emptyPeerDisks holds the disk IDs of the other voters that have not joined, by the voter's index.
	emptyPeerDisks map[int]uint64
	// isDiskOutdated is set if a peer knows a later process of this gateway, so that the disk must be an older copy.
	isDiskOutdated bool
	// isDiskReplaced is set if the other voters started voting without this disk.
	isDiskReplaced bool
}

// NewVoter returns a voter that starts at the time now, and the records to write. stored are the records of its disk,
// in the order in which they were written.
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

// restore applies a record that was read from the disk.
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

// countWritten adds records to the count of written records and returns them for the caller to write.
func (v *Voter) countWritten(records []Record) []Record {
	v.disk.recordsWritten += uint64(len(records))
	return records
}

// MarkSynced tells the voter that all records returned so far are synced to disk.
func (v *Voter) MarkSynced() { v.disk.recordsSynced = v.disk.recordsWritten }

// SegmentHeader returns the records that must be written at the start of a retention period, before any keys. They
// replace the corresponding records of older segments, so that those segments can be dropped.
func (v *Voter) SegmentHeader() []Record {
	records := []Record{{Kind: RecordDisk, ID: v.disk.id, RecordCount: v.disk.recordsWritten}}
	if v.disk.joined {
		records = append(records, Record{Kind: RecordJoined, Disks: v.disk.initialDisks})
	}
	records = slices.AppendSeq(records, maps.Values(v.peers))
	return v.countWritten(records)
}

// Snapshot returns records that are sufficient to restore the state of the voter.
func (v *Voter) Snapshot() []Record {
	header := v.SegmentHeader()
	return append(header, v.countWritten(v.keys.records())...)
}

// isOnlyVoter reports whether there are no other voters.
func (v *Voter) isOnlyVoter() bool { return len(v.config.Voters) == 1 }

// isRetentionOver reports whether the retention is over for all keys that the voter may have lost before its start.
func (v *Voter) isRetentionOver(now time.Duration) bool { return now-v.startedAt >= v.config.Retention }

// Ready reports whether the voter may vote. If it may not, reason explains to operators why.
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

// Tick advances the time. rotated reports whether a retention period has ended; then the keys of the period before it
// have been dropped.
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

// isFull reports whether the voter has reached its limit of retained keys.
func (v *Voter) isFull() bool { return v.KeyCount() >= v.config.MaxKeys }

// KeyCount returns the number of retained keys.
func (v *Voter) KeyCount() int { return v.keys.size() }
