package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// TestReadConfig verifies that a complete file is read into the configuration, and that Check rejects invalid
// addresses.
func TestReadConfig(t *testing.T) {
	c := config(t, true, 250_000)
	s, tr := c.Settings, c.Transport
	if c.Name != "n1" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.MemoryMB != 192 {
		t.Errorf("%+v", c)
	}
	if len(s.Classes) != 3 || s.Classes[1].Idempotency != balancer.IdempotentByKey ||
		s.Classes[1].DedupWindow != 12*time.Second || len(s.Plans) != 2 ||
		s.Plans[1].Rate != 2.5 || !s.UseCounter || s.DrainGrace != 250*time.Millisecond {
		t.Errorf("settings %+v", s)
	}
	if fmt.Sprint(tr.Classes, tr.Plans, tr.Zones, tr.Kinds) != "[evaluate change once] [open starter] [dc1] [std]" ||
		tr.DialTimeout != 250*time.Millisecond || tr.ConnIdle != 30*time.Second {
		t.Errorf("transport %+v", tr)
	}
	if err := c.Check(); err != nil {
		t.Error(err)
	}
	for _, a := range []*string{&c.Listen, &c.Discovery, &c.Counter} {
		valid := *a
		*a = "nowhere"
		if c.Check() == nil {
			t.Errorf("%s was replaced by an invalid address without an error", valid)
		}
		*a = valid
	}
}

// TestBadConfig verifies that an invalid file is rejected with a one-line error.
func TestBadConfig(t *testing.T) {
	for _, bad := range []string{"", "[]", `{"seed":"x"}`, `{"seed":"1","settings":{"discovery":"carrier"}}`,
		`{"seed":"1","settings":{"peers-total":"many"}}`, `{"seed":"1","limits":{"sockets":"x"}}`} {
		if _, err := ReadConfig(strings.NewReader(bad)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v", bad, err)
		}
	}
}
