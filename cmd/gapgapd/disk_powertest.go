//go:build powertest

package main

import (
	"os"
	"time"

	"gapgap/internal/disk"
)

// stateDisk records what is done to the state directory where the rig asks for that, so that it can make of it what a power cut leaves.
func stateDisk(dir string) (disk.FS, error) {
	record := os.Getenv("GAPGAP_POWER_RECORD")
	if record == "" || dir == "" {
		return disk.OS{}, nil
	}
	return disk.NewRecorder(dir, record, os.Getenv("GAPGAP_POWER_FAULT"))
}

// clockAhead is by how much the clock is wrong, as the rig says.
func clockAhead() time.Duration {
	d, _ := time.ParseDuration(os.Getenv("GAPGAP_POWER_CLOCK"))
	return d
}
