package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// readyTimeout bounds how long a gateway may take until it serves.
const readyTimeout = 20 * time.Second

// socketName is the name of a gateway's control socket in its directory.
const socketName = "ctl"

// Names of listeners in the log and for [Door.Addr].
const (
	resp2Listener   = "resp2"
	checkListener   = "checks"
	clusterListener = "fleet"
)

// Door is one gapgapd: a gateway, of which one process runs at most. It is safe for concurrent use, except that one
// goroutine at a time may start processes.
type Door struct {
	// Name is the gateway's name.
	Name string
	// Dir is the directory with its file and its state.
	Dir string
	// Socket is the path of its control socket.
	Socket string
	// Ahead is by how much the clock of its next process is ahead, if Config.Record is set; below 0: behind.
	Ahead time.Duration

	rig   *Rig
	index int
	// isTwin marks a second process of a gateway's name, which the lines to that gateway do not reach.
	isTwin bool
	// image is what its disk had when its process was started, if Config.Record is set.
	image map[string][]byte

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended and its log was read; nil: none was started.
	ended chan struct{}
	// addresses are where the process's listeners serve, by name.
	addresses map[string]string
	// log holds the latest lines, over all processes.
	log []string
	// logged is closed at the next line of the log.
	logged chan struct{}
	// outages are the times when the gateway could not be reached.
	outages []outage
}

// newGateway returns a gateway without a process.
func newGateway(r *Rig, index int, name, dir string) *Door {
	return &Door{
		Name:   name,
		Dir:    dir,
		Socket: filepath.Join(dir, socketName),
		rig:    r,
		index:  index,
		logged: make(chan struct{}),
	}
}

// Begin writes the gateway's file and starts its process. It does not wait until it serves.
func (d *Door) Begin() error {
	if err := d.writeConfigFile(); err != nil {
		return err
	}
	command := exec.Command(d.rig.Program, "run", d.configPath())
	if d.rig.Record {
		if err := d.recordDisk(command); err != nil {
			return err
		}
	}
	output, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.beginOutage()
	d.mu.Lock()
	d.command = command
	d.addresses = map[string]string{}
	d.ended = ended
	d.mu.Unlock()
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			d.addLogLine(lines.Text())
		}
		_, _ = io.Copy(io.Discard, output) // a line was too long: the rest must not block the process
		_ = command.Wait()                 // how it ends is for the test to judge, by its log
	}()
	return nil
}

// writeConfigFile writes the gateway's file. That of a twin has its own directory in the place of the gateway's.
func (d *Door) writeConfigFile() error {
	original := d.rig.Doors[d.index]
	text := strings.ReplaceAll(d.rig.File(d.index), original.Dir, d.Dir)
	return os.WriteFile(d.configPath(), []byte(text), 0o600)
}

// Ready waits until all listeners of the process serve. Its error holds the log.
func (d *Door) Ready() error {
	timeout := time.After(readyTimeout)
	for {
		missing, logged, ended, log := d.startState()
		if missing == "" {
			d.endOutage()
			return nil
		}
		select {
		case <-logged:
		case <-ended:
			return fmt.Errorf("%s has ended:\n%s", d.Name, log)
		case <-timeout:
			return fmt.Errorf("%s does not serve %s:\n%s", d.Name, missing, log)
		}
	}
}

// startState returns a listener that does not serve yet, or "", with what to wait on and the log so far.
func (d *Door) startState() (missing string, logged, ended <-chan struct{}, log string) {
	listeners := []string{checkListener, resp2Listener}
	if d.rig.Fleet {
		listeners = append(listeners, clusterListener)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listener := range listeners {
		if d.addresses[listener] == "" {
			missing = listener
		}
	}
	return missing, d.logged, d.ended, strings.Join(d.log, "\n")
}

// Restart starts a process and waits until it serves. The one before must have ended.
func (d *Door) Restart() error {
	if err := d.Begin(); err != nil {
		return err
	}
	return d.Ready()
}

// Twin starts a second process of the gateway's name, from a copy of its disk, and waits until it serves. It has no
// place in Rig.Doors, and its caller ends it.
func (d *Door) Twin() (*Door, error) {
	twin := newGateway(d.rig, d.index, d.Name, d.Dir+"-twin")
	twin.isTwin = true
	err := os.CopyFS(twin.Dir, os.DirFS(d.Dir))
	if err != nil && !errors.Is(err, fs.ErrInvalid) { // the socket can't be copied
		return nil, err
	}
	if err := twin.Begin(); err != nil {
		return nil, err
	}
	return twin, twin.Ready()
}
