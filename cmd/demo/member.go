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

// member is one gateway of a fleet, which may be stopped and started again.
type member struct {
	name string
	// peerAddress is where it talks to its peers, by UDP.
	peerAddress  string
	checkAddress string
	configFile   string
	stateDir     string

	// cancel ends the running service, which closes stopped when it has ended. Both are nil before the first start.
	cancel  context.CancelFunc
	stopped chan struct{}
}

// newMembers chooses names, addresses and files in a folder for the gateways of a fleet. It starts nothing.
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

// controlSocket is where operators reach the gateway.
func (m *member) controlSocket() string { return filepath.Join(m.stateDir, "ctl") }

// writeFiles creates the state folder and the configuration file. peerList is the list of all gateways of the fleet, as
// peerList returns it.
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

// peerList is the part of a configuration file that lists the gateways of a fleet.
func peerList(members []*member) string {
	var list strings.Builder
	for _, m := range members {
		fmt.Fprintf(&list, "[[fleet.door]]\nname = %q\naddress = %q\n", m.name, m.peerAddress)
	}
	return list.String()
}

// start starts the gateway, also again after stop.
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

// stop has the gateway leave the fleet and waits for it. It does nothing to one that is not running.
func (m *member) stop() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	<-m.stopped
}

// unusedUDPAddress is an address on loopback where nothing receives datagrams now.
func unusedUDPAddress() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return conn.LocalAddr().String(), conn.Close()
}

// unusedTCPAddress is an address on loopback where nothing listens now.
func unusedTCPAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
