package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"gapgap/internal/policy"
)

// queryTimeout is how long operators' commands wait for the leader's reply on the state of the policy.
const queryTimeout = 2 * time.Second

var errNoPolicy = errors.New("the cluster has no policy yet")

// invalidVersionError is returned for a text that is not a version number.
type invalidVersionError struct {
	text string
}

func (e *invalidVersionError) Error() string {
	return fmt.Sprintf("%q is not a version number", e.text)
}

// unknownVersionError is returned for a version that is too old for the history or never existed.
type unknownVersionError struct {
	version uint64
}

func (e *unknownVersionError) Error() string {
	return fmt.Sprintf("version %d is not among the last %d changes", e.version, policy.MaxOutcomes)
}

// noMajorityError is returned if the leader did not reply.
type noMajorityError struct {
	// consequence says what follows from the error, beginning with a comma. It may be empty.
	consequence string
	err         error
}

func (e *noMajorityError) Error() string {
	return fmt.Sprintf("no majority of the voters answers%s: %v", e.consequence, e.err)
}

func (e *noMajorityError) Unwrap() error { return e.err }

// PolicyStatus is the state of the policy at one gateway and, according to the voters' leader, in the cluster.
type PolicyStatus struct {
	// Name is the gateway that was asked.
	Name string `json:"name"`
	// Version is the version that the gateway uses, and Decides reports whether it may decide requests.
	Version policy.Version `json:"goes_by"`
	Decides bool           `json:"decides"`
	// Current is the voters' version. It is nil, and the fields below are empty, if no majority answers.
	Current *policy.Version `json:"present,omitempty"`
	// Mode is the mode of all gateways.
	Mode string `json:"mode,omitempty"`
	// Leader is the name of the leader.
	Leader string `json:"leader,omitempty"`
	// Pending is the undecided change, or nil if there is none.
	Pending *policy.Change `json:"change,omitempty"`
	// WaitingFor describes what Pending waits for.
	WaitingFor string `json:"waits,omitempty"`
	// Participants has the names of the gateways that may decide requests.
	Participants []string `json:"serving,omitempty"`
}

// PolicyResult is the outcome of a proposal.
type PolicyResult struct {
	// ID is the ID of the change.
	ID string `json:"id"`
	// Known reports whether the change is decided. If not, its outcome can be queried by ID later.
	Known bool `json:"known"`
	// Committed reports whether the change was committed, as Version. If not, Reason says why.
	Committed bool   `json:"taken"`
	Version   uint64 `json:"version,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// WaitingFor describes what an undecided change waits for.
	WaitingFor string `json:"waits,omitempty"`
}

// proposalRequest is an operator's proposal of a change.
type proposalRequest struct {
	id, author, note string
	// base is the version that the change is based on; empty means the current one.
	base string
	// mode is the mode of all gateways from this change on; empty means the current one.
	mode     string
	document []byte
}

// status returns the state of the policy at this gateway and according to the leader.
func (p *policyHost) status(ctx context.Context) *PolicyStatus {
	view := p.replica.View()
	status := &PolicyStatus{
		Name:    p.name,
		Version: view.Version,
		Decides: view.DecidesUntil > p.service.clock.Now(),
	}
	reply, err := p.replica.Query(ctx, policy.Query{})
	if err != nil {
		return status
	}
	status.Current = &reply.Current
	status.Mode = reply.Mode.String()
	status.Leader = p.gatewayName(reply.Leader)
	status.Pending = reply.Pending
	status.WaitingFor = p.withGatewayNames(reply.WaitingFor)
	for _, process := range reply.Participants {
		status.Participants = append(status.Participants, p.gatewayName(process.Gateway))
	}
	return status
}

// propose proposes a change and waits for its outcome. It returns an error if nothing was proposed.
func (p *policyHost) propose(ctx context.Context, request proposalRequest) (*PolicyResult, error) {
	change := &policy.Change{
		ID:         request.id,
		Author:     request.author,
		Note:       request.note,
		Bytes:      int64(len(request.document)),
		ProposedAt: time.Now().UnixMilli(),
		Source:     uint16(slices.Index(p.gateways, p.name)),
	}
	if _, err := p.Build(request.document); err != nil {
		return nil, err
	}
	if err := p.setBaseAndMode(ctx, change, request); err != nil {
		return nil, err
	}
	if err := change.Validate(); err != nil {
		return nil, err
	}
	hash, err := p.replica.StoreDocument(ctx, request.document)
	if err != nil {
		return nil, fmt.Errorf("the policy document could not be stored: %w", err)
	}
	change.Hash = hash
	return p.outcome(ctx, policy.Query{ChangeID: change.ID, Change: change}), nil
}

// setBaseAndMode sets base and mode of a change as requested, or else to the leader's current values.
func (p *policyHost) setBaseAndMode(ctx context.Context, change *policy.Change, request proposalRequest) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := p.replica.Query(ctx, policy.Query{})
	if err != nil {
		return &noMajorityError{consequence: ", so nothing was proposed", err: err}
	}
	change.Base, change.Mode = reply.Current.Number, reply.Mode
	if request.base != "" {
		if change.Base, err = parseVersion(request.base); err != nil {
			return fmt.Errorf("base %w", err)
		}
	}
	if request.mode != "" {
		if change.Mode, err = policy.ParseMode(request.mode); err != nil {
			return err
		}
	}
	return nil
}

// outcome waits for the outcome of a change.
func (p *policyHost) outcome(ctx context.Context, query policy.Query) *PolicyResult {
	result := &PolicyResult{ID: query.ChangeID}
	reply, err := p.replica.Query(ctx, query)
	if err != nil {
		return result
	}
	if reply.Outcome == nil {
		if reply.Pending != nil && reply.Pending.ID == query.ChangeID {
			result.WaitingFor = p.withGatewayNames(reply.WaitingFor)
		}
		return result
	}
	result.Known = true
	result.Committed = reply.Outcome.Committed
	result.Version = reply.Outcome.Version
	result.Reason = p.withGatewayNames(reply.Outcome.Reason)
	return result
}

// document returns the document of a version and its number. An empty text means the current version.
func (p *policyHost) document(ctx context.Context, versionText string) (document []byte, version uint64, err error) {
	reply, err := p.replica.Query(ctx, policy.Query{})
	if err != nil {
		return nil, 0, &noMajorityError{consequence: ", so the current version is not known", err: err}
	}
	found := reply.Current
	if versionText != "" {
		if found, err = p.findVersion(ctx, versionText); err != nil {
			return nil, 0, err
		}
	}
	if found.Number == 0 {
		return nil, 0, errNoPolicy
	}
	document, err = p.replica.Document(ctx, found.Hash)
	return document, found.Number, err
}

// findVersion finds a version in the leader's history.
func (p *policyHost) findVersion(ctx context.Context, versionText string) (policy.Version, error) {
	number, err := parseVersion(versionText)
	if err != nil {
		return policy.Version{}, err
	}
	history, err := p.replica.History(ctx)
	if err != nil {
		return policy.Version{}, err
	}
	var outcomes []policy.Outcome
	if err := json.Unmarshal(history, &outcomes); err != nil {
		return policy.Version{}, err
	}
	for _, outcome := range outcomes {
		if outcome.Committed && outcome.Version == number {
			return policy.Version{Number: number, Hash: outcome.Change.Hash}, nil
		}
	}
	return policy.Version{}, &unknownVersionError{version: number}
}

func parseVersion(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &invalidVersionError{text: text}
	}
	return number, nil
}
