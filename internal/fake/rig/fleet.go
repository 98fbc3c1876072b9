package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Seen is one door as another sees it.
type Seen struct {
	Name        string            `json:"name"`
	State       string            `json:"state"`
	Cause       string            `json:"cause"`
	Incarnation uint32            `json:"incarnation"`
	SeenBy      map[string]string `json:"seen_by"`
	Disagree    bool              `json:"disagree"`
}

// Status is what a door says of its fleet.
type Status struct {
	Name        string  `json:"name"`
	Incarnation uint32  `json:"incarnation"`
	Part        float64 `json:"part"`
	Out         bool    `json:"out"`
	Rival       bool    `json:"rival"`
	WrongClock  bool    `json:"wrong_clock"`
	Doors       []Seen  `json:"doors"`
}

// Operators calls at a door's control socket.
func (d *Door) Operators(method, path string) (*http.Response, error) {
	return d.operators(method, path, "", 5*time.Second)
}

// Post posts a text there, and waits longer for the answer.
func (d *Door) Post(path, body string) (*http.Response, error) {
	return d.operators(http.MethodPost, path, body, 90*time.Second)
}

// GoesBy says whether a door decides by a version of the fleet's policy.
func (d *Door) GoesBy(version uint64) error {
	res, err := d.Operators(http.MethodGet, "/policy/status")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var s struct {
		By struct {
			Version uint64 `json:"version"`
		} `json:"goes_by"`
		Decides bool `json:"decides"`
	}
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return err
	}
	if s.By.Version != version || !s.Decides {
		return fmt.Errorf("%s goes by version %d, and decides: %v", d.Name, s.By.Version, s.Decides)
	}
	return nil
}

func (d *Door) operators(method, path, body string, within time.Duration) (*http.Response, error) {
	tr := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", d.Socket)
	}, DisableKeepAlives: true}
	req, err := http.NewRequest(method, "http://door"+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return (&http.Client{Transport: tr, Timeout: within}).Do(req)
}

// Status asks a door how it sees its fleet.
func (d *Door) Status() (*Status, error) {
	res, err := d.Operators(http.MethodGet, "/fleet/status")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	s := &Status{}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status: %s", res.Status)
	}
	return s, json.NewDecoder(res.Body).Decode(s)
}

// Within asks until a condition holds and returns how long that took.
func Within(most time.Duration, done func() error) (time.Duration, error) {
	begun := time.Now()
	for {
		err := done()
		if took := time.Since(begun); err == nil || took > most {
			return took, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Sees says whether a door sees another in one of some states.
func (d *Door) Sees(n int, states ...string) error {
	s, err := d.Status()
	if err != nil {
		return err
	}
	for _, w := range states {
		if s.Doors[n].State == w {
			return nil
		}
	}
	return fmt.Errorf("%s is %s at %s: %s", s.Doors[n].Name, s.Doors[n].State, d.Name, s.Doors[n].Cause)
}

// Alike says whether some doors see each other alive, all others not, and have all parts between them.
func (r *Rig) Alike(up ...int) error {
	in := map[int]bool{}
	for _, n := range up {
		in[n] = true
	}
	sum := 0.0
	for _, n := range up {
		s, err := r.Doors[n].Status()
		if err != nil {
			return err
		}
		for i, o := range s.Doors {
			if alive := o.State == "alive" || o.State == "returned"; alive != in[i] {
				return fmt.Errorf("%s is %s at %s: %s", o.Name, o.State, s.Name, o.Cause)
			}
		}
		sum += s.Part
	}
	if sum < 0.999 || sum > 1.001 {
		return fmt.Errorf("the parts are %.3f together", sum)
	}
	return nil
}
