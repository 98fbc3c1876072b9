package rig

import (
	"fmt"
	"regexp"
	"strings"
)

// maxLogLines bounds the lines that are kept of a gateway's log; the older half is dropped at once.
const maxLogLines = 4096

// servingLine matches the line that a listener writes when it serves.
var servingLine = regexp.MustCompile(`msg=serving.* listener=(\S+) address=(\S+)`)

// Addr returns where a listener of the process serves, by the listener's name; empty: it does not serve yet.
func (d *Door) Addr(listener string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[listener]
}

// Log returns what the gateway has written, over all its processes.
func (d *Door) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.log, "\n")
}

// Says returns nil if the log contains a text.
func (d *Door) Says(what string) error {
	if !strings.Contains(d.Log(), what) {
		return fmt.Errorf("%s does not say %q", d.Name, what)
	}
	return nil
}

// addLogLine keeps a line of the log, and learns from it which listener serves.
func (d *Door) addLogLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.log) >= maxLogLines {
		d.log = d.log[maxLogLines/2:]
	}
	d.log = append(d.log, line)
	if match := servingLine.FindStringSubmatch(line); match != nil {
		d.setAddress(match[1], match[2])
	}
	close(d.logged)
	d.logged = make(chan struct{})
}

// setAddress notes where a listener serves, and points the lines from the other gateways to the one of the cluster.
// The caller holds mu.
func (d *Door) setAddress(listener, address string) {
	d.addresses[listener] = address
	if listener != clusterListener || d.isTwin {
		return
	}
	for key, line := range d.rig.lines {
		if key.to == d.index {
			line.setTarget(address)
		}
	}
}
