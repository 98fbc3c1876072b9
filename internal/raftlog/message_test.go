package raftlog

import (
	"testing"
)

// FuzzPolicyLogMessages hands any bytes to a voter as a message.
func FuzzPolicyLogMessages(f *testing.F) {
	f.Add([]byte("B\x01\x00"))
	f.Add([]byte("R\x08\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newCluster(t, 3)
		for range 10 {
			c.tick()
		}
		_ = c.voters[0].log.Step(1, b) // whatever it is, it does no harm
		c.voters[0].processReady()
	})
}
