package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"snowhall"
)

const (
	watchSilence = 4 * time.Second // a watch gives a sign every 2 s; one silent for so long is dead
	rewatchFirst = 100 * time.Millisecond
	rewatchMost  = 500 * time.Millisecond // the agent is on this machine and asking it costs nothing
	mostList     = 1 << 20                // bytes of a list
)

// Members is a list of backends, or changes of it, in discovery's form.
type Members struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is one backend in discovery's form.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Group   int
	Status  string
	Weight  float64
	SinceMS int64 `json:"since_ms"`
}

var statuses = map[string]snowhall.State{"SERVING": snowhall.InService, "DRAINING": snowhall.Terminating,
	"DELETED": snowhall.Terminated}

// discovery follows the list of backends. The loop owns it; the goroutines that read are given an address.
type discovery struct {
	f     *Front
	http  *http.Client
	addr  string
	index int64 // of the list as the loop has it
	epoch int   // of the watch: what an older one still reads is passed over
	stop  context.CancelFunc
}

func newDiscovery(f *Front) *discovery {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		ResponseHeaderTimeout: watchSilence, MaxConnsPerHost: 4}
	return &discovery{f: f, http: &http.Client{Transport: t}, addr: f.cfg.Discovery, index: f.cfg.Known.Index,
		stop: func() {}}
}

// follow begins to watch at an address, from the index known last, and leaves the watch before.
func (d *discovery) follow(addr string) {
	d.stop()
	d.addr = addr
	d.epoch++
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go d.run(ctx, addr, d.index, d.epoch)
}

func membersURL(addr string) string { return "http://" + addr + "/catalog/members" }

// run watches the list until the context ends.
func (d *discovery) run(ctx context.Context, addr string, index int64, epoch int) {
	pause := rewatchFirst
	for ctx.Err() == nil {
		from := index
		err := d.watch(ctx, addr, &index, epoch)
		if pause = min(2*pause, rewatchMost); index != from {
			pause = rewatchFirst
		}
		d.f.log.Debug("watch ended", "error", err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// watch follows one watch to its end and keeps the index it has come to.
func (d *discovery) watch(ctx context.Context, addr string, index *int64, epoch int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := d.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", membersURL(addr), *index))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dead := time.AfterFunc(watchSilence, cancel) // protects against a machine that fell silent
	defer dead.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, mostList)
	for lines.Scan() {
		dead.Reset(watchSilence)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var m Members
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		*index = m.Index
		d.f.post(func() {
			if epoch == d.epoch { // else the next watch brings it again, from the index that the loop had
				d.f.discovered(m)
			}
		})
	}
	return cmpErr(lines.Err(), io.EOF)
}

func cmpErr(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

func (d *discovery) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery: %s", resp.Status)
	}
	return resp, nil
}

// fetch gets the whole list once, for a Door that asks.
func (d *discovery) fetch(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), watchSilence)
	defer cancel()
	m, err := d.list(ctx, addr)
	if err != nil {
		d.f.post(func() { d.f.tell(snowhall.List{Scope: snowhall.ListFailed}) })
		return
	}
	d.f.post(func() { d.f.discovered(m) })
}

func (d *discovery) list(ctx context.Context, addr string) (m Members, err error) {
	resp, err := d.get(ctx, membersURL(addr))
	if err != nil {
		return m, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, mostList)).Decode(&m); err != nil {
		return m, fmt.Errorf("list: %w", err)
	}
	if !m.Snapshot {
		return m, errors.New("list: not a whole one")
	}
	return m, nil
}

// discovered takes news of the backends to the pools and to the Door.
func (f *Front) discovered(m Members) {
	scope := snowhall.Delta
	if m.Snapshot {
		scope = snowhall.Whole
	}
	f.discovery.index = m.Index
	f.take(m, scope)
}

// take hands a list or its changes on.
func (f *Front) take(m Members, scope snowhall.Scope) {
	list := snowhall.List{Scope: scope}
	for _, e := range m.Endpoints {
		state, ok := statuses[e.Status]
		if !ok || e.Name == "" {
			f.log.Warn("an entry of the list that makes no sense", "name", e.Name, "status", e.Status)
			continue
		}
		b := snowhall.Backend{Name: e.Name, Zone: max(0, index(f.cfg.Transport.Zones, e.Zone)),
			Kind: max(0, index(f.cfg.Transport.Kinds, e.Type)), Cell: e.Group, State: state, Weight: e.Weight,
			Started: time.Duration(e.SinceMS) * time.Millisecond}
		list.Entries = append(list.Entries, b)
		if state == snowhall.InService {
			f.ready.Store(true)
		}
		f.backends.listed(b, e.Address)
	}
	if scope != snowhall.Delta {
		f.backends.keepOnly(list.Entries)
	}
	f.tell(list)
}
