package deployment

import (
	"net"
	"testing"

	"gapgap/internal/fake/flagserver"
)

// TestStartAndClose verifies that all configured fakes accept connections until Close, and no longer afterwards.
func TestStartAndClose(t *testing.T) {
	deployment, err := Start(Config{FlagServers: []flagserver.Config{{}, {}}, HasCounter: true})
	if err != nil {
		t.Fatal(err)
	}
	addresses := []string{deployment.DiscoveryAddress(), deployment.CounterAddress()}
	for index, name := range []string{"s-0", "s-1"} {
		endpoint := deployment.Endpoints[index]
		if endpoint.Name != name || endpoint.Address != deployment.FlagServers[index].Addr() {
			t.Errorf("unexpected endpoint %d: %+v", index, endpoint)
		}
		addresses = append(addresses, endpoint.Address)
	}
	for _, address := range addresses {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	deployment.Close()
	for _, address := range addresses {
		if conn, err := net.Dial("tcp", address); err == nil {
			t.Errorf("%s still accepts connections after Close", address)
			_ = conn.Close()
		}
	}
}

// TestStartWithoutCounter verifies that a deployment without a counter returns no counter address.
func TestStartWithoutCounter(t *testing.T) {
	deployment, err := Start(Config{FlagServers: []flagserver.Config{{}}})
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	if address := deployment.CounterAddress(); address != "" {
		t.Errorf("got the counter address %q, want none", address)
	}
}
