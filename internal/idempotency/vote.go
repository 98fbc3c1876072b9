package idempotency

import "time"

// HandleRequest answers a request from the coordinator of a process. The caller sends the response only after the
// returned records and all earlier ones are synced. ok is false if the voter may not vote yet; the caller sends nothing
// then.
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

// reserve grants a key that is not retained or that another owner has released. A request for a key that the owner
// already holds is granted again, as it is a retry.
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

// release releases a key that its owner holds. The release of an unknown key is retained too, so that the owner's
// request for the key is denied if it arrives after the release.
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
