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

// startWithPolicy starts the only gateway of a cluster with a shared policy, and waits until it uses the policy.
func startWithPolicy(t *testing.T) *gateway {
	t.Helper()
	w := startEnv(t, 0)
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("sixteen bytes, or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	fleet := fmt.Sprintf("[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = %q\nstate_dir = %q\n"+
		"[[fleet.door]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\n[fleet.policy]\n", key, t.TempDir())
	d := w.startService(w.configText(1, 0, "[node]\n", "[node]\nname = \"n1\"\n") + fleet)
	d.waitForPolicy(t, 1)
	return d
}

// waitForPolicy waits until the gateway uses a version of the policy: a proposal returns that the version is committed
// before all gateways use it.
func (d *gateway) waitForPolicy(t *testing.T, version uint64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); d.policy.replica.View().Version.Number < version; {
		if time.Now().After(end) {
			t.Fatalf("the gateway does not use version %d", version)
		}
		time.Sleep(time.Millisecond)
	}
	for _, p := range d.policy.proxies() { // the event loops have run all earlier tasks
		done := make(chan struct{})
		p.Post(func() { close(done) })
		<-done
	}
}

// businessRate returns the rate of the plan "business" that the gateway uses.
func (d *gateway) businessRate() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		return p.proxy.Rules().Settings.Plans[1].Rate
	}
	return 0
}

// manyAccounts returns the tables of so many accounts that the policy takes long to parse.
func manyAccounts() string {
	const accounts = 2000
	var text strings.Builder
	for i := range accounts {
		fmt.Fprintf(&text, "[[account]]\nname = \"more-%d\"\nplan = \"open\"\ncustomer = \"%016x\"\n", i, 1000+i)
	}
	return text.String()
}

// TestReloadWhilePolicyTakesHold verifies that a reload of the file while a new policy version is applied does not
// restore the previous version.
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
		for i := range 4 { // one is likely to begin before the version is applied and to end after it
			wg.Go(func() {
				for range i {
					time.Sleep(20 * time.Millisecond)
				}
				cfg, err := Parse(own.file, own.text)
				if err == nil {
					err = d.Reload(cfg)
				}
				if err != nil {
					t.Errorf("reload: %v", err)
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
			t.Fatalf("the rate is %v after the version with a rate of %d was committed", got, rate)
		}
	}
}

// TestOperatorsAskDuringReload verifies that the state of the policy and of the recovery can be queried during a
// reload. Under the race detector it fails if they read fields that a reload writes.
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

// TestFleetWithPoolsStarts verifies that a gateway with pools, each with its own name, starts in a cluster and is known
// there by node.name. It once failed to start because the name of the first pool was used.
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
