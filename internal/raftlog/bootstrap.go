package raftlog

import (
	"maps"
)

// bootstrapTicks is the interval between bootstrap messages, and between tail messages.
const bootstrapTicks = 5

// emptyDisk describes an empty disk that another voter has reported.
type emptyDisk struct {
	number     uint64
	receivedAt int // tick
}

// sendBootstrapToAll asks the other voters whether they have a log.
func (l *Log) sendBootstrapToAll() {
	for _, voter := range l.cfg.Voters {
		if voter != l.cfg.Voter {
			l.sendBootstrap(voter)
		}
	}
}

// sendBootstrap sends a voter this voter's disk number, the disk numbers of its log if it has one, and its term.
func (l *Log) sendBootstrap(to int) {
	own := &l.cfg.Disk.content
	m := bootstrapMessage{disk: own.Number, disks: own.Disks}
	if l.node != nil {
		m.term = l.node.BasicStatus().Term
	}
	l.cfg.Send(to, m.encode(l.cfg.Voters))
}

// receiveBootstrap handles a message of sendBootstrap.
func (l *Log) receiveBootstrap(from int, body []byte) error {
	m, err := decodeBootstrap(body, len(l.cfg.Voters))
	if err != nil {
		return err
	}
	isEmpty := len(m.disks) == 0
	switch {
	case l.node != nil || l.failure != nil:
		if isEmpty {
			l.receiveFromEmptyDisk(from, m.disk)
		} else {
			l.checkStillMember(&m)
		}
	case isEmpty:
		l.emptyDisks[from] = emptyDisk{number: m.disk, receivedAt: l.ticks}
		l.sendBootstrap(from)
		return l.bootstrapIfComplete()
	case m.disks[l.cfg.Voter] == l.cfg.Disk.content.Number:
		return l.bootstrap(m.disks, m.term)
	case !l.isExcluded:
		l.isExcluded = true
		l.cfg.Logger.Error("this voter's log is lost, and the other voters have one: "+
			"it does not participate until it is replaced", "voter", l.cfg.Voter)
	}
	return nil
}

// receiveFromEmptyDisk replies to a voter with an empty disk. If the disk belongs to this log, the voter has not yet
// learned that the log is bootstrapped. Any other disk is remembered as a candidate for replacement.
func (l *Log) receiveFromEmptyDisk(from int, disk uint64) {
	if l.cfg.Disk.content.Disks[from] != disk {
		l.emptyDisks[from] = emptyDisk{number: disk, receivedAt: l.ticks}
	}
	l.sendBootstrap(from)
}

// checkStillMember detects that the other voters continue without this voter's disk.
func (l *Log) checkStillMember(m *bootstrapMessage) {
	if l.node == nil || l.isExcluded || m.term <= l.node.BasicStatus().Term {
		return
	}
	number, ok := m.disks[l.cfg.Voter]
	if ok && number == l.cfg.Disk.content.Number {
		return
	}
	l.isExcluded = true
	l.cfg.Logger.Error("the voters go on without this one, whose log is of before: "+
		"it does not participate until it has an empty disk and is replaced", "voter", l.cfg.Voter)
}

// bootstrapIfComplete bootstraps the log once all other voters have reported empty disks.
func (l *Log) bootstrapIfComplete() error {
	disks := map[int]uint64{}
	for _, voter := range l.cfg.Voters {
		if voter == l.cfg.Voter {
			continue
		}
		disk, ok := l.emptyDisks[voter]
		if !ok {
			return nil
		}
		disks[voter] = disk.number
	}
	return l.bootstrap(disks, 0)
}

// bootstrap starts the log with the given disks. A term above 0 is the term of a log that already exists: this disk
// must not vote in that term.
func (l *Log) bootstrap(disks map[int]uint64, term uint64) error {
	if l.node != nil || l.failure != nil {
		return nil
	}
	disks = maps.Clone(disks)
	disks[l.cfg.Voter] = l.cfg.Disk.content.Number
	clear(l.emptyDisks) // from now on it has candidates for replacement
	if err := l.cfg.Disk.bootstrap(disks, l.confState, term, raftID(l.cfg.Voter)); err != nil {
		return l.fail(err)
	}
	l.cfg.Logger.Info("replicated policy log bootstrapped", "voters", len(l.cfg.Voters))
	return l.start()
}
