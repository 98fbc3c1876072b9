package handover

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"gapgap/internal/fake/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runOldProcess runs a function as the old process, for one new process.
func runOldProcess(t *testing.T, dir string, f func(*net.UnixConn)) {
	t.Helper()
	ln, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := ln.AcceptUnix()
		if err != nil {
			return
		}
		f(c)
		_ = c.Close()
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
}

// TestHandOver verifies that the new process receives the state, the listening socket with its queue, and a connection
// with its unread bytes, also by a directory whose path is too long for a Unix socket.
func TestHandOver(t *testing.T) {
	for name, dir := range map[string]string{"short": t.TempDir(), "long path": filepath.Join(t.TempDir(),
		strings.Repeat("d", 150))} {
		t.Run(name, func(t *testing.T) {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			state := bytes.Repeat([]byte("state"), 50000) // more than one packet holds
			socket := peer.Listen(t)
			client, err := net.Dial("tcp", socket.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			mine, err := socket.Accept()
			if err != nil {
				t.Fatal(err)
			}
			runOldProcess(t, dir, func(c *net.UnixConn) {
				l, err := Hello(c)
				if err != nil {
					t.Error(err)
					return
				}
				if err := l.Offer(state, socket.(syscall.Conn)); err != nil {
					t.Error(err)
					return
				}
				if err := l.Hand(mine.(syscall.Conn), []byte("half a comm")); err != nil {
					t.Error(err)
				}
				if err := l.Hand(mine.(syscall.Conn), make([]byte, MaxUnreadBytes+1)); err == nil {
					t.Error("more than MaxUnreadBytes are handed over")
				}
				_ = mine.Close()
				l.Ended()
			})
			taken, err := Take(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = taken.Listener.Close() }()
			defer func() { _ = taken.Link.Close() }()
			if !bytes.Equal(taken.State, state) {
				t.Errorf("the state has %d bytes, %d were sent", len(taken.State), len(state))
			}
			if err := taken.Link.Confirm(); err != nil {
				t.Fatal(err)
			}
			nc, unread, err := taken.Link.Next()
			if err != nil || string(unread) != "half a comm" {
				t.Fatalf("%q, %v", unread, err)
			}
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(client, "and")
			b := make([]byte, 3)
			if _, err := io.ReadFull(nc, b); err != nil || string(b) != "and" {
				t.Errorf("%q, %v", b, err)
			}
			_ = socket.Close() // the other process's socket has the same queue
			again, err := net.Dial("tcp", socket.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = again.Close() }()
			got, err := taken.Listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = got.Close()
		})
	}
}

// TestTakeFromOneThatErrs verifies that Take returns an error if there is no old process, if that ends or refuses, and
// if it sends anything else than a handover. The new process can then start by itself.
func TestTakeFromOneThatErrs(t *testing.T) {
	if _, err := Take(t.TempDir()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no old process: %v", err)
	}
	dead := t.TempDir()
	ln, err := Listen(dead)
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	if _, err := Take(dead); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("an old process that has ended: %v", err)
	}
	sum := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 3), crc32.ChecksumIEEE([]byte("abc")))
	for name, packets := range map[string][]string{
		"ends":           {},
		"refuses":        {"Rbusy"},
		"no socket":      {"Sabc", "L" + string(sum)},
		"out of turn":    {"K"},
		"a strange kind": {"?"},
		"a short end":    {"Sabc", "L12"},
		"a wrong packet": {strings.Repeat("S", maxPacketBytes+1)},
		"more than fits": append(make([]string, 0), many("S"+strings.Repeat("x", chunkBytes),
			maxStateBytes/chunkBytes+1)...),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			runOldProcess(t, dir, func(c *net.UnixConn) {
				_, _ = (&Link{conn: c}).receive(stepTimeout)
				for _, p := range packets {
					if _, err := c.Write([]byte(p)); err != nil {
						return
					}
				}
			})
			taken, err := Take(dir)
			if err == nil {
				_ = taken.Listener.Close()
				_ = taken.Link.Close()
				t.Fatal("Take returned no error")
			}
			if name == "refuses" && (!errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "busy")) {
				t.Error(err)
			}
		})
	}
	t.Run("a wrong checksum", func(t *testing.T) {
		dir := t.TempDir()
		socket := peer.Listen(t)
		runOldProcess(t, dir, func(c *net.UnixConn) {
			l := &Link{conn: c}
			_, _ = l.receive(stepTimeout)
			_ = l.send(kindState, []byte("abd"))
			_ = l.sendFile(kindListen, sum, socket.(syscall.Conn))
			l.Ended()
		})
		if _, err := Take(dir); err == nil || !strings.Contains(err.Error(), "checksum") {
			t.Error(err)
		}
	})
}

// many returns n copies of a string.
func many(s string, n int) (all []string) {
	for range n {
		all = append(all, s)
	}
	return all
}

// TestHelloOfOthers verifies that the old process hands nothing to a process that has another version, sends a
// malformed greeting, or does not confirm.
func TestHelloOfOthers(t *testing.T) {
	for _, first := range []string{fmt.Sprintf(`H{"version":%d}`, Version+1), "H{", "K", "", "Hnull"} {
		t.Run(first, func(t *testing.T) {
			dir := t.TempDir()
			runOldProcess(t, dir, func(c *net.UnixConn) {
				if _, err := Hello(c); err == nil {
					t.Error("the greeting was accepted")
				}
			})
			c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: filepath.Join(dir, socketName),
				Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if first != "" {
				_, _ = c.Write([]byte(first))
			} else {
				_ = c.Close()
			}
			_, _ = io.Copy(io.Discard, c)
		})
	}
	dir := t.TempDir()
	socket := peer.Listen(t)
	runOldProcess(t, dir, func(c *net.UnixConn) {
		l, err := Hello(c)
		if err != nil {
			t.Error(err)
			return
		}
		if err := l.Offer([]byte("state"), socket.(syscall.Conn)); err == nil {
			t.Error("Offer returned no error without a confirmation")
		}
	})
	taken, err := Take(dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = taken.Listener.Close()
	_ = taken.Link.Close()
}

// FuzzPackets verifies that packets of any content give an error when they bring no listening socket.
func FuzzPackets(f *testing.F) {
	f.Add([]byte("Sabc"), []byte("L12345678"))
	f.Add([]byte("Rno"), []byte(""))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_SEQPACKET, 0)
		if err != nil {
			t.Skip(err)
		}
		var ends [2]*net.UnixConn
		for i, fd := range fds {
			file := os.NewFile(uintptr(fd), "end")
			nc, err := net.FileConn(file)
			_ = file.Close()
			if err != nil {
				t.Fatal(err)
			}
			ends[i] = nc.(*net.UnixConn)
			defer func() { _ = nc.Close() }()
		}
		for _, b := range [][]byte{one, two} {
			if len(b) > 0 && len(b) < maxPacketBytes {
				_, _ = ends[1].Write(b)
			}
		}
		_ = ends[1].CloseWrite()
		if taken, err := take(&Link{conn: ends[0]}); err == nil {
			t.Errorf("no error without a listening socket: %q", taken.State)
		}
	})
}

// TestOldEndsAtEachStep verifies that the new process gets an error from Take when the old one ends before the
// listening socket is sent, and from Link.Next when it ends after that.
func TestOldEndsAtEachStep(t *testing.T) {
	socket := peer.Listen(t)
	for steps, name := range []string{"after the hello", "in the state", "before the socket", "after the socket"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			runOldProcess(t, dir, func(c *net.UnixConn) {
				l := &Link{conn: c}
				if got, err := l.receive(stepTimeout); err != nil || got.kind != kindHello {
					t.Error(got.kind, err)
				}
				if steps > 0 {
					_ = l.send(kindState, []byte("ab"))
				}
				if steps > 1 {
					_ = l.send(kindState, []byte("c"))
				}
				if steps > 2 {
					sum := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 3),
						crc32.ChecksumIEEE([]byte("abc")))
					_ = l.sendFile(kindListen, sum, socket.(syscall.Conn))
				}
			})
			taken, err := Take(dir)
			if steps < 3 {
				if err == nil {
					t.Fatal("Take returned no error for a process that has ended")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = taken.Listener.Close() }()
			defer func() { _ = taken.Link.Close() }()
			_ = taken.Link.Confirm() // it may fail; the new process has the listening socket all the same
			if _, _, err := taken.Link.Next(); err == nil {
				t.Error("received a connection from a process that has ended")
			}
		})
	}
}

// TestUpdatesOfTheState verifies that changes of the state reach the new process between the connections, in order, and
// that a process that does not know them still gets its connections.
func TestUpdatesOfTheState(t *testing.T) {
	for name, knowsUpdates := range map[string]bool{"this program": true, "an older one": false} {
		t.Run(name, func(t *testing.T) {
			dir, socket := t.TempDir(), peer.Listen(t)
			runOldProcess(t, dir, func(c *net.UnixConn) {
				l, err := Hello(c)
				if err == nil {
					err = l.Offer(nil, socket.(syscall.Conn))
				}
				if err == nil {
					err = l.SendUpdate([]byte("first"))
				}
				if err == nil {
					err = l.SendUpdate(make([]byte, chunkBytes))
				}
				if err == nil {
					err = l.Hand(socket.(syscall.Conn), []byte("unread"))
				}
				if err != nil {
					t.Error(err)
				}
				if err := l.SendUpdate(make([]byte, chunkBytes+1)); err == nil {
					t.Error("a change that is too long is sent")
				}
				l.Ended()
			})
			taken, err := Take(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = taken.Listener.Close() }()
			defer func() { _ = taken.Link.Close() }()
			var updates []string
			if knowsUpdates {
				taken.Link.OnUpdate = func(change []byte) { updates = append(updates, string(change)) }
			}
			if err := taken.Link.Confirm(); err != nil {
				t.Fatal(err)
			}
			conn, unread, err := taken.Link.Next()
			if err != nil || string(unread) != "unread" {
				t.Fatalf("%q, %v", unread, err)
			}
			_ = conn.Close()
			want := []string{"first", string(make([]byte, chunkBytes))}
			if knowsUpdates && !slices.Equal(updates, want) {
				t.Errorf("%d updates: %.20q", len(updates), updates)
			}
		})
	}
}
