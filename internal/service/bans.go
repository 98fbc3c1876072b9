package service

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"gapgap/internal/proxy"
	"gapgap/internal/statefile"
)

const (
	mostBans  = 1024
	mostTurns = 64
	bansEvery = 100 * time.Millisecond // how often another process's bans are looked for
)

var bansForm = statefile.Format{Kind: "gapgap-bans", Version: 1, MaxBytes: 1 << 20}

// ban is a backend that is taken out by hand.
type ban struct {
	Backend string `json:"backend"`
	SinceMS int64  `json:"since_ms"` // Unix time
}

type banList struct {
	Bans []ban `json:"bans"`
}

// bans keeps which backends are taken out by hand, in a file that outlives the process and that the other one of an upgrade
// reads and writes too. Without a path they last as long as the process.
type bans struct {
	core *proxy.Proxy
	path string
	log  *slog.Logger

	turns chan struct{} // calls that are carried out or wait for that

	mu   sync.Mutex
	have map[string]int64 // what the core has been told, and since when
	seen fs.FileInfo      // the file as last read or written; nil: none
}

// newBans reads the file and tells a core, which does not run yet. A file that can't be read is put aside, with a line in the
// log: operators have to say again what is out.
func newBans(c *proxy.Proxy, dir string, log *slog.Logger) *bans {
	b := &bans{core: c, log: log, have: map[string]int64{}, turns: make(chan struct{}, mostTurns)}
	if dir == "" {
		return b
	}
	b.path = filepath.Join(dir, "gapgap-bans.json")
	list, err := b.read()
	if err != nil {
		log.Error("bans by hand are lost", "file", b.path, "error", err)
		os.Rename(b.path, b.path+".damaged")
	}
	for _, x := range list.Bans {
		c.MarkEjected(x.Backend, time.Duration(x.SinceMS)*time.Millisecond)
		b.have[x.Backend] = x.SinceMS
	}
	return b
}

// read reads the file; one that is not there is empty. The caller holds mu, or nobody else has it yet.
func (b *bans) read() (list banList, err error) {
	b.seen, _ = os.Stat(b.path) // before it is read: what comes after is looked at again
	if err = bansForm.Load(b.path, &list); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return list, err
}

// change carries a call out and keeps it. It is done when it returns nil. A call for which there is no time before the
// context ends is carried out all the same, as soon as may be: it counts from when it was said.
func (b *bans) change(ctx context.Context, backend string, out bool) error {
	select {
	case b.turns <- struct{}{}:
	default:
		return errors.New("too many calls wait: say it again")
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-b.turns }()
		done <- b.carry(backend, out)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.New("not done yet, it goes on: say it again")
	}
}

func (b *bans) carry(backend string, out bool) error {
	ctx := context.Background() // ends with the loop
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lookNow(ctx) // the other process may have been told something that this call is the answer to
	if _, is := b.have[backend]; out && !is && len(b.have) >= mostBans {
		return fmt.Errorf("%d backends are out by hand, which is the most", mostBans)
	}
	var err error
	if out {
		err = b.core.AdminEject(ctx, backend, 0)
	} else {
		err = b.core.AdminRestore(ctx, backend)
	}
	if err != nil {
		return err
	}
	if _, is := b.have[backend]; is == out {
		return nil
	}
	if out {
		b.have[backend] = time.Now().UnixMilli()
	} else {
		delete(b.have, backend)
	}
	if err := b.write(backend, out); err != nil {
		b.log.Error("a change by hand lasts only as long as this process", "backend", backend, "error", err)
	}
	return nil
}

// write brings one change into the file. Another process may have changed others.
func (b *bans) write(backend string, out bool) error {
	if b.path == "" {
		return nil
	}
	unlock, err := statefile.Lock(b.path + ".lock")
	if err != nil {
		return err
	}
	defer unlock()
	list, err := b.read()
	if err != nil {
		b.log.Error("bans by hand of the other process are lost", "file", b.path, "error", err)
	}
	before := b.seen
	kept := banList{Bans: []ban{}}
	for _, x := range list.Bans {
		if x.Backend != backend {
			kept.Bans = append(kept.Bans, x)
		}
	}
	if out {
		kept.Bans = append(kept.Bans, ban{backend, b.have[backend]})
	}
	if err := bansForm.Save(b.path, kept); err != nil {
		return err
	}
	b.seen = before // so that what the other one changed meanwhile is looked at
	return nil
}

// follow takes over what another process changes, until the context ends.
func (b *bans) follow(ctx context.Context) {
	if b.path == "" {
		return
	}
	for tick := time.NewTicker(bansEvery); ; {
		select {
		case <-tick.C:
			b.look(ctx)
		case <-ctx.Done():
			tick.Stop()
			return
		}
	}
}

// look reads the file if it has changed.
func (b *bans) look(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lookNow(ctx)
}

// lookNow is look for who holds mu.
func (b *bans) lookNow(ctx context.Context) {
	if b.path == "" {
		return
	}
	now, err := os.Stat(b.path)
	if err != nil || b.seen != nil && os.SameFile(now, b.seen) && now.ModTime().Equal(b.seen.ModTime()) {
		return
	}
	list, err := b.read()
	if err != nil {
		b.log.Error("bans by hand of the other process are not known", "file", b.path, "error", err)
		return
	}
	named := map[string]bool{}
	for _, x := range list.Bans {
		named[x.Backend] = true
		if _, is := b.have[x.Backend]; is {
			continue
		}
		if err := b.core.MirrorAdminEject(ctx, x.Backend, time.Duration(x.SinceMS)*time.Millisecond); err != nil {
			b.seen = nil // again with the next look
			return
		}
		b.have[x.Backend] = x.SinceMS
	}
	for name := range b.have {
		if named[name] {
			continue
		}
		if err := b.core.AdminRestore(ctx, name); err != nil {
			b.seen = nil
			return
		}
		delete(b.have, name)
	}
}
