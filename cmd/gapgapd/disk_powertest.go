//go:build powertest

package main

import (
	"os"
	"time"

	"gapgap/internal/vfs"
)

// Environment variables by which tests set the disk and the clock.
const (
	recordVariable = "GAPGAP_POWER_RECORD"
	faultVariable  = "GAPGAP_POWER_FAULT"
	clockVariable  = "GAPGAP_POWER_CLOCK"
)

// stateDisk returns a file system that records the changes to the state directory, where a test asks for that: from
// the record the test derives the states that a power loss may leave.
func stateDisk(dir string) (vfs.FS, error) {
	record := os.Getenv(recordVariable)
	if record == "" || dir == "" {
		return vfs.OS{}, nil
	}
	return vfs.NewRecorder(dir, record, os.Getenv(faultVariable))
}

// clockAhead returns by how much the clock is ahead of the machine's, as a test sets it.
func clockAhead() time.Duration {
	ahead, _ := time.ParseDuration(os.Getenv(clockVariable)) // not set: not wrong
	return ahead
}
