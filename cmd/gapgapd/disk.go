//go:build !powertest

package main

import (
	"time"

	"gapgap/internal/vfs"
)

// stateDisk is the file system for states that must outlive a power loss.
func stateDisk(string) (vfs.FS, error) { return vfs.OS{}, nil }

// clockAhead is by how much the clock is to be wrong: tests of that have a build of their own.
func clockAhead() time.Duration { return 0 }
