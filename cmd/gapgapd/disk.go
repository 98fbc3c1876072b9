//go:build !powertest

package main

import (
	"time"

	"gapgap/internal/vfs"
)

// stateDisk returns the file system for the state that must survive a power loss.
func stateDisk(string) (vfs.FS, error) { return vfs.OS{}, nil }

// clockAhead returns the offset of the service's clock from the system clock. Only tests set it (build tag powertest).
func clockAhead() time.Duration { return 0 }
