//go:build race

// Package race tells tests whether the race detector is enabled. Long single-goroutine tests skip themselves under it,
// because the race detector cannot find anything in them.
package race

// On reports whether the program was built with the race detector enabled.
const On = true
