package cluster

import (
	"errors"
	"fmt"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// Errors of [Node.Receive].
var (
	// ErrEmptyMessage is returned for a message in which no field is set.
	ErrEmptyMessage = errors.New("empty message")
	// ErrNotVoter is returned for a lease request to a gateway that does not vote.
	ErrNotVoter = errors.New("lease request to a gateway that does not vote")
	// ErrUnknownSender is wrapped by the error for a message from an index that is not in the list.
	ErrUnknownSender = errors.New("sender is not in the list")
)

// Message is a message between two gateways. Exactly one field is set.
type Message struct {
	Heartbeat *membership.Heartbeat `cbor:"1,keyasint,omitempty"`
	Request   *quotalease.Request   `cbor:"2,keyasint,omitempty"`
	Grant     *quotalease.Grant     `cbor:"3,keyasint,omitempty"`
}

// Outgoing is a message to send to a gateway.
type Outgoing struct {
	// To is the receiver's position in the list.
	To      int
	Message Message
	// ReplyToSender requests that the message also be sent to the source address of the message it answers.
	ReplyToSender bool
}

// Receive processes a message from a gateway and returns the answers to it. If the message is invalid, Receive returns
// an error and changes nothing.
func (n *Node) Receive(now time.Duration, from int, message Message) ([]Outgoing, error) {
	if from < 0 || from >= n.config.Gateways {
		return nil, fmt.Errorf("index %d of %d: %w", from, n.config.Gateways, ErrUnknownSender)
	}
	switch {
	case message.Heartbeat != nil:
		return n.receiveHeartbeat(now, from, message.Heartbeat)
	case message.Request != nil:
		return n.receiveRequest(now, from, message.Request)
	case message.Grant != nil:
		return nil, n.receiveGrant(from, message.Grant)
	}
	return nil, ErrEmptyMessage
}

// receiveHeartbeat updates the view of the cluster from a heartbeat.
func (n *Node) receiveHeartbeat(now time.Duration, from int, heartbeat *membership.Heartbeat) ([]Outgoing, error) {
	if err := n.detector.Validate(from, heartbeat); err != nil {
		return nil, err
	}
	if !n.isServing && from != n.config.Index {
		n.heardFrom[from] = true
	}
	outgoing := asMessages(n.detector.Receive(now, from, *heartbeat))
	n.updateView(now)
	return outgoing, nil
}

// receiveRequest answers a lease request. It ignores the request if another process of this gateway's name takes
// precedence, or if the sender has this gateway's index.
func (n *Node) receiveRequest(now time.Duration, from int, request *quotalease.Request) ([]Outgoing, error) {
	if err := quotalease.ValidateSlots(n.config.Gateways, request.Slots); err != nil {
		return nil, err
	}
	if n.voter == nil {
		return nil, ErrNotVoter
	}
	if n.hasDuplicate || from == n.config.Index {
		return nil, nil
	}
	grant, ok := n.voter.HandleRequest(now, from, *request)
	if !ok {
		return nil, nil
	}
	return []Outgoing{{To: from, Message: Message{Grant: &grant}}}, nil
}

// receiveGrant processes a voter's answer to a lease request.
func (n *Node) receiveGrant(from int, grant *quotalease.Grant) error {
	if err := quotalease.ValidateSlots(n.config.Gateways, grant.Slots); err != nil {
		return err
	}
	n.holder.HandleGrant(from, *grant)
	return nil
}

// asMessages wraps outgoing heartbeats in messages.
func asMessages(heartbeats []membership.Outgoing) []Outgoing {
	var outgoing []Outgoing
	for i := range heartbeats {
		outgoing = append(outgoing, Outgoing{
			To:            heartbeats[i].To,
			Message:       Message{Heartbeat: &heartbeats[i].Heartbeat},
			ReplyToSender: heartbeats[i].ReplyToSender,
		})
	}
	return outgoing
}
