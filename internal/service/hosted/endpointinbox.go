package hosted

import (
	"fmt"
	"sync"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/proxy"
	"gapgap/internal/sharedhealth"
)

// endpointInboxes hand what each pool learns of endpoints to all pools that have the same ones.
type endpointInboxes struct {
	// mu is held while the fields below, or those of an inbox, are used.
	mu       sync.Mutex
	registry *sharedhealth.Registry
	byKey    map[string]*endpointInbox
	// lastNumber is that of the inbox added last.
	lastNumber int
}

// endpointInbox has the messages that a pool has not yet taken. The pool's event loop takes them, so that messages keep
// their order and no event loop waits for another.
type endpointInbox struct {
	inboxes *endpointInboxes
	// key is unique, also where a pool is replaced by another of its name.
	key     string
	proxy   *proxy.Proxy
	pending []endpointMessage
}

// endpointMessage is an endpoint update, or a health report if that is not nil.
type endpointMessage struct {
	update endpoint.Update
	report *balancer.HealthReport
}

// newEndpointInboxes returns none.
func newEndpointInboxes() endpointInboxes {
	return endpointInboxes{
		registry: sharedhealth.New(),
		byKey:    map[string]*endpointInbox{},
	}
}

// add adds the inbox of a pool.
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

// deliver puts updates into the inboxes of their pools, and wakes their event loops but that of one inbox, which may be
// nil. The caller holds mu.
func (all *endpointInboxes) deliver(updates []sharedhealth.Update, caller *endpointInbox) {
	for _, update := range updates {
		all.put(update.Pool, endpointMessage{update: update.Update}, caller)
	}
}

// put puts a message into an inbox, and wakes its event loop unless the inbox is the caller's. The caller holds mu.
func (all *endpointInboxes) put(key string, message endpointMessage, caller *endpointInbox) {
	inbox := all.byKey[key]
	if inbox == nil {
		return
	}
	inbox.pending = append(inbox.pending, message)
	if inbox != caller && len(inbox.pending) == 1 {
		go inbox.proxy.Post(inbox.takeAll) // posting may wait, and an event loop must not
	}
}

// applyUpdate takes what the pool's own source says of endpoints. Only the pool's event loop may call it.
func (inbox *endpointInbox) applyUpdate(update endpoint.Update) {
	all := inbox.inboxes
	all.mu.Lock()
	all.deliver(all.registry.Apply(inbox.key, update), inbox)
	all.mu.Unlock()
	inbox.takeAll()
}

// shareReport hands what the pool has found out about an endpoint to the other pools that have it. Only the pool's
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

// takeAll hands all messages to the proxy. Only the pool's event loop may call it.
func (inbox *endpointInbox) takeAll() {
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

// remove removes the inbox of a pool whose event loop has ended, or never began.
func (inbox *endpointInbox) remove() {
	all := inbox.inboxes
	all.mu.Lock()
	defer all.mu.Unlock()
	delete(all.byKey, inbox.key)
	all.deliver(all.registry.Remove(inbox.key), nil)
}
