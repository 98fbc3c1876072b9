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

// queryTimeout is how long operators' commands wait for the leader's reply on how things stand.
const queryTimeout = 2 * time.Second

var errNoPolicy = errors.New("the fleet has no policy yet")

// invalidVersionError says that a text is no version number.
type invalidVersionError struct {
	text string
}

func (e *invalidVersionError) Error() string { return fmt.Sprintf("%q is no version", e.text) }

// unknownVersionError says that a version is too old for the history, or never was.
type unknownVersionError struct {
	version uint64
}

func (e *unknownVersionError) Error() string {
	return fmt.Sprintf("version %d is not among the last %d changes", e.version, policy.MaxOutcomes)
}

// noMajorityError says that the leader did not reply.
type noMajorityError struct {
	// consequence is what follows, with its comma; it may be empty.
	consequence string
	err         error
}

func (e *noMajorityError) Error() string {
	return fmt.Sprintf("no majority of the voters answers%s: %v", e.consequence, e.err)
}

func (e *noMajorityError) Unwrap() error { return e.err }

// PolicyStatus is the state of the policy at one gateway and, as the leader of the voters replied, of all.
type PolicyStatus struct {
	// Name is the gateway that was asked.
	Name string `json:"name"`
	// Version is the version that it decides by, and Decides tells whether it may.
	Version policy.Version `json:"goes_by"`
	Decides bool           `json:"decides"`
	// Current is the voters' version; nil: no majority answers, and the fields below are empty.
	Current *policy.Version `json:"present,omitempty"`
	// Mode is that of all gateways.
	Mode string `json:"mode,omitempty"`
	// Leader is the name of the leader.
	Leader string `json:"leader,omitempty"`
	// Pending is the change that is being decided; nil: none.
	Pending *policy.Change `json:"change,omitempty"`
	// WaitingFor tells what Pending waits for.
	WaitingFor string `json:"waits,omitempty"`
	// Participants are the names of the gateways that may decide.
	Participants []string `json:"serving,omitempty"`
}

// PolicyResult is the outcome of a proposal.
type PolicyResult struct {
	// ID is that of the change.
	ID string `json:"id"`
	// Known tells whether the change is decided. If not, it may be asked for by its ID later.
	Known bool `json:"known"`
	// Committed tells whether it was committed, as Version; if not, Reason tells why.
	Committed bool   `json:"taken"`
	Version   uint64 `json:"version,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// WaitingFor tells what an undecided change waits for.
	WaitingFor string `json:"waits,omitempty"`
}

// proposalRequest is a proposal as an operator makes it.
type proposalRequest struct {
	id, author, note string
	// base is the version that the change is made for; empty: the current one.
	base string
	// mode is the mode of all gateways from then on; empty: the current one.
	mode     string
	document []byte
}

// status returns the state of the policy here, and as the leader replies.
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

// propose proposes a change and waits for its outcome. Its errors say why nothing was proposed.
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
		return nil, fmt.Errorf("the policy could not be kept here: %w", err)
	}
	change.Hash = hash
	return p.outcome(ctx, policy.Query{ChangeID: change.ID, Change: change}), nil
}

// setBaseAndMode sets them as requested, or as the leader replies that they are.
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

// document returns the document of a version, and its number. An empty text stands for the current version.
func (p *policyHost) document(ctx context.Context, versionText string) (document []byte, version uint64, err error) {
	reply, err := p.replica.Query(ctx, policy.Query{})
	if err != nil {
		return nil, 0, &noMajorityError{consequence: ", so the present version is not known", err: err}
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

// findVersion returns a version that is in the leader's history.
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
