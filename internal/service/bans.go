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
	maxEjections         = 1024
	maxPendingCommands   = 64
	ejectionPollInterval = 100 * time.Millisecond // between two looks for changes by another process
)

var ejectionsFormat = statefile.Format{Kind: "gapgap-bans", Version: 1, MaxBytes: 1 << 20}

// ejection is the administrative ejection of one backend.
type ejection struct {
	Backend string `json:"backend"`
	SinceMS int64  `json:"since_ms"` // Unix time in milliseconds
}

// ejectionList is the content of the file.
type ejectionList struct {
	Ejections []ejection `json:"bans"`
}

// ejectionStore keeps the administrative ejections in a file that outlives the process, and that the other process of
// an upgrade reads and writes too. Without a path they last as long as the process.
type ejectionStore struct {
	proxy *proxy.Proxy
	path  string
	log   *slog.Logger

	pending chan struct{} // has an item for each command that runs or waits

	mu       sync.Mutex
	ejected  map[string]int64 // backends whose ejection the proxy knows, each with the time of its ejection
	lastRead fs.FileInfo      // the file as last read; nil: read it again
}

// newEjectionStore reads the file and applies it to a proxy that does not run yet. A file that can't be read is
// renamed, with a line in the log: operators must then repeat their ejections.
func newEjectionStore(p *proxy.Proxy, dir string, log *slog.Logger) *ejectionStore {
	s := &ejectionStore{proxy: p, log: log, ejected: map[string]int64{},
		pending: make(chan struct{}, maxPendingCommands)}
	if dir == "" {
		return s
	}
	s.path = filepath.Join(dir, "gapgap-bans.json")
	list, err := s.load()
	if err != nil {
		log.Error("bans by hand are lost", "file", s.path, "error", err)
		os.Rename(s.path, s.path+".damaged")
	}
	for _, entry := range list.Ejections {
		p.MarkEjected(entry.Backend, time.Duration(entry.SinceMS)*time.Millisecond)
		s.ejected[entry.Backend] = entry.SinceMS
	}
	return s
}

// load reads the file; a missing file is an empty list. The caller holds mu, unless nothing else uses the store yet.
func (s *ejectionStore) load() (list ejectionList, err error) {
	s.lastRead, _ = os.Stat(s.path) // before it is read, so that the next refresh sees a later change
	if err = ejectionsFormat.Load(s.path, &list); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return list, err
}

// change ejects or restores a backend and stores the change. It is done when change returns nil. A command that is not
// done before the context ends is still carried out, as soon as possible.
func (s *ejectionStore) change(ctx context.Context, backend string, eject bool) error {
	select {
	case s.pending <- struct{}{}:
	default:
		return errors.New("too many commands are waiting: try again")
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-s.pending }()
		done <- s.apply(backend, eject)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.New("not done yet, it goes on: say it again")
	}
}

// apply carries out one command.
func (s *ejectionStore) apply(backend string, eject bool) error {
	ctx := context.Background() // the proxy's calls end with its event loop
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshLocked(ctx) // this command may undo one that the other process was given
	if _, ejected := s.ejected[backend]; eject && !ejected && len(s.ejected) >= maxEjections {
		return fmt.Errorf("%d backends are ejected already, which is the limit", maxEjections)
	}
	var err error
	if eject {
		err = s.proxy.AdminEject(ctx, backend, 0)
	} else {
		err = s.proxy.AdminRestore(ctx, backend)
	}
	if err != nil {
		return err
	}
	if _, ejected := s.ejected[backend]; ejected == eject {
		return nil
	}
	if eject {
		s.ejected[backend] = time.Now().UnixMilli()
	} else {
		delete(s.ejected, backend)
	}
	if err := s.save(backend, eject); err != nil {
		s.log.Error("an administrative ejection or restore is not stored: it ends with this process",
			"backend", backend, "error", err)
	}
	return nil
}

// save writes one change to the file and keeps the other backends' entries, which another process may have changed.
func (s *ejectionStore) save(backend string, eject bool) error {
	if s.path == "" {
		return nil
	}
	unlock, err := statefile.Lock(s.path + ".lock")
	if err != nil {
		return err
	}
	defer unlock()
	list, err := s.load()
	if err != nil {
		s.log.Error("the other process's administrative ejections are lost", "file", s.path, "error", err)
	}
	beforeSave := s.lastRead
	kept := ejectionList{Ejections: []ejection{}}
	for _, entry := range list.Ejections {
		if entry.Backend != backend {
			kept.Ejections = append(kept.Ejections, entry)
		}
	}
	if eject {
		kept.Ejections = append(kept.Ejections, ejection{backend, s.ejected[backend]})
	}
	if err := ejectionsFormat.Save(s.path, kept); err != nil {
		return err
	}
	s.lastRead = beforeSave // so that the next refresh reads what another process has changed meanwhile
	return nil
}

// poll applies the changes of another process until the context ends.
func (s *ejectionStore) poll(ctx context.Context) {
	if s.path == "" {
		return
	}
	for ticker := time.NewTicker(ejectionPollInterval); ; {
		select {
		case <-ticker.C:
			s.refresh(ctx)
		case <-ctx.Done():
			ticker.Stop()
			return
		}
	}
}

// refresh applies the file's content if the file has changed.
func (s *ejectionStore) refresh(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshLocked(ctx)
}

// refreshLocked is refresh for a caller that holds mu.
func (s *ejectionStore) refreshLocked(ctx context.Context) {
	if s.path == "" {
		return
	}
	current, err := os.Stat(s.path)
	if err != nil ||
		s.lastRead != nil && os.SameFile(current, s.lastRead) && current.ModTime().Equal(s.lastRead.ModTime()) {
		return
	}
	list, err := s.load()
	if err != nil {
		s.log.Error("can't read the other process's administrative ejections", "file", s.path, "error", err)
		return
	}
	listed := map[string]bool{}
	for _, entry := range list.Ejections {
		listed[entry.Backend] = true
		if _, known := s.ejected[entry.Backend]; known {
			continue
		}
		if err := s.proxy.MirrorAdminEject(ctx, entry.Backend,
			time.Duration(entry.SinceMS)*time.Millisecond); err != nil {
			s.lastRead = nil // retried at the next refresh
			return
		}
		s.ejected[entry.Backend] = entry.SinceMS
	}
	for name := range s.ejected {
		if listed[name] {
			continue
		}
		if err := s.proxy.AdminRestore(ctx, name); err != nil {
			s.lastRead = nil
			return
		}
		delete(s.ejected, name)
	}
}
