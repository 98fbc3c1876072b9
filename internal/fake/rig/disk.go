package rig

import (
	"math/rand/v2"
	"os"
	"os/exec"

	"gapgap/internal/fake/power"
)

// Environment variables that configure the disk and clock of a test build of gapgapd; see disk_powertest.go there.
const (
	// recordVariable holds the path of the record of all changes to the disk.
	recordVariable = "GAPGAP_POWER_RECORD"
	// faultVariable holds the path of the file that [Door.Fault] writes.
	faultVariable = "GAPGAP_POWER_FAULT"
	// clockVariable holds the duration by which the clock is ahead.
	clockVariable = "GAPGAP_POWER_CLOCK"
)

// isNotStateFile reports whether a file in a gateway's directory is unaffected by power cuts and SetDisk.
func isNotStateFile(name string) bool {
	return name == configFileName || name == "door.lock" || name == socketName
}

// recordPath returns the path of the record of the gateway's changes to its disk.
func (d *Door) recordPath() string { return d.Dir + ".record" }

// faultPath returns the path of the file that holds the fault of the gateway's disk.
func (d *Door) faultPath() string { return d.Dir + ".fault" }

// recordDisk saves the image of the gateway's disk and makes the process of a command record its changes.
func (d *Door) recordDisk(command *exec.Cmd) (err error) {
	if d.image, err = power.ReadDir(d.Dir, isNotStateFile); err != nil {
		return err
	}
	command.Env = append(os.Environ(),
		recordVariable+"="+d.recordPath(),
		faultVariable+"="+d.faultPath(),
		clockVariable+"="+d.Ahead.String(),
	)
	return nil
}

// Leave replaces the content of a dead gateway's disk with what a power cut may leave of it: what was synced, and a
// random part of the rest, depending on how. It requires Config.Record.
func (d *Door) Leave(how power.How, rng *rand.Rand) error {
	record, err := os.ReadFile(d.recordPath())
	if err != nil {
		return err
	}
	return d.SetDisk(power.Replay(d.image, record).Cut(how, rng))
}

// Disk returns the image of a dead gateway's disk, for use with SetDisk.
func (d *Door) Disk() (map[string][]byte, error) { return power.ReadDir(d.Dir, isNotStateFile) }

// SetDisk replaces the content of a dead gateway's disk with an image. With nil, the disk is empty.
func (d *Door) SetDisk(image map[string][]byte) error {
	return power.WriteDir(d.Dir, image, isNotStateFile)
}

// Fault sets the fault of the gateway's disk. With "full" or "readonly" each change fails. With "slow 2s" each change
// takes that much longer; the duration is in the format of [time.ParseDuration]. "" ends the fault. Fault requires
// Config.Record. It is unrelated to the type [Fault], which holds the faults of lines.
func (d *Door) Fault(what string) error {
	if what == "" {
		return os.Remove(d.faultPath())
	}
	return os.WriteFile(d.faultPath(), []byte(what), 0o600)
}
