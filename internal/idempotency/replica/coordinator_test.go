package replica

import (
	"testing"
	"time"
)

// TestGatewaysWithoutVoteAreNoQuorum verifies that messages of gateways that are not voters don't count towards the
// quorum.
func TestGatewaysWithoutVoteAreNoQuorum(t *testing.T) {
	c := startCluster(t, clusterConfig{gateways: 5, retention: time.Hour, maxKeys: 100})
	loop := newCoordinatorLoop(c.replicas[0])
	voters := loop.replica.config.Voters
	for from := range c.replicas {
		loop.handleMessage(receivedMessage{from: from, message: &message{Pong: true}})
	}
	if got := loop.countAnswering(loop.now()); got != len(voters) || len(voters) >= len(c.replicas) {
		t.Errorf("%d gateways count as answering, want %d voters among %d gateways", got, len(voters), len(c.replicas))
	}
}
