//go:build race

// Package race says whether the race detector is built in: long plays on one goroutine tell it nothing, and are left out.
package race

// On says that it is.
const On = true
