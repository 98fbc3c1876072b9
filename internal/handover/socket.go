package handover

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
)

const (
	// socketName is the name of the socket in the directory that both processes have.
	socketName = "gapgap-upgrade.sock"
	// maxPathBytes is the length from which a path is too long for a Unix socket.
	maxPathBytes = 100
	// network is that of the socket.
	network = "unixpacket"
)

// address returns that of a socket in a directory. A path that is too long goes by the directory's descriptor, which
// done closes when the address is no longer needed.
func address(dir, name string) (addr *net.UnixAddr, done func(), err error) {
	path := filepath.Join(dir, name)
	done = func() {}
	if len(path) > maxPathBytes {
		file, err := os.Open(dir)
		if err != nil {
			return nil, nil, err
		}
		path = "/proc/self/fd/" + strconv.Itoa(int(file.Fd())) + "/" + name
		done = func() { closeIgnoring(file) }
	}
	return &net.UnixAddr{Name: path, Net: network}, done, nil
}

// Listen makes the socket in a directory, in the place of one that was there, without a moment in which there is none.
func Listen(dir string) (*net.UnixListener, error) {
	name := socketName + "." + strconv.Itoa(os.Getpid())
	temporary := filepath.Join(dir, name)
	_ = os.Remove(temporary) // what an earlier process of the same number may have left
	addr, done, err := address(dir, name)
	if err != nil {
		return nil, err
	}
	defer done()
	listener, err := net.ListenUnix(network, addr)
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then it may be another process's
	if err := os.Rename(temporary, filepath.Join(dir, socketName)); err != nil {
		closeIgnoring(listener)
		return nil, err
	}
	return listener, nil
}
