package proxy

// PolicyVersion returns the version of the policy by which requests are decided now. Any goroutine may call it.
func (p *Proxy) PolicyVersion() uint64 { return p.policyVersion.Load() }

// SetPolicyVersion sets the version for requests that are taken in from here on, and then calls done unless it is nil.
// Any goroutine may call it.
func (p *Proxy) SetPolicyVersion(version uint64, done func()) {
	p.Post(func() {
		p.policyVersion.Store(version)
		if done != nil {
			done()
		}
	})
}
