package upstream

import (
	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
)

// pingCommand is the encoded command of a health check.
const pingCommand = "*1\r\n$4\r\nPING\r\n"

// healthCheckTimeouts is the time limit of a health check, in dial timeouts.
const healthCheckTimeouts = 2

// healthCheck is one health check of an endpoint.
type healthCheck struct {
	endpoint string
	timeout  *eventloop.Timer
}

// HealthCheck checks whether an endpoint accepts a new connection and answers on it. It closes the idle connections to
// the endpoint first.
func (p *Pool) HealthCheck(name string) {
	check := &healthCheck{endpoint: name}
	ep := p.endpoints[name]
	if ep == nil || !ep.usable {
		p.finishHealthCheck(check, balancer.NotSent)
		return
	}
	p.closeIdle(ep, p.loop.Now())
	c := p.acquire(ep)
	if c == nil {
		p.finishHealthCheck(check, balancer.NotSent)
		return
	}
	c.healthCheck = check
	deadline := p.loop.Now() + healthCheckTimeouts*p.cfg.DialTimeout
	check.timeout = p.loop.At(deadline, func() { p.drop(c, balancer.Timeout) })
}

// finishHealthCheck reports the result of a health check.
func (p *Pool) finishHealthCheck(check *healthCheck, status balancer.Status) {
	check.timeout.Stop()
	p.onHealthCheck(balancer.HealthCheckResult{Endpoint: check.endpoint, Status: status})
}
