package hosted

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// startWithPolicy runs the only gateway of a fleet, whose policy is the fleet's, and waits until it decides by it.
func startWithPolicy(t *testing.T) *gateway {
	t.Helper()
	w := start(t, 0)
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("sixteen bytes, or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	fleet := fmt.Sprintf("[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = %q\nstate_dir = %q\n"+
		"[[fleet.door]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\n[fleet.policy]\n", key, t.TempDir())
	d := w.run(w.text(1, 0, "[node]\n", "[node]\nname = \"n1\"\n") + fleet)
	d.waitForPolicy(t, 1)
	return d
}

// waitForPolicy waits until the gateway goes by a version of the policy: a proposal's caller is told that it is taken
// before all gateways do.
func (d *gateway) waitForPolicy(t *testing.T, version uint64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); d.policy.replica.View().Version.Number < version; {
		if time.Now().After(end) {
			t.Fatalf("the gateway does not go by version %d", version)
		}
		time.Sleep(time.Millisecond)
	}
	for _, p := range d.policy.proxies() { // what was posted to the loops before has been carried out
		done := make(chan struct{})
		p.Post(func() { close(done) })
		<-done
	}
}

// businessRate is the rate of the plan "business" by which the gateway decides.
func (d *gateway) businessRate() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		return p.proxy.Rules().Settings.Plans[1].Rate
	}
	return 0
}

// manyAccounts are the tables of accounts that make a policy slow to read.
func manyAccounts() string {
	const accounts = 2000
	var text strings.Builder
	for i := range accounts {
		fmt.Fprintf(&text, "[[account]]\nname = \"more-%d\"\nplan = \"open\"\ncustomer = \"%016x\"\n", i, 1000+i)
	}
	return text.String()
}

// A file that is read again while a version takes hold must not bring the version before back.
func TestReloadWhilePolicyTakesHold(t *testing.T) {
	d := startWithPolicy(t)
	d.mu.Lock()
	own := d.cfg
	d.mu.Unlock()
	document, err := policyOf(own.text)
	if err != nil {
		t.Fatal(err)
	}
	for rate := 21; rate <= 40; rate++ {
		next := strings.Replace(string(document), "rate = 20.0\n", fmt.Sprintf("rate = %d.0\n", rate), 1)
		next += manyAccounts()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var wg sync.WaitGroup
		for i := range 4 { // one of them is likely to begin before the version takes hold and to end after it
			wg.Go(func() {
				for range i {
					time.Sleep(20 * time.Millisecond)
				}
				cfg, err := Parse(own.file, own.text)
				if err == nil {
					err = d.Reload(cfg)
				}
				if err != nil {
					t.Errorf("the file is read again: %v", err)
				}
			})
		}
		request := proposalRequest{id: fmt.Sprint("p", rate), document: []byte(next)}
		result, err := d.policy.propose(ctx, request)
		wg.Wait()
		cancel()
		if err != nil || !result.Committed {
			t.Fatalf("version with a rate of %d: %+v, %v", rate, result, err)
		}
		d.waitForPolicy(t, result.Version)
		if got := d.businessRate(); got != float64(rate) {
			t.Fatalf("decisions go by a rate of %v once the version with a rate of %d is taken", got, rate)
		}
	}
}

// Operators may ask for the policy and the recovery while a file is read again.
func TestOperatorsAskDuringReload(t *testing.T) {
	d := startWithPolicy(t)
	d.mu.Lock()
	own := d.cfg
	d.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 20 {
			cfg, err := Parse(own.file, own.text)
			if err == nil {
				err = d.Reload(cfg)
			}
			if err != nil {
				t.Error(err)
			}
		}
	})
	for range 20 {
		if got := d.policy.status(t.Context()).Name; got != "n1" {
			t.Errorf("the gateway's name is %q", got)
		}
		if d.recovery != nil {
			d.recovery.view()
		}
	}
	wg.Wait()
}

// A gateway of a fleet is known by its own name, also where it has pools, each with a name of its own: what the check
// of a file lets pass must start.
func TestFleetWithPoolsStarts(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("sixteen bytes, or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	fleet := fmt.Sprintf("[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = %q\nstate_dir = %q\n"+
		"[[fleet.door]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\n[fleet.policy]\n", key, t.TempDir())
	w := startPools(t, "one", fleet, "one", "two", "[node]\n", "[node]\nname = \"n1\"\n")
	if got := w.gateway.policy.status(t.Context()).Name; got != "n1" {
		t.Errorf("the gateway's name is %q", got)
	}
}
