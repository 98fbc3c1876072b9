package rig

import (
	"fmt"
	"regexp"
	"strings"
)

// maxLogLines is the maximum number of lines kept of a gateway's log. When it is reached, the older half is dropped.
const maxLogLines = 4096

// servingLine matches the log line of a listener that has started to serve.
var servingLine = regexp.MustCompile(`msg=serving.* listener=(\S+) address=(\S+)`)

// Addr returns the address of the process's listener of a name, or "" if the listener does not serve yet.
func (d *Door) Addr(listener string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[listener]
}

// Log returns the latest log lines of all processes of the gateway.
func (d *Door) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.log, "\n")
}

// Says returns nil if the log contains a text, and an error otherwise.
func (d *Door) Says(what string) error {
	if !strings.Contains(d.Log(), what) {
		return fmt.Errorf("the log of %s does not contain %q", d.Name, what)
	}
	return nil
}

// addLogLine adds a line to the log and extracts the address if the line reports a serving listener.
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

// setAddress records the address of a listener. If it is the cluster listener, setAddress makes it the target of the
// lines from the other gateways. The caller must hold mu.
func (d *Door) setAddress(listener, address string) {
	d.addresses[listener] = address
	if listener != clusterListener || d.isDuplicate {
		return
	}
	for key, line := range d.rig.lines {
		if key.to == d.index {
			line.setTarget(address)
		}
	}
}
