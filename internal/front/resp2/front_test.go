package resp2

import (
	"testing"
	"time"
)

func TestBusyAnswer(t *testing.T) {
	for pause, want := range map[time.Duration]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 250 * time.Millisecond: "-BUSY 250\r\n"} {
		if got := string(busyAnswer(pause)); got != want {
			t.Errorf("%v: %q", pause, got)
		}
	}
}
