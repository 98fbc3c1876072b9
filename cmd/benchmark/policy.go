package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gapgap/internal/fake/rig"
)

// policyPlan lets through some hundred a second.
func policyPlan(n int) string {
	return fmt.Sprintf("rate = %d.0\nburst = 400.0\nover_worth = 0.2\nceiling_rate = %d.0\nceiling_depth = 2000.0\n", 400+n, 1000+n)
}

// change proposes a policy and returns how long it took to be taken, or why it was not.
func change(d *rig.Door, id, doc string) (time.Duration, string, error) {
	began := time.Now()
	res, err := d.Post("/policy/propose?"+url.Values{"id": {id}, "wait": {"40s"}}.Encode(), doc)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	took := time.Since(began)
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0, "", fmt.Errorf("%s: %s, %w", res.Status, b, err)
	}
	var r struct {
		Taken  bool
		Reason string
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return 0, "", err
	}
	return took, r.Reason, nil
}

// policy measures changes of policy on so many real doors that are flooded: the time until one is taken, the window, and what is served
// in the second of a change against the one before.
//
// With accounts the policy has so many beside those that ask, and it is told how long a door answered nobody.
func policy(program string, doors, changes, accounts int, mode, down string) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "policy")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r, err := rig.Start(rig.Config{Program: program, Dir: dir, Doors: doors, Fleet: true, Plan: policyPlan(0), Calm: accounts, Node: "memory_mb = 1024\n",
		InFleet: fmt.Sprintf("[fleet.policy]\nmode = %q\ngive_up = \"10s\"\n", mode)})
	if err != nil {
		return err
	}
	defer r.Close()
	for _, d := range r.Doors {
		if _, err := rig.Within(30*time.Second, func() error { return d.GoesBy(1) }); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	res, err := r.Doors[0].Operators(http.MethodGet, "/policy/show")
	if err != nil {
		return err
	}
	b, err := io.ReadAll(res.Body)
	res.Body.Close()
	if err != nil {
		return err
	}
	doc := string(b)
	at := strings.Index(doc, "[[plan]]")
	if at < 0 {
		return fmt.Errorf("no plan in %s", doc)
	}
	tail := doc[at+len("[[plan]]"):]
	if j := strings.Index(tail, "\n["); j >= 0 {
		tail = tail[j:]
	} else {
		tail = ""
	}
	last := doors - 1
	switch down {
	case "killed":
		r.Doors[last].Kill()
	case "stopped":
		r.Doors[last].Stop()
	default:
		last = doors
	}
	resident := func() (most float64) {
		for _, d := range r.Doors[:last] {
			most = max(most, residentOf(d.PID()))
		}
		return most
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var at0 []int
	for n := range min(last, 3) {
		at0 = append(at0, n)
	}
	began := time.Now()
	book := make(chan *rig.Book, 1)
	go func() { book <- r.Flood(ctx, 2*time.Millisecond, at0...) }()
	time.Sleep(3 * time.Second)
	rss, most := resident(), 0.0
	var times []time.Duration
	var moments []time.Duration
	for n := range changes {
		moments = append(moments, time.Since(began))
		took, reason, err := change(r.Doors[n%last], fmt.Sprint("m", n), doc[:at]+"[[plan]]\nname = \"business\"\n"+policyPlan(n+1)+tail)
		if err != nil {
			return err
		}
		if reason != "" {
			fmt.Printf("%d doors, %s, last one %s: dropped after %v: %s\n", doors, mode, down, took.Round(time.Millisecond), reason)
			break
		}
		times = append(times, took)
		most = max(most, resident())
		time.Sleep(2500 * time.Millisecond)
	}
	stop()
	bk := <-book
	if len(times) == 0 {
		return nil
	}
	slices.Sort(times)
	before, in := 0, 0
	var lateBefore, lateIn []time.Duration
	for _, m := range moments {
		before += bk.In(m-time.Second, m)
		in += bk.In(m, m+time.Second)
		for _, d := range bk.Decided {
			if d.Asked >= m-time.Second && d.Asked < m {
				lateBefore = append(lateBefore, d.Answered-d.Asked)
			} else if d.Asked >= m && d.Asked < m+time.Second {
				lateIn = append(lateIn, d.Answered-d.Asked)
			}
		}
	}
	// The longest time in which a door answered nobody, in the seconds of changes and in those before.
	still := func(from time.Duration) (worst time.Duration) {
		for n := range at0 {
			last := from
			for _, d := range bk.Decided {
				if d.Door == n && d.Answered >= from && d.Answered < from+time.Second {
					worst, last = max(worst, d.Answered-last), d.Answered
				}
			}
			worst = max(worst, from+time.Second-last)
		}
		return worst
	}
	var stillBefore, stillIn time.Duration
	for _, m := range moments {
		stillBefore, stillIn = max(stillBefore, still(m-time.Second)), max(stillIn, still(m))
	}
	fmt.Printf("%d accounts, a policy of %d bytes; no answer at a door for %v at worst in the second of a change, %v in the one before; a door's memory %.0f MB before, %.0f MB right after a change at most\n",
		accounts+2, len(doc), stillIn.Round(100*time.Microsecond), stillBefore.Round(100*time.Microsecond), rss, most)
	p99 := func(all []time.Duration) time.Duration {
		slices.Sort(all)
		return all[len(all)*99/100]
	}
	fmt.Printf("%d doors, %s, last one %s: taken within %v in the median of %d, %v at worst; window %v; served in the second of a change %d, before it %d (%.3f); p99 %v and %v (%.2f); lost %d\n",
		doors, mode, down, times[len(times)/2].Round(time.Millisecond), len(times), times[len(times)-1].Round(time.Millisecond), bk.Window().Round(time.Millisecond),
		in, before, float64(in)/float64(before), p99(lateIn).Round(10*time.Microsecond), p99(lateBefore).Round(10*time.Microsecond),
		float64(p99(lateIn))/float64(p99(lateBefore)), len(bk.Lost))
	return nil
}
