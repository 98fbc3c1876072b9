package idempotency

import "time"

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
