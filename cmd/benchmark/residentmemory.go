package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"
)

// residentMB returns a process's resident memory in MiB, or 0 if the system does not provide it.
func residentMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		value, found := strings.CutPrefix(lines.Text(), "VmRSS:")
		if !found {
			continue
		}
		kilobytes := 0.0
		if _, err := fmt.Sscan(value, &kilobytes); err != nil {
			return 0
		}
		return kilobytes / 1024
	}
	return 0
}
