package idempotency

// diskState is the state of a voter's disk as recorded on the disk.
type diskState struct {
	// id is the random number that identifies the disk.
	id uint64
	// joined reports whether the disk takes part in votes. If so, initialDisks are the disks with which the voters
	// started voting.
	joined       bool
	initialDisks []uint64
	// recordsAtStart is the number of records on the disk when the process started. recordsWritten counts those written
	// so far, and recordsSynced those that are synced.
	recordsAtStart, recordsWritten, recordsSynced uint64
}

// join lets the disk take part in votes and returns the record to write. The caller has established that the disk can't
// have lost any votes that still matter.
func (d *diskState) join(initialDisks []uint64) Record {
	d.joined = true
	d.initialDisks = initialDisks
	return Record{Kind: RecordJoined, Disks: d.initialDisks}
}
