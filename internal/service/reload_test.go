package service

import (
	"fmt"
	"strings"
	"testing"

	"gapgap/internal/fake/peer"
)

const completeConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:1",` +
	`"known":{"index":1,"snapshot":true,"endpoints":[]},"settings":` +
	settingsJSON + `}`

func completeConfigText(counter bool, dialUS int) string {
	return fmt.Sprintf(completeConfig, dialUS, counter)
}

// TestBrokenSettingsAreNotTaken verifies that a file with any error is rejected as a whole, with an error that names
// the field.
func TestBrokenSettingsAreNotTaken(t *testing.T) {
	good := completeConfigText(false, 5_000_000)
	inUse, err := ReadConfig(strings.NewReader(good))
	if err != nil {
		t.Fatal(err)
	}
	swap := func(a, b string) string {
		if !strings.Contains(good, a) {
			t.Fatalf("%q is not in the file", a)
		}
		return strings.Replace(good, a, b, 1)
	}
	for text, want := range map[string]string{
		"":                                     "empty",
		" \n":                                  "empty",
		good[:len(good)/2]:                     "not the expected JSON",
		good[:len(good)-1]:                     "not the expected JSON",
		good + good:                            "something follows it",
		"[]":                                   "not the expected JSON",
		swap(`"seed":"8c1f30d27a5be964",`, ``): "seed",
		swap(`"discovery":"127.0.0.1:1",`, ``): "discovery",
		swap(`"areas":["dc1"],`, ``):           "settings.areas is missing",
		swap(`"max-attempts":3,`, ``):          "max-attempts",
		swap(`"max-attempts":3`, `"max-attempts":0`):             "settings.limits.max-attempts is not a whole number above 0",
		swap(`"max-attempts":3`, `"max-attempts":-1`):            "max-attempts",
		swap(`"max-attempts":3`, `"max-attempts":1.5`):           "max-attempts",
		swap(`"max-attempts":3`, `"max-attempts":"3"`):           "max-attempts",
		swap(`"max-attempts":3`, `"max-attempts":null`):          "max-attempts",
		swap(`"give-up-us":30000000`, `"give-up-us":0`):          "settings.classes[0].give-up-us is not a number above 0",
		swap(`"give-up-us":30000000`, `"give-up-us":-5`):         "give-up-us",
		swap(`"give-up-us":30000000`, `"give-up-us":"long"`):     "give-up-us",
		swap(`,"give-up-us":30000000`, ``):                       "give-up-us is missing",
		swap(`"target-us":10000000`, `"target-us":null`):         "target-us",
		swap(`"name":"change"`, `"name":"evaluate"`):             "given twice",
		swap(`"name":"change",`, ``):                             "classes[].name is missing",
		swap(`"effect":"keyed"`, `"effect":"sometimes"`):         "effect",
		swap(`"window-us":12000000,`, ``):                        "window-us",
		swap(`"worth":1.0`, `"worth":"much"`):                    "worth",
		swap(`"worth":1.0`, `"worth":-1`):                        "negative",
		swap(`"dial-timeout-us":5000000`, `"dial-timeout-us":0`): "dial-timeout-us",
		swap(`"peers-total":1`, `"peers-total":0`):               "peers-total",
	} {
		c, err := ReadConfig(strings.NewReader(text))
		if err == nil {
			err = c.CheckReload(inUse)
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.60q: error %v, wanted %q", text, err, want)
		}
	}
	for _, text := range []string{good, swap(`"target-us":10000000`, `"target-us":9000000.5`),
		swap(`"endpoints":[]`, `"endpoints":[{"name":"x","address":"127.0.0.1:1"}]`),
		strings.Replace(good, `,
 {"name":"once","effect":"unsafe","worth":5.0,"target-us":6000000,"give-up-us":20000000}`, ``, 1)} {
		c, err := ReadConfig(strings.NewReader(text))
		if err == nil {
			err = c.CheckReload(inUse)
		}
		if err != nil {
			t.Errorf("a good file: %v", err)
		}
	}
}

// FuzzReadConfig verifies that the settings of every accepted file are valid.
func FuzzReadConfig(f *testing.F) {
	f.Add(completeConfigText(true, 1000))
	f.Add(completeConfigText(false, 0)[:200])
	f.Add(`{"settings":{"classes":[1]}}`)
	f.Add(`{"settings":{"classes":[{"give-up-us":[]}],"limits":[]}}`)
	inUse, err := ReadConfig(strings.NewReader(completeConfigText(false, 1000)))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ReadConfig(strings.NewReader(text))
		if err != nil {
			return
		}
		if c.CheckReload(inUse) == nil && c.Settings.Validate() != nil {
			t.Error("invalid settings were accepted")
		}
	})
}

// TestNewSettings verifies a reload: a new class is served by its own rules, a removed class is unknown, and a
// request in flight ends by the rules under which it arrived. A rejected file changes nothing and is counted.
func TestNewSettings(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`+
		`"counter":"127.0.0.1:1","settings":%s}`, env.gateway.cfg.Discovery,
		fmt.Sprintf(settingsJSON, 5_000_000, false))
	reload := func(text string) error {
		return env.gateway.Reload(func() (*Config, error) { return ReadConfig(strings.NewReader(text)) })
	}
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	changed := strings.Replace(text, `{"name":"evaluate","effect":"safe"`, `{"name":"weigh","effect":"unsafe"`, 1)
	if err := reload(strings.Replace(changed, `"give-up-us":30000000`, `"give-up-us":0`, 1)); err == nil {
		t.Error("an invalid file was accepted")
	}
	if err := reload(changed); err != nil {
		t.Fatal(err)
	}
	env.gateway.waitForLoop() // the loop has applied it
	n := env.dial()
	n.Command("Q.ASK", peer.Customer, "2", peer.List)
	n.WantsPrefix("-ERR ") // removed
	n.Command("Q.ASK", peer.Customer, "3", strings.Replace(peer.List, "evaluate", "weigh", 1))
	n.WantsPrefix("-ERR class not served by Q.ASK")
	n.Command("Q.DO", peer.Customer, "4", strings.Replace(peer.List, "evaluate", "weigh", 1), "body")
	second := peer.Accept(t, ln)
	second.Message()
	second.NC.Close() // the request may have run, so the new class must not be sent again
	n.WantsPrefix("-ERR failed")
	b.NC.Close() // the request in flight is still safe to repeat
	third := peer.Accept(t, ln)
	if m := third.Message(); m[2] != "1" {
		t.Errorf("%q", m)
	}
	third.Write(peer.Answer("one"))
	c.Wants("one")
	var statistics strings.Builder
	env.gateway.Stats.Write(&statistics)
	for _, want := range []string{"svc.operations.evaluate.fulfilled=1\n", "svc.operations.weigh.faulted=1\n",
		"svc.relayed=3\n", "svc.open_requests=0\n", "svc.cfg_accepted=1\n", "svc.cfg_invalid=1\n",
		"svc.registry_entries=1\n"} {
		if !strings.Contains(statistics.String(), want) {
			t.Errorf("no %q in\n%s", want, statistics.String())
		}
	}
}

// waitForLoop waits until the loop has run the functions that were posted before.
func (g *Gateway) waitForLoop() {
	done := make(chan struct{})
	g.Post(func() { close(done) })
	<-done
}
