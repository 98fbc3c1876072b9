package rig

import (
	"math/rand/v2"
	"os"
	"os/exec"

	"gapgap/internal/fake/power"
)

// Environment variables by which a test build of gapgapd is given its disk and clock; see its disk_powertest.go.
const (
	// recordVariable is the path of the record of all changes of the disk.
	recordVariable = "GAPGAP_POWER_RECORD"
	// faultVariable is the path of the file that [Door.Fault] writes.
	faultVariable = "GAPGAP_POWER_FAULT"
	// clockVariable is the duration by which the clock is ahead.
	clockVariable = "GAPGAP_POWER_CLOCK"
)

// isNotState reports whether a file in a gateway's directory is one that a power cut and a new disk leave alone.
func isNotState(name string) bool {
	return name == configFileName || name == "door.lock" || name == socketName
}

// recordPath returns the path of the record of what the gateway did to its disk.
func (d *Door) recordPath() string { return d.Dir + ".record" }

// faultPath returns the path of the file that says how the gateway's disk fails.
func (d *Door) faultPath() string { return d.Dir + ".fault" }

// recordDisk keeps what the gateway's disk has, and makes a process that is to be started record its changes.
func (d *Door) recordDisk(command *exec.Cmd) (err error) {
	if d.image, err = power.ReadDir(d.Dir, isNotState); err != nil {
		return err
	}
	command.Env = append(os.Environ(),
		recordVariable+"="+d.recordPath(),
		faultVariable+"="+d.faultPath(),
		clockVariable+"="+d.Ahead.String(),
	)
	return nil
}

// Leave replaces the content of a dead gateway's disk by what a power cut may leave of it: what was synced, and of the
// rest what is drawn. It needs Config.Record.
func (d *Door) Leave(how power.How, rng *rand.Rand) error {
	record, err := os.ReadFile(d.recordPath())
	if err != nil {
		return err
	}
	return d.SetDisk(power.Replay(d.image, record).Cut(how, rng))
}

// Disk returns the image of a dead gateway's disk, for SetDisk.
func (d *Door) Disk() (map[string][]byte, error) { return power.ReadDir(d.Dir, isNotState) }

// SetDisk replaces the content of a dead gateway's disk by an image; nil: an empty disk.
func (d *Door) SetDisk(image map[string][]byte) error {
	return power.WriteDir(d.Dir, image, isNotState)
}

// Fault sets how the gateway's disk fails from now on: with "full" or "readonly" each change fails, with "slow 2s" each
// takes that much longer (a text of [time.ParseDuration]); "" ends the fault. It needs Config.Record. Faults of lines
// are of the type [Fault].
func (d *Door) Fault(what string) error {
	if what == "" {
		return os.Remove(d.faultPath())
	}
	return os.WriteFile(d.faultPath(), []byte(what), 0o600)
}
