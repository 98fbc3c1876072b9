//go:build powertest

package main

import (
	"os"
	"time"

	"gapgap/internal/vfs"
)

// stateDisk records what is done to the state directory where the rig asks for that, so that it can make of it what a power cut leaves.
func stateDisk(dir string) (vfs.FS, error) {
	record := os.Getenv("GAPGAP_POWER_RECORD")
	if record == "" || dir == "" {
		return vfs.OS{}, nil
	}
	return vfs.NewRecorder(dir, record, os.Getenv("GAPGAP_POWER_FAULT"))
}

// clockAhead is by how much the clock is wrong, as the rig says.
func clockAhead() time.Duration {
	d, _ := time.ParseDuration(os.Getenv("GAPGAP_POWER_CLOCK"))
	return d
}
