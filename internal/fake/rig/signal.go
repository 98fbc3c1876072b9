package rig

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Indexes of fields of /proc/PID/stat, counted after the command name, and their unit.
const (
	statUserTime   = 11
	statSystemTime = 12
	clockTick      = 10 * time.Millisecond
)

// Kill sends SIGKILL to the process and waits for it to end. It does nothing if none was started.
func (d *Door) Kill() { d.end(syscall.SIGKILL) }

// Term sends SIGTERM to the process and waits for it to end. It does nothing if none was started.
func (d *Door) Term() { d.end(syscall.SIGTERM) }

// Hup makes the process reload its configuration file.
func (d *Door) Hup() { d.signal(syscall.SIGHUP) }

// Stop suspends the process with SIGSTOP.
func (d *Door) Stop() {
	d.beginOutage()
	d.signal(syscall.SIGSTOP)
}

// Cont resumes the process after Stop, with SIGCONT.
func (d *Door) Cont() {
	d.signal(syscall.SIGCONT)
	d.endOutage()
}

// PID returns the ID of the process that was started last.
func (d *Door) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

// CPU returns the CPU time that the process has used so far, or 0 if it is unknown.
func (d *Door) CPU() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	userTicks, userErr := strconv.Atoi(fields[statUserTime])
	systemTicks, systemErr := strconv.Atoi(fields[statSystemTime])
	if userErr != nil || systemErr != nil {
		return 0
	}
	return time.Duration(userTicks+systemTicks) * clockTick
}

// signal sends a signal to the process, if one was started.
func (d *Door) signal(s syscall.Signal) {
	d.mu.Lock()
	command := d.command
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(s) // the process may have ended
	}
}

// end sends a signal to the process and waits until the process has ended and its log was read.
func (d *Door) end(s syscall.Signal) {
	d.beginOutage()
	d.signal(s)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}
