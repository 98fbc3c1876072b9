package membership

import "time"

// duplicateProcess is another process of the same name that takes precedence.
type duplicateProcess struct {
	id        ID
	counter   uint32
	lastHeard time.Duration
}

// Duplicate returns the other process of the same name that takes precedence, while it is alive. In that time this
// process sends no heartbeats and must not take part in the cluster.
func (d *Detector) Duplicate(now time.Duration) (ID, bool) {
	if d.duplicate == nil || now-d.duplicate.lastHeard >= DeadTimeout {
		return ID{}, false
	}
	return d.duplicate.id, true
}

// TakeIncarnationChange reports, once per change, that this process has adopted a higher incarnation because an earlier
// process had the same or a higher one. The caller must write the new incarnation to disk before it sends anything.
func (d *Detector) TakeIncarnationChange() bool {
	hasNew := d.hasNewIncarnation
	d.hasNewIncarnation = false
	return hasNew
}

// receiveOwnEntry processes an entry with this gateway's index. An ID newer than this process's belongs to a duplicate,
// or to an earlier process whose incarnation was lost from disk.
func (d *Detector) receiveOwnEntry(now time.Duration, entry Entry) {
	if !d.config.ID.Before(entry.ID) {
		return
	}
	switch known := d.duplicate; {
	case entry.Phase == Leaving && (known == nil || !entry.ID.Before(known.id)):
		d.supersede(entry.ID)
	case known == nil || known.id.Before(entry.ID):
		d.duplicate = &duplicateProcess{id: entry.ID, counter: entry.Counter, lastHeard: now}
	case known.id == entry.ID && entry.Counter > known.counter:
		known.counter, known.lastHeard = entry.Counter, now
	}
}

// expireDuplicate supersedes a duplicate whose counter has not increased for DeadTimeout: it was an earlier process of
// this gateway, or it has ended.
func (d *Detector) expireDuplicate(now time.Duration) {
	if d.duplicate != nil && now-d.duplicate.lastHeard >= DeadTimeout {
		d.supersede(d.duplicate.id)
	}
}

// supersede adopts the incarnation after that of a process that has ended.
func (d *Detector) supersede(ended ID) {
	d.config.ID.Incarnation = ended.Incarnation + 1
	d.self().ID = d.config.ID
	d.duplicate, d.hasNewIncarnation = nil, true
}
