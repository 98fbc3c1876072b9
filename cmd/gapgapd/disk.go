//go:build !powertest

package main

import (
	"time"

	"gapgap/internal/vfs"
)

// stateDisk returns the file system for the state that must outlive a power loss.
func stateDisk(string) (vfs.FS, error) { return vfs.OS{}, nil }

// clockAhead returns by how much the clock is ahead of the machine's, which only tests set (build tag powertest).
func clockAhead() time.Duration { return 0 }
