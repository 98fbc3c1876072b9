package extauthz

import (
	"errors"
	"net"
	"time"
)

const (
	// acceptRetryDelay is the pause after Accept has failed, as it does without free file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// overloadWriteTimeout is how long writing an overloadResponse may take.
	overloadWriteTimeout = time.Second
)

// listener accepts connections within the limit that all frontends share.
type listener struct {
	net.Listener
	front *Front
	// overloadResponse is sent on a connection for which there is no room; nil: nothing.
	overloadResponse []byte
}

// Accept implements [net.Listener]. Its only error is net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	f := l.front
	for {
		netConn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			f.log.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !f.env.Conns.HasCapacity() {
			f.shared.Stats.NoCapacity.Add(1)
			l.reject(netConn)
			continue
		}
		return newConn(f, netConn), nil
	}
}

// reject closes a connection for which there is no room. Whether its peer gets the response does not matter.
func (l *listener) reject(netConn net.Conn) {
	_ = netConn.SetWriteDeadline(time.Now().Add(overloadWriteTimeout))
	_, _ = netConn.Write(l.overloadResponse)
	_ = netConn.Close()
}
