package upstream

// SetMaxConnections bounds the connections from now on. Those beyond it end as they are given up.
func (p *Pool) SetMaxConnections(n int) { p.cfg.MaxConnections = n }

// reserveConnection makes sure that one more connection to an endpoint is allowed, by this pool's bound, the endpoint's and
// that of the process. It closes idle connections of this pool where that makes the difference.
func (p *Pool) reserveConnection(ep *endpointPool) bool {
	if p.connections >= p.cfg.MaxConnections && !p.closeOldest() {
		return false
	}
	if ep.limit != nil && !ep.limit.TryReserve(1) {
		return false // none to this endpoint is idle here, or it would be used
	}
	for p.cfg.Allotment != nil && !p.cfg.Allotment.TryReserve(1) {
		if !p.closeOldest() {
			if ep.limit != nil {
				ep.limit.Release(1)
			}
			return false
		}
	}
	return true
}

// CloseIdle closes up to n idle connections, those that have been idle longest, for other pools that want them; with an
// address only those to that one.
func (p *Pool) CloseIdle(n int64, address string) {
	for ; n > 0; n-- {
		if address != "" {
			p.closeOldestTo(address)
			continue
		}
		if !p.closeOldest() {
			return
		}
	}
}

// closeOldestTo closes the connection to an address that has been idle longest, if there is one.
func (p *Pool) closeOldestTo(address string) {
	for _, ep := range p.endpoints {
		if ep.address == address && len(ep.idle) > 0 {
			oldest := ep.idle[0]
			ep.idle = ep.idle[1:]
			p.close(oldest)
			return
		}
	}
}

// closeOldest closes the connection that has been idle longest, and tells whether there was one.
func (p *Pool) closeOldest() bool {
	var oldest *connection
	for _, ep := range p.endpoints {
		if len(ep.idle) > 0 && (oldest == nil || ep.idle[0].idleAt < oldest.idleAt) {
			oldest = ep.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.endpoint.idle = oldest.endpoint.idle[1:]
	p.close(oldest)
	return true
}
