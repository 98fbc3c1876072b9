package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gapgap/internal/service/hosted"
)

// Times of the show.
const (
	showBefore = 4 * time.Second // with all doors
	showAway   = 6 * time.Second // with one door gone
	showAfter  = 4 * time.Second // with all again
)

// fleetDoor is one door of the show.
type fleetDoor struct {
	name, file string
	s          *hosted.Service
	stop       context.CancelFunc
	ended      chan struct{}
}

func (d *fleetDoor) start() error {
	cfg, err := hosted.Load(d.file)
	if err != nil {
		return err
	}
	if d.s, err = hosted.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.ended = stop, make(chan struct{})
	go func(s *hosted.Service, ended chan struct{}) {
		defer close(ended)
		s.Serve(ctx)
	}(d.s, d.ended)
	return nil
}

func (d *fleetDoor) end() {
	d.stop()
	<-d.ended
}

// free is an address on loopback that nobody has now.
func free(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// runDoors shows several doors that know each other: an account floods all of them, the last one leaves and is started again. The counter
// is not there, so that what is served goes by the doors' parts. With once it ends then, else it goes on until the context ends.
func runDoors(ctx context.Context, n int, agent string, once bool, out io.Writer) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte("a key that is for trying only"), 0o600); err != nil {
		return err
	}
	var list strings.Builder
	var udp, checks []string
	for i := range n {
		u, err := free("udp")
		if err != nil {
			return err
		}
		c, err := free("tcp")
		if err != nil {
			return err
		}
		udp, checks = append(udp, u), append(checks, c)
		fmt.Fprintf(&list, "[[fleet.door]]\nname = \"n%d\"\naddress = %q\n", i, u)
	}
	var doors []*fleetDoor
	for i := range n {
		d := &fleetDoor{name: fmt.Sprint("n", i), file: filepath.Join(dir, fmt.Sprintf("n%d.toml", i))}
		state := filepath.Join(dir, d.name)
		if err := os.Mkdir(state, 0o700); err != nil {
			return err
		}
		text := fmt.Sprintf(config, agent, "", "127.0.0.1:0", checks[i], customer, keySum())
		text = strings.Replace(text, "[node]\nname = \"demo\"", fmt.Sprintf("[node]\nname = %q", d.name), 1)
		text = strings.Replace(text, "ceiling_depth = 20.0", "ceiling_depth = 20.0\nwhen_cut_off = \"yield\"", 1)
		text += fmt.Sprintf("[fleet]\nlisten = %q\nkey_file = %q\nstate_dir = %q\ncontrol = %q\n", udp[i], filepath.Join(dir, "key"), state,
			filepath.Join(state, "ctl")) + list.String()
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		defer func() { d.end() }()
		doors = append(doors, d)
	}
	fmt.Fprintf(out, "%d doors, an account with a ceiling of 10 a second that floods all of them, no counter. How each door sees the others:\n\n"+
		"  go run ./cmd/gapgapctl fleet status --socket %s\n\n", n, filepath.Join(dir, "n0", "ctl"))
	show, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	passed := make([]int, n)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range n {
		wg.Go(func() {
			for show.Err() == nil {
				if ok, err := check(show, checks[i]); err == nil && ok {
					mu.Lock()
					passed[i]++
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	second := func(what string, lasts time.Duration) error {
		for range lasts / time.Second {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(time.Second):
			}
			mu.Lock()
			fmt.Fprintf(out, "%-28s let through in this second, by door: %v\n", what, passed)
			clear(passed)
			mu.Unlock()
		}
		return nil
	}
	last := doors[n-1]
	for _, step := range []struct {
		what  string
		do    func() error
		lasts time.Duration
	}{{"all doors", func() error { return nil }, showBefore},
		{last.name + " has left", func() error { last.end(); return nil }, showAway},
		{last.name + " is started again", last.start, showAfter}} {
		if err := step.do(); err != nil {
			return err
		}
		if err := second(step.what, step.lasts); err != nil {
			return nil // it was ended
		}
	}
	if !once {
		return second("all doors", 365*24*time.Hour)
	}
	return nil
}

// check asks a door whether one request of the account may pass.
func check(ctx context.Context, addr string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/check", nil)
	if err != nil {
		return false, err
	}
	req.Header = http.Header{"Authorization": {"Bearer " + key}, "X-Forwarded-Method": {"GET"},
		"X-Forwarded-Host": {"flags.example.org"}, "X-Forwarded-Uri": {"/v1/flags"}}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK, res.Body.Close()
}
