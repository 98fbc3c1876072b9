package policyreplica

import (
	"time"

	"gapgap/internal/policy"
)

// ensurePrepared has a document built that the node lacks, and downloads it first if it is not stored. source is the
// gateway that most likely has it.
func (r *Replica) ensurePrepared(hash policy.Hash, source int) {
	participant := r.node.Participant()
	if r.preparer.prepare(hash, r.version.Hash) {
		participant.DocumentPrepared(hash) // it was built while the process had another identity
		r.node.PollNow()
		return
	}
	if r.preparer.hasFailed(hash) {
		if change, ok := participant.Pending(); ok && change.Hash == hash {
			participant.RejectDocument(hash, "it could not be gone by a moment ago")
		}
		return
	}
	isDownloading := r.download != nil && r.download.hash == hash
	if r.preparer.isBuilding || r.preparer.downloaded[hash] != nil || isDownloading {
		return
	}
	r.download = newDownload(hash, r.sources(source))
}

// handleBuildResult tells the node whether it can switch to a document.
func (r *Replica) handleBuildResult(result buildResult) {
	r.preparer.finish(result, r.config.Now())
	if result.err != nil {
		r.node.Participant().RejectDocument(result.hash, result.err.Error())
	} else {
		r.node.Participant().DocumentPrepared(result.hash)
	}
	r.node.PollNow()
}

// sources returns the gateways that may have a document: the given one, then the voters, then all others.
func (r *Replica) sources(first int) (gateways []int) {
	candidates := append([]int{first}, r.voters...)
	for index := range r.config.Gateways {
		candidates = append(candidates, index)
	}
	isSource := map[int]bool{}
	for _, index := range candidates {
		if index != r.config.Index && index < len(r.config.Gateways) && !isSource[index] {
			isSource[index] = true
			gateways = append(gateways, index)
		}
	}
	return gateways
}

// updateDownload starts, drops or continues the download of a document.
func (r *Replica) updateDownload(now time.Duration) {
	if hash, source, ok := r.node.Participant().MissingDocument(); ok {
		r.ensurePrepared(hash, int(source))
	} else if r.download != nil && !r.isAwaited(r.download.hash) {
		r.download = nil
	}
	if r.download == nil {
		return
	}
	to, requests := r.download.nextRequests(now)
	for i := range requests {
		r.send(to, &message{ChunkRequest: &requests[i]})
	}
}

// isAwaited tells whether a caller waits for a document, or the document is a report of this gateway.
func (r *Replica) isAwaited(hash policy.Hash) bool {
	return r.reports.byHash[hash] != nil || r.awaited.has(hash)
}

// updateHost makes the host decide by the node's version, until the node's deadline.
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

// switchTo makes the host decide by another version. It decides nothing until that holds for all decisions.
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

// dropUnusedDocuments forgets what was built for versions other than the present one and the pending change's.
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

// decideByStoredVersion makes a gateway that has just started decide by the version on its disk where no majority of
// the voters has answered for Config.StoredVersionDelay. It has an effect where operators have set that only.
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
	r.config.Log.Warn("no majority of the voters answers: decisions go by the stored version, as without_quorum says",
		"version", r.storedVersion.Number)
	participant.DecideWithoutQuorum(r.storedVersion)
}

// logDecisionState logs once why nothing is decided, and once that requests are decided again.
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

// reasonNotDeciding tells operators why nothing is decided. It is empty while requests are decided.
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
		return "this door may not go by its version any more"
	}
}
