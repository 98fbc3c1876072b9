package proxy

// PolicyVersion returns the policy version under which requests are currently decided. It is safe for concurrent use.
func (p *Proxy) PolicyVersion() uint64 { return p.policyVersion.Load() }

// SetPolicyVersion sets the version for requests accepted from now on, then calls done unless it is nil. It is safe for
// concurrent use.
func (p *Proxy) SetPolicyVersion(version uint64, done func()) {
	p.Post(func() {
		p.policyVersion.Store(version)
		if done != nil {
			done()
		}
	})
}
