package hosted

import (
	"fmt"
	"sync"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/proxy"
	"gapgap/internal/sharedhealth"
)

// endpointInboxes distributes what a pool learns about an endpoint to all pools that share the endpoint.
type endpointInboxes struct {
	// mu guards the fields below and the fields of all inboxes.
	mu       sync.Mutex
	registry *sharedhealth.Registry
	byKey    map[string]*endpointInbox
	// lastNumber is the number of the inbox added last.
	lastNumber int
}

// endpointInbox queues the messages for a pool until the pool's event loop handles them. This keeps the messages in
// order, and no event loop waits for another.
type endpointInbox struct {
	inboxes *endpointInboxes
	// key is unique, even if a pool is replaced by another one of the same name.
	key     string
	proxy   *proxy.Proxy
	pending []endpointMessage
}

// endpointMessage is a health report if report is not nil, and an endpoint update otherwise.
type endpointMessage struct {
	update endpoint.Update
	report *balancer.HealthReport
}

// newEndpointInboxes returns an empty set of inboxes.
func newEndpointInboxes() endpointInboxes {
	return endpointInboxes{
		registry: sharedhealth.New(),
		byKey:    map[string]*endpointInbox{},
	}
}

// add creates the inbox of a pool.
func (all *endpointInboxes) add(p *proxy.Proxy) *endpointInbox {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.lastNumber++
	inbox := &endpointInbox{
		inboxes: all,
		key:     fmt.Sprint(p.Name, "#", all.lastNumber),
		proxy:   p,
	}
	all.byKey[inbox.key] = inbox
	return inbox
}

// deliver puts updates into the inboxes of their pools and wakes their event loops, except for the event loop of the
// calling inbox, which may be nil. The caller holds mu.
func (all *endpointInboxes) deliver(updates []sharedhealth.Update, caller *endpointInbox) {
	for _, update := range updates {
		all.put(update.Pool, endpointMessage{update: update.Update}, caller)
	}
}

// put puts a message into an inbox and wakes its event loop unless the inbox is the caller's. The caller holds mu.
func (all *endpointInboxes) put(key string, message endpointMessage, caller *endpointInbox) {
	inbox := all.byKey[key]
	if inbox == nil {
		return
	}
	inbox.pending = append(inbox.pending, message)
	if inbox != caller && len(inbox.pending) == 1 {
		go inbox.proxy.Post(inbox.handleAll) // Post may block, and an event loop must not
	}
}

// applyUpdate applies an update from the pool's own endpoint list. Only the pool's event loop may call it.
func (inbox *endpointInbox) applyUpdate(update endpoint.Update) {
	all := inbox.inboxes
	all.mu.Lock()
	all.deliver(all.registry.Apply(inbox.key, update), inbox)
	all.mu.Unlock()
	inbox.handleAll()
}

// shareReport sends the pool's health report on an endpoint to the other pools that share the endpoint. Only the pool's
// event loop may call it.
func (inbox *endpointInbox) shareReport(report balancer.HealthReport) {
	all := inbox.inboxes
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, other := range all.registry.Peers(inbox.key, report.Endpoint) {
		renamed := report
		renamed.Endpoint = other.Name
		all.put(other.Pool, endpointMessage{report: &renamed}, nil)
	}
}

// handleAll passes all queued messages to the proxy. Only the pool's event loop may call it.
func (inbox *endpointInbox) handleAll() {
	inbox.inboxes.mu.Lock()
	messages := inbox.pending
	inbox.pending = nil
	inbox.inboxes.mu.Unlock()
	for _, message := range messages {
		if message.report != nil {
			inbox.proxy.HandleHealthReport(*message.report)
		} else {
			inbox.proxy.HandleEndpointUpdate(message.update)
		}
	}
}

// remove removes the inbox of a pool whose event loop has ended or was never started.
func (inbox *endpointInbox) remove() {
	all := inbox.inboxes
	all.mu.Lock()
	defer all.mu.Unlock()
	delete(all.byKey, inbox.key)
	all.deliver(all.registry.Remove(inbox.key), nil)
}
