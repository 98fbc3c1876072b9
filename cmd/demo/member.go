package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"

	"gapgap/internal/service/hosted"
)

// member is one gateway of a fleet. It can be stopped and restarted.
type member struct {
	name string
	// peerAddress is its UDP address for messages between peers.
	peerAddress  string
	checkAddress string
	configFile   string
	stateDir     string

	// cancel stops the running service, which then closes stopped. Both are nil before the first start.
	cancel  context.CancelFunc
	stopped chan struct{}
}

// newMembers assigns names, addresses and files in a directory to the gateways of a fleet. It starts nothing.
func newMembers(dir string, count int) (members []*member, err error) {
	for index := range count {
		name := fmt.Sprint("n", index)
		m := &member{
			name:       name,
			configFile: filepath.Join(dir, name+".toml"),
			stateDir:   filepath.Join(dir, name),
		}
		if m.peerAddress, err = unusedUDPAddress(); err != nil {
			return nil, err
		}
		if m.checkAddress, err = unusedTCPAddress(); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

// controlSocket returns the path of the gateway's control socket.
func (m *member) controlSocket() string { return filepath.Join(m.stateDir, "ctl") }

// writeFiles creates the state directory and the configuration file. peerList is the result of the function peerList
// for all gateways of the fleet.
func (m *member) writeFiles(discoveryAddress, keyFile, peerList string) error {
	if err := os.Mkdir(m.stateDir, 0o700); err != nil {
		return err
	}
	config := gatewayConfig{
		name:             m.name,
		discoveryAddress: discoveryAddress,
		planLines:        yieldWithoutLease,
		resp2Address:     "127.0.0.1:0",
		checkAddress:     m.checkAddress,
	}
	fleetTable := fmt.Sprintf("[fleet]\nlisten = %q\nkey_file = %q\nstate_dir = %q\ncontrol = %q\n",
		m.peerAddress, keyFile, m.stateDir, m.controlSocket())
	return os.WriteFile(m.configFile, []byte(config.text()+fleetTable+peerList), 0o600)
}

// peerList returns the section of a configuration file that lists the gateways of a fleet.
func peerList(members []*member) string {
	var list strings.Builder
	for _, m := range members {
		fmt.Fprintf(&list, "[[fleet.door]]\nname = %q\naddress = %q\n", m.name, m.peerAddress)
	}
	return list.String()
}

// start starts the gateway, or restarts it after stop.
func (m *member) start() error {
	config, err := hosted.Load(m.configFile)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	service, err := hosted.New(config, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	m.cancel = cancel
	m.stopped = stopped
	go func() {
		defer close(stopped)
		service.Serve(ctx)
	}()
	return nil
}

// stop makes the gateway leave the fleet and waits until it has stopped. It does nothing if the gateway was never
// started.
func (m *member) stop() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	<-m.stopped
}

// unusedUDPAddress returns a UDP address on loopback that is not in use.
func unusedUDPAddress() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return conn.LocalAddr().String(), conn.Close()
}

// unusedTCPAddress returns a TCP address on loopback that is not in use.
func unusedTCPAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
