//go:build powertest

package main

import (
	"os"
	"time"

	"gapgap/internal/vfs"
)

// Environment variables with which tests record the disk, inject disk faults and shift the clock.
const (
	recordVariable = "GAPGAP_POWER_RECORD"
	faultVariable  = "GAPGAP_POWER_FAULT"
	clockVariable  = "GAPGAP_POWER_CLOCK"
)

// stateDisk returns a file system that records all changes to the state directory if recordVariable is set. From the
// record a test derives the states that a power loss may leave.
func stateDisk(dir string) (vfs.FS, error) {
	record := os.Getenv(recordVariable)
	if record == "" || dir == "" {
		return vfs.OS{}, nil
	}
	return vfs.NewRecorder(dir, record, os.Getenv(faultVariable))
}

// clockAhead returns the offset of the service's clock from the system clock, as set by clockVariable.
func clockAhead() time.Duration {
	ahead, _ := time.ParseDuration(os.Getenv(clockVariable)) // an unset variable gives 0
	return ahead
}
