package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// startAdmin opens a gateway's admin listener and returns a function that sends it a command and returns the answer.
func startAdmin(env *testEnv) func(command string) string {
	ln := peer.Listen(env.t)
	env.adminListener = ln
	return func(command string) string {
		env.t.Helper()
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			env.t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(peer.Patient))
		io.WriteString(nc, command+"\n")
		b, err := io.ReadAll(nc)
		if err != nil {
			env.t.Fatalf("%s: %v", command, err)
		}
		return string(b)
	}
}

func withStateDir(dir string) option { return func(c *Config, _ *testing.T) { c.StateDir = dir } }

// TestDetach verifies that after the answer to DETACH no request reaches the backend until ATTACH, not even on warm
// connections, and that another process of the gateway follows both commands.
func TestDetach(t *testing.T) {
	one, two := peer.Listen(t), peer.Listen(t)
	dir := t.TempDir()
	env := start(t, []string{one.Addr().String(), two.Addr().String()}, withStateDir(dir))
	command := env.command
	if got := command("DETACH s-9"); !strings.HasPrefix(got, "NO ") || !strings.Contains(got, "never listed") {
		t.Errorf("%q", got)
	}
	if got := command("PING"); got != "YES\n" {
		t.Errorf("%q", got)
	}
	serve := func(ln net.Listener, name string) {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				p := peer.New(t, nc)
				for {
					if _, err := p.Try(); err != nil {
						return
					}
					io.WriteString(nc, peer.Answer(name))
				}
			}()
		}
	}
	go serve(one, "one")
	go serve(two, "two")
	c := env.dial()
	id := 0
	ask := func() string {
		id++
		c.Command("Q.ASK", peer.Customer, fmt.Sprint(id), peer.List)
		return c.Message()[0]
	}
	until := func(want string) {
		t.Helper()
		for limit := time.Now().Add(peer.Patient); time.Now().Before(limit); {
			if ask() == want {
				return
			}
		}
		t.Errorf("%s is never used", want)
	}
	until("one")
	until("two")
	if got := command("DETACH s-0"); got != "YES\n" {
		t.Fatalf("%q", got)
	}
	command("DETACH s-0")
	env.updates <- endpoints(2, one.Addr().String(), two.Addr().String()) // discovery lists it as serving
	env.gateway.waitForLoop()
	for range 200 {
		if got := ask(); got != "two" {
			t.Fatalf("%q served", got)
		}
	}
	for limit := time.Now().Add(peer.Patient); ; { // statistics are published ten times a second
		got := command("INFO")
		if strings.Contains(got, "svc.registry_entries=2\nsvc.out_of_rotation=1\n") &&
			strings.HasSuffix(got, "\nEND\n") {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("%q", got)
		}
	}
	// Another process of the same gateway knows the ejection, and the first process follows commands to the second.
	other := start(t, []string{one.Addr().String(), two.Addr().String()}, withStateDir(dir))
	if got := other.command("ATTACH s-0"); got != "YES\n" {
		t.Fatalf("%q", got)
	}
	until("one")
	if got := other.command("DETACH s-1"); got != "YES\n" {
		t.Fatalf("%q", got)
	}
	for range 1000 { // the first process polls ten times a second
		if !env.isEjected("s-1") {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		break
	}
	for range 200 {
		if got := ask(); got != "one" {
			t.Fatalf("%q served", got)
		}
	}
}

func (env *testEnv) isEjected(name string) bool {
	env.gateway.ejections.mu.Lock()
	defer env.gateway.ejections.mu.Unlock()
	_, ejected := env.gateway.ejections.ejected[name]
	return ejected
}

// TestBansOutliveTheProcess verifies that an ejection outlives the process, and that a damaged file, or one of a newer
// version, is renamed.
func TestBansOutliveTheProcess(t *testing.T) {
	dir := t.TempDir()
	env := start(t, []string{"127.0.0.1:1"}, withStateDir(dir))
	if got := env.command("DETACH s-0"); got != "YES\n" {
		t.Fatal(got)
	}
	env.stop()
	<-env.gateway.Done()
	again := start(t, nil, withStateDir(dir)) // it knows no list yet
	if !again.isEjected("s-0") {
		t.Error("the ejection is lost")
	}
	if got := again.command("ATTACH s-0"); got != "YES\n" { // though this process has never seen it listed
		t.Error(got)
	}
	again.stop()
	<-again.gateway.Done()
	file := filepath.Join(dir, "gapgap-bans.json")
	for _, bad := range []string{"{", `{"kind":"gapgap-bans","version":99,"crc32":0,"data":{}}`, ""} {
		if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		env := start(t, []string{"127.0.0.1:1"}, withStateDir(dir))
		if got := env.command("DETACH s-0"); got != "YES\n" {
			t.Errorf("%q: %s", bad, got)
		}
		if _, err := os.Stat(file + ".damaged"); err != nil {
			t.Errorf("%q: %v", bad, err)
		}
		env.stop()
		<-env.gateway.Done()
		os.Remove(file + ".damaged")
	}
}

// TestDetachWhileTheLoopIsBusy verifies that a command that the event loop can't carry out before its timeout is still
// carried out later.
func TestDetachWhileTheLoopIsBusy(t *testing.T) {
	env := start(t, []string{"127.0.0.1:1"}, withStateDir(t.TempDir()))
	// The list must be known before the loop is blocked.
	for limit := time.Now().Add(peer.Patient); env.command("PING") != "YES\n"; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("no backend becomes known")
		}
	}
	release := make(chan struct{})
	env.gateway.Post(func() { <-release })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := (adminService{env.gateway}).Detach(ctx, "s-0"); err == nil {
		t.Error("DETACH succeeded although the loop is blocked")
	}
	if got := env.command("PING"); got != "YES\n" { // other commands are answered meanwhile
		t.Error(got)
	}
	close(release)
	for range 2000 {
		if env.isEjected("s-0") {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("never carried out")
}

// TestAttachAtTheOtherProcess verifies that ATTACH ends an ejection also at a process that does not know of it yet.
func TestAttachAtTheOtherProcess(t *testing.T) {
	dir := t.TempDir()
	one := start(t, []string{"127.0.0.1:1"}, withStateDir(dir))
	two := start(t, []string{"127.0.0.1:1"}, withStateDir(dir))
	for range 10 { // without a pause, so that a command comes before the next poll of the file
		if got := one.command("DETACH s-0"); got != "YES\n" {
			t.Fatal(got)
		}
		if got := two.command("ATTACH s-0"); got != "YES\n" {
			t.Fatal(got)
		}
		for _, env := range []*testEnv{one, two} {
			env.gateway.ejections.refresh(context.Background())
			if env.isEjected("s-0") {
				t.Fatal("still ejected after ATTACH")
			}
		}
	}
}
