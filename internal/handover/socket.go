package handover

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
)

const (
	// socketName is the file name of the socket in the shared directory.
	socketName = "gapgap-upgrade.sock"
	// maxPathBytes is the longest path that is used as the address of a Unix socket.
	maxPathBytes = 100
	// network is the network name of the socket in package net.
	network = "unixpacket"
)

// address returns the address of a socket in a directory. In place of a path that is too long for a socket it uses one
// by the directory's descriptor. The caller calls done when the address is no longer needed.
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

// Listen listens on the socket in a directory. It replaces an existing socket atomically, so there is one at any time.
func Listen(dir string) (*net.UnixListener, error) {
	name := socketName + "." + strconv.Itoa(os.Getpid())
	temporary := filepath.Join(dir, name)
	_ = os.Remove(temporary) // an earlier process with the same PID may have left it
	addr, done, err := address(dir, name)
	if err != nil {
		return nil, err
	}
	defer done()
	listener, err := net.ListenUnix(network, addr)
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // the path may belong to another process by then
	if err := os.Rename(temporary, filepath.Join(dir, socketName)); err != nil {
		closeIgnoring(listener)
		return nil, err
	}
	return listener, nil
}
