package idempotency

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
