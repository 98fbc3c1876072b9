package extauthz

import (
	"errors"
	"net"
	"time"
)

const (
	// acceptRetryDelay is the pause after Accept has failed, for example for lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// overloadWriteTimeout is how long writing the overloadResponse may take.
	overloadWriteTimeout = time.Second
)

// listener accepts connections within the connection limit that all frontends share.
type listener struct {
	net.Listener
	front *Frontend
	// overloadResponse is sent on connections beyond the limit. If it is nil, nothing is sent.
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

// reject closes a connection beyond the limit. Errors are ignored, as its peer need not get the response.
func (l *listener) reject(netConn net.Conn) {
	_ = netConn.SetWriteDeadline(time.Now().Add(overloadWriteTimeout))
	_, _ = netConn.Write(l.overloadResponse)
	_ = netConn.Close()
}
