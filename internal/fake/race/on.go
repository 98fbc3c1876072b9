//go:build race

// Package race tells tests whether the race detector is built in. Long plays on one goroutine leave themselves out
// under it, as it has nothing to find there.
package race

// On reports whether the program was built with the race detector.
const On = true
