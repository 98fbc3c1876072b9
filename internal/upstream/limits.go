package upstream

// SetMaxConnections sets the limit on connections. Connections beyond a lower limit stay open until they are closed for
// another reason.
func (p *Pool) SetMaxConnections(n int) { p.cfg.MaxConnections = n }

// reserveConnection reserves one more connection to an endpoint and reports whether it could. It observes the limits of
// this pool, of the endpoint and of the process, and closes idle connections of this pool if that makes room.
func (p *Pool) reserveConnection(ep *endpointPool) bool {
	if p.connections >= p.cfg.MaxConnections && !p.closeOldest() {
		return false
	}
	if ep.limit != nil && !ep.limit.TryReserve(1) {
		return false // no connection to this endpoint is idle, since acquire would have used it
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

// CloseIdle closes up to n idle connections, least recently used first, because other pools need connections. If
// address is not empty, only connections to that address are closed.
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

// closeOldestTo closes the least recently used idle connection to an address, if there is one.
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

// closeOldest closes the least recently used idle connection and reports whether there was one.
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
