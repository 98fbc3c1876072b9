package resourcelimit

import (
	"testing"
	"time"
)

// fakeConnection is a client connection whose idle time the test sets.
type fakeConnection struct {
	since  time.Duration
	used   bool
	closed bool
}

func (f *fakeConnection) IdleSince() (time.Duration, bool) {
	return f.since, f.used
}

func (f *fakeConnection) CloseWhenIdle() {
	f.closed = true
}

// TestIdleConnectionsAreEvicted verifies that idle connections are evicted for new ones, the longest idle first, and
// that a connection with an open request is not.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	const now = time.Hour
	busy := &fakeConnection{used: true}
	justIdle := &fakeConnection{since: now - fullIdleTimeout/2, used: true}
	long := &fakeConnection{since: now - idleTimeout, used: true}
	longer := &fakeConnection{since: now - 2*idleTimeout, used: true}
	unused := &fakeConnection{since: now - unusedTimeout}
	shortlyIdle := &fakeConnection{since: now - fullIdleTimeout, used: true}
	limit := NewClientLimit(6, func() time.Duration { return now })
	for _, connection := range []*fakeConnection{busy, justIdle, long, longer, unused, shortlyIdle} {
		limit.Add(connection)
	}
	for i, want := range []*fakeConnection{longer, long, unused, shortlyIdle} {
		if !limit.HasCapacity() || !want.closed {
			t.Fatalf("connection %d was not evicted", i)
		}
		limit.Remove(want)
		limit.Remove(want)
		limit.Add(&fakeConnection{since: now})
	}
	if limit.HasCapacity() || busy.closed || justIdle.closed {
		t.Error("a busy or just used connection was evicted")
	}
	if limit.Len() != 6 || len(ConnectionsOf[*fakeConnection](limit)) != 6 {
		t.Errorf("%d connections are counted, want 6", limit.Len())
	}
	limit.Remove(busy)
	if !limit.HasCapacity() {
		t.Error("no capacity after a connection was removed")
	}
}

// newGroupConnection adds a connection and assigns it to a group. It returns false if the first request is rejected.
func newGroupConnection(t *testing.T, limit *ClientLimit, group *Group) (*fakeConnection, bool) {
	t.Helper()
	connection := &fakeConnection{used: true}
	if !limit.HasCapacity() {
		t.Fatalf("no capacity for a new connection: %d of %d", limit.Len(), limit.Max())
	}
	limit.Add(connection)
	if limit.Assign(connection, group) {
		return connection, true
	}
	limit.Remove(connection)
	return connection, false
}

// removeClosed removes the connections whose CloseWhenIdle was called, as after their last response, and returns their
// number.
func removeClosed(limit *ClientLimit, connections []*fakeConnection) int {
	removed := 0
	for _, connection := range connections {
		if connection.closed {
			removed++
			connection.closed = false
			limit.Remove(connection)
		}
	}
	return removed
}

// TestBusyConnectionsBeyondTheGuaranteeAreEvicted verifies the limit when one pool holds all assignable connections and
// keeps them busy: further connections of that pool are rejected at their first request, and each connection of another
// pool within its guarantee is accepted and evicts a borrowed one.
func TestBusyConnectionsBeyondTheGuaranteeAreEvicted(t *testing.T) {
	const now = time.Hour
	limit := NewClientLimit(20, func() time.Duration { return now })
	quiet := NewGroup("quiet", 4)
	loud := NewGroup("loud", 4)
	var loudConnections []*fakeConnection
	for range 18 { // 90 % of the limit
		if connection, ok := newGroupConnection(t, limit, loud); ok {
			loudConnections = append(loudConnections, connection)
		}
	}
	if _, ok := newGroupConnection(t, limit, loud); ok || loud.Held() != 18 || loud.Refused() != 1 {
		t.Fatalf("%d of the loud pool, %d refused", loud.Held(), loud.Refused())
	}
	var quietConnections []*fakeConnection
	for i := range 4 {
		connection, ok := newGroupConnection(t, limit, quiet)
		evicted := removeClosed(limit, loudConnections)
		quietConnections = append(quietConnections, connection)
		if !ok || evicted != 1 {
			t.Fatalf("connection %d of the quiet pool: accepted %v, and %d of the loud pool evicted", i, ok, evicted)
		}
	}
	if _, ok := newGroupConnection(t, limit, quiet); ok {
		t.Error("the quiet pool gets a connection beyond its guarantee")
	}
	for _, connection := range quietConnections {
		connection.since = now - 10*idleTimeout // idle for long, and still guaranteed
	}
	for range 2 {
		limit.Add(&fakeConnection{since: now})
	}
	if limit.HasCapacity() || quietConnections[0].closed {
		t.Error("a connection within the guarantee was evicted")
	}
	if loud.Held() != 14 || quiet.Held() != 4 || loud.Evicted() != 4 {
		t.Errorf("%d loud, %d quiet, %d evicted", loud.Held(), quiet.Held(), loud.Evicted())
	}
	if !limit.Assign(quietConnections[0], loud) {
		t.Error("an accepted connection is rejected when it changes pools")
	}
	for _, connection := range append(quietConnections, loudConnections...) {
		limit.Remove(connection)
	}
	if loud.Held() != 0 || quiet.Held() != 0 || limit.assigned != 0 {
		t.Errorf("%d and %d are still counted", loud.Held(), quiet.Held())
	}
}
