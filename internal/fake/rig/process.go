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

// readyTimeout is how long a gateway may take until it serves.
const readyTimeout = 20 * time.Second

// socketName is the name of a gateway's control socket in its directory.
const socketName = "ctl"

// Names of listeners in the log and for [Door.Addr].
const (
	resp2Listener   = "resp2"
	checkListener   = "checks"
	clusterListener = "fleet"
)

// Door is a gateway that runs gapgapd, in at most one process at a time. It is safe for concurrent use, except that
// only one goroutine at a time may start processes.
type Door struct {
	// Name is the gateway's name.
	Name string
	// Dir is the directory with the gateway's configuration file and state.
	Dir string
	// Socket is the path of the gateway's control socket.
	Socket string
	// Ahead is how far the clock of the next process is ahead, or behind if negative. It requires Config.Record.
	Ahead time.Duration

	rig   *Rig
	index int
	// isDuplicate marks a duplicate: a second process of the same name, which the lines to that gateway do not reach.
	isDuplicate bool
	// image is the content of the disk when the process was started, if Config.Record is set.
	image map[string][]byte

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended and its log was read. Nil means that none was started.
	ended chan struct{}
	// addresses are the addresses of the process's listeners, by listener name.
	addresses map[string]string
	// log holds the latest log lines of all processes so far.
	log []string
	// logged is closed when the next line is added to log.
	logged chan struct{}
	// outages are the periods in which the gateway was unreachable.
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

// Begin writes the gateway's configuration file and starts a process. It does not wait until the process serves.
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
		_, _ = io.Copy(io.Discard, output) // if a line was too long: the process must not block on the rest
		_ = command.Wait()                 // the test judges the end of the process by its log
	}()
	return nil
}

// writeConfigFile writes the gateway's configuration file. For a duplicate, its own directory replaces the gateway's.
func (d *Door) writeConfigFile() error {
	original := d.rig.Doors[d.index]
	text := strings.ReplaceAll(d.rig.ConfigText(d.index), original.Dir, d.Dir)
	return os.WriteFile(d.configPath(), []byte(text), 0o600)
}

// Ready waits until all listeners of the process serve. Its error contains the log.
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
			return fmt.Errorf("%s: listener %s is not serving:\n%s", d.Name, missing, log)
		}
	}
}

// startState returns a listener that does not serve yet, or "" if all do, the channels to wait on and the log so far.
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

// Restart starts a process and waits until it serves. The previous process must have ended.
func (d *Door) Restart() error {
	if err := d.Begin(); err != nil {
		return err
	}
	return d.Ready()
}

// Twin starts a duplicate: a second process of the gateway's name, with a copy of its disk. It waits until the
// duplicate serves. The duplicate is not in Rig.Doors, and the caller must end it.
func (d *Door) Twin() (*Door, error) {
	duplicate := newGateway(d.rig, d.index, d.Name, d.Dir+"-twin")
	duplicate.isDuplicate = true
	err := os.CopyFS(duplicate.Dir, os.DirFS(d.Dir))
	if err != nil && !errors.Is(err, fs.ErrInvalid) { // the socket can't be copied
		return nil, err
	}
	if err := duplicate.Begin(); err != nil {
		return nil, err
	}
	return duplicate, duplicate.Ready()
}
