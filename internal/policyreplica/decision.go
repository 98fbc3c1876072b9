package policyreplica

import (
	"time"

	"gapgap/internal/policy"
)

// updateHost passes changes of the node's version and decision deadline on to the host.
func (r *Replica) updateHost() {
	participant := r.node.Participant()
	if version := participant.Version(); version != r.version {
		r.switchTo(version)
	}
	if until := participant.DecidesUntil(); until != r.decidesUntil {
		r.decidesUntil = until
		r.config.Host.SetDecisionDeadline(until)
	}
}

// switchTo makes the host decide by another version. The host decides nothing until all decisions use that version.
func (r *Replica) switchTo(version policy.Version) {
	r.config.Host.StopDeciding()
	r.decidesUntil = 0
	if err := r.config.Host.SwitchTo(version.Number, r.preparer.built[version.Hash]); err != nil {
		r.config.Log.Error("prepared policy could not be applied: nothing is decided here",
			"version", version.Number, "error", err)
		r.node.Participant().Leave()
		return
	}
	previous := r.version
	r.version = version
	r.versionWriter.write(version)
	r.dropUnusedDocuments()
	r.config.Log.Info("policy", "version", version.Number, "was", previous.Number, "hash", shortHash(version.Hash))
}

// dropUnusedDocuments releases built documents, except those of the current version and the pending change.
func (r *Replica) dropUnusedDocuments() {
	participant := r.node.Participant()
	change, isPending := participant.Pending()
	for hash := range r.preparer.built {
		if hash == r.version.Hash || isPending && hash == change.Hash {
			continue
		}
		delete(r.preparer.built, hash)
		participant.ForgetDocument(hash)
	}
}

// decideByStoredVersion makes a gateway decide by the version on its disk if no majority of the voters has answered
// within Config.StoredVersionDelay of its start. It has no effect unless operators have set that delay.
func (r *Replica) decideByStoredVersion(now time.Duration) {
	participant := r.node.Participant()
	hasVersion := r.version.Number > 0 || participant.Version().Number > 0
	delay := r.config.StoredVersionDelay
	if delay <= 0 || hasVersion || r.storedVersion.Number == 0 || now-r.startedAt < delay {
		return
	}
	if !r.preparer.prepare(r.storedVersion.Hash, r.version.Hash) {
		return
	}
	r.config.Log.Warn("no majority of the voters answers: requests are decided by the stored version (without_quorum)",
		"version", r.storedVersion.Number)
	participant.DecideWithoutQuorum(r.storedVersion)
}

// logDecisionState logs each change of the reason why nothing is decided, and when requests are decided again.
func (r *Replica) logDecisionState(now time.Duration) {
	reason := r.reasonNotDeciding(now)
	if reason == r.loggedReason {
		return
	}
	r.loggedReason = reason
	if reason == "" {
		r.config.Log.Info("requests are decided again", "version", r.version.Number)
		return
	}
	r.config.Log.Warn("nothing is decided: " + reason)
}

// reasonNotDeciding returns, in words for operators, why nothing is decided; empty while requests are decided.
func (r *Replica) reasonNotDeciding(now time.Duration) string {
	if r.decidesUntil > now {
		return ""
	}
	change, isPending := r.node.Participant().Pending()
	switch {
	case r.version.Number == 0:
		return "this door has not yet learned the fleet's policy"
	case r.node.Participant().IsLocked() && isPending:
		return "the outcome of the change " + change.ID + " is not known here"
	default:
		return "this gateway may no longer decide by its version"
	}
}
