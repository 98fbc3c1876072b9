package raftlog

import (
	"testing"
)

// FuzzPolicyLogMessages verifies that a voter survives arbitrary bytes as a message.
func FuzzPolicyLogMessages(f *testing.F) {
	f.Add([]byte("B\x01\x00"))
	f.Add([]byte("R\x08\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newCluster(t, 3)
		for range 10 {
			c.tick()
		}
		_ = c.voters[0].log.Step(1, b) // an error is fine, a panic is not
		c.voters[0].processReady()
	})
}
