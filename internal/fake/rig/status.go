package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// pollInterval is the pause between two attempts of Within.
const pollInterval = 20 * time.Millisecond

// Seen is one gateway as another sees it.
type Seen struct {
	// Name is the gateway's name.
	Name string `json:"name"`
	// State is its state in the failure detector, such as "alive" or "suspect".
	State string `json:"state"`
	// Cause is why it has this state.
	Cause string `json:"cause"`
	// Incarnation counts its process lifetimes.
	Incarnation uint32 `json:"incarnation"`
	// SeenBy is its state at each other gateway, by name.
	SeenBy map[string]string `json:"seen_by"`
	// Disagree says that the gateways have it in different states.
	Disagree bool `json:"disagree"`
}

// Status is what a gateway reports of its cluster.
type Status struct {
	// Name is the gateway's name.
	Name string `json:"name"`
	// Incarnation counts its process lifetimes.
	Incarnation uint32 `json:"incarnation"`
	// Part is the fraction of the common shares that it has leased.
	Part float64 `json:"part"`
	// Out says that it has no share lease.
	Out bool `json:"out"`
	// Rival says that another process has its name.
	Rival bool `json:"rival"`
	// WrongClock says that its clock disagrees with the others'.
	WrongClock bool `json:"wrong_clock"`
	// Doors are all gateways as it sees them, by their index.
	Doors []Seen `json:"doors"`
}

// Status returns what the gateway reports of its cluster.
func (d *Door) Status() (*Status, error) {
	response, err := d.Operators(http.MethodGet, "/fleet/status")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was only read
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status: %s", response.Status)
	}
	status := &Status{}
	return status, json.NewDecoder(response.Body).Decode(status)
}

// policyStatus is the part of the answer to /policy/status that GoesBy compares.
type policyStatus struct {
	GoesBy struct {
		Version uint64 `json:"version"`
	} `json:"goes_by"`
	Decides bool `json:"decides"`
}

// GoesBy returns nil if the gateway decides by a version of the cluster's policy, and an error that says why not.
func (d *Door) GoesBy(version uint64) error {
	response, err := d.Operators(http.MethodGet, "/policy/status")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it was only read
	var status policyStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return err
	}
	if status.GoesBy.Version != version || !status.Decides {
		return fmt.Errorf("%s goes by version %d, and decides: %v", d.Name, status.GoesBy.Version, status.Decides)
	}
	return nil
}

// Sees returns nil if the gateway sees the one with an index in one of some states, and an error that says how else.
func (d *Door) Sees(n int, states ...string) error {
	status, err := d.Status()
	if err != nil {
		return err
	}
	seen := status.Doors[n]
	if slices.Contains(states, seen.State) {
		return nil
	}
	return fmt.Errorf("%s is %s at %s: %s", seen.Name, seen.State, d.Name, seen.Cause)
}

// Alike returns nil if the gateways with the given indexes see each other alive and all others not, and have leased
// all shares between them. Otherwise its error says what differs.
func (r *Rig) Alike(up ...int) error {
	sum := 0.0
	for _, n := range up {
		status, err := r.Doors[n].Status()
		if err != nil {
			return err
		}
		for i, seen := range status.Doors {
			isAlive := seen.State == "alive" || seen.State == "returned"
			if isAlive != slices.Contains(up, i) {
				return fmt.Errorf("%s is %s at %s: %s", seen.Name, seen.State, status.Name, seen.Cause)
			}
		}
		sum += status.Part
	}
	if sum < 0.999 || sum > 1.001 {
		return fmt.Errorf("the parts are %.3f together", sum)
	}
	return nil
}

// Within calls a function until it returns nil, or until a time has passed. It returns how long that took and the
// last error.
func Within(most time.Duration, done func() error) (time.Duration, error) {
	startedAt := time.Now()
	for {
		err := done()
		if took := time.Since(startedAt); err == nil || took > most {
			return took, err
		}
		time.Sleep(pollInterval)
	}
}
