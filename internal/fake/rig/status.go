package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// pollInterval is the pause between two calls in Within.
const pollInterval = 20 * time.Millisecond

// MemberStatus is the state of one gateway as seen by another.
type MemberStatus struct {
	// Name is the gateway's name.
	Name string `json:"name"`
	// State is the gateway's state in the failure detector, such as "alive" or "suspect".
	State string `json:"state"`
	// Cause is the reason for the state.
	Cause string `json:"cause"`
	// Incarnation counts the gateway's process lifetimes.
	Incarnation uint32 `json:"incarnation"`
	// SeenBy is the gateway's state as seen by each other gateway, by name.
	SeenBy map[string]string `json:"seen_by"`
	// Disagree reports that the gateways see it in different states.
	Disagree bool `json:"disagree"`
}

// Status is a gateway's report on its cluster.
type Status struct {
	// Name is the gateway's name.
	Name string `json:"name"`
	// Incarnation counts the gateway's process lifetimes.
	Incarnation uint32 `json:"incarnation"`
	// Part is the fraction of the common shares that the gateway has leased.
	Part float64 `json:"part"`
	// Out reports that the gateway has no share lease.
	Out bool `json:"out"`
	// Rival reports a duplicate: another process of the gateway's name.
	Rival bool `json:"rival"`
	// WrongClock reports that the gateway's clock disagrees with those of the others.
	WrongClock bool `json:"wrong_clock"`
	// Doors are all gateways as seen by this one, by index.
	Doors []MemberStatus `json:"doors"`
}

// Status returns the gateway's report on its cluster.
func (d *Door) Status() (*Status, error) {
	response, err := d.Operators(http.MethodGet, "/fleet/status")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // only read from, so an error loses nothing
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status: %s", response.Status)
	}
	status := &Status{}
	return status, json.NewDecoder(response.Body).Decode(status)
}

// policyStatus is the part of the response to /policy/status that GoesBy compares.
type policyStatus struct {
	ActivePolicy struct {
		Version uint64 `json:"version"`
	} `json:"goes_by"`
	Decides bool `json:"decides"`
}

// GoesBy returns nil if the gateway decides by the given version of the cluster's policy, and otherwise an error with
// what it reports.
func (d *Door) GoesBy(version uint64) error {
	response, err := d.Operators(http.MethodGet, "/policy/status")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only read from, so an error loses nothing
	var status policyStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return err
	}
	if status.ActivePolicy.Version != version || !status.Decides {
		return fmt.Errorf("%s: policy version %d, decides %v", d.Name, status.ActivePolicy.Version, status.Decides)
	}
	return nil
}

// Sees returns nil if the gateway sees gateway n in one of the given states, and otherwise an error with the state and
// its cause.
func (d *Door) Sees(n int, states ...string) error {
	status, err := d.Status()
	if err != nil {
		return err
	}
	seen := status.Doors[n]
	if slices.Contains(states, seen.State) {
		return nil
	}
	return fmt.Errorf("%s is seen as %s by %s: %s", seen.Name, seen.State, d.Name, seen.Cause)
}

// Alike returns nil if each gateway with one of the given indexes sees exactly these gateways as alive, and if together
// they have leased all shares. Otherwise it returns an error with the first difference.
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
				return fmt.Errorf("%s is seen as %s by %s: %s", seen.Name, seen.State, status.Name, seen.Cause)
			}
		}
		sum += status.Part
	}
	if sum < 0.999 || sum > 1.001 {
		return fmt.Errorf("the leased fractions of the shares add up to %.3f, want 1", sum)
	}
	return nil
}

// Within calls a function until it returns nil or the time limit has passed. It returns how long that took and the last
// error.
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
