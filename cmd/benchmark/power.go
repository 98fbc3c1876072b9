package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gapgap/internal/fake/rig"
)

// powerPlay is what is played around a loss of power.
type powerPlay struct {
	doors   int
	fleet   bool
	in      string // lines of [fleet]
	change  string // lines of the class "change"
	node    string
	cuts    int           // losses of power ...
	each    time.Duration // ... a stretch apart
	off     time.Duration // for which the power is gone
	before  time.Duration // from the start of the load to the first one
	after   time.Duration // from the last one to the end
	changes int           // clients of changes
	calm    int           // accounts inside their quotas
}

// powerSeen is what the books say of a play.
type powerSeen struct {
	calm            []rig.Try
	changes         *rig.ChangeBook
	flood           *rig.Book
	twice           int
	effects         int
	back            time.Duration // when the power was back for the last time, since the load began
	callsInFirst    int           // of the counter in the second after that
	sendsInFirst    int           // to the flag servers in the second after that
	slowest, median time.Duration
}

// play plays it.
func (p powerPlay) play(program string) (*powerSeen, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "power")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	change := p.change
	if change == "" {
		change = "#"
	}
	r, err := rig.Start(rig.Config{Program: program, Dir: dir, Doors: p.doors, Fleet: p.fleet, Plan: rig.Plan, InFleet: p.in, Node: p.node, Change: change, Calm: p.calm})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	seen := &powerSeen{}
	var all []int
	for n := range p.doors {
		all = append(all, n)
	}
	var wg sync.WaitGroup
	begun := time.Now()
	wg.Go(func() { seen.flood = r.Flood(ctx, 10*time.Millisecond, all...) })
	wg.Go(func() { seen.calm = r.Calm(ctx, 250*time.Millisecond) })
	wg.Go(func() { seen.changes = r.Changes(ctx, p.changes, 20*time.Millisecond, 1) })
	time.Sleep(p.before)
	for n := range p.cuts {
		if n > 0 {
			time.Sleep(p.each - p.off)
		}
		r.PowerCut()
		time.Sleep(p.off)
		if err := r.PowerOn(); err != nil {
			return nil, err
		}
		seen.back = time.Since(begun)
	}
	if p.cuts > 0 {
		calls := r.Counter.Calls()
		time.Sleep(time.Second)
		seen.callsInFirst = r.Counter.Calls() - calls
	}
	time.Sleep(p.after)
	stop()
	wg.Wait()
	twice, n := r.Twice()
	seen.twice, seen.effects = len(twice), n
	for _, s := range r.Servers {
		for _, c := range s.Sent() {
			if at := c.At.Sub(begun); at >= seen.back && at < seen.back+time.Second {
				seen.sendsInFirst++
			}
		}
	}
	var times []time.Duration
	for _, tries := range seen.changes.Keys {
		for _, t := range tries {
			if t.Served {
				times = append(times, t.Took)
			}
		}
	}
	if slices.Sort(times); len(times) > 0 {
		seen.median, seen.slowest = times[len(times)/2], times[len(times)*99/100]
	}
	return seen, nil
}

// served is how many calm requests were served whose answers came in a stretch.
func (s *powerSeen) served(from, to time.Duration) (n int) {
	for _, t := range s.calm {
		if at := t.Asked + t.Took; t.Served && at >= from && at < to {
			n++
		}
	}
	return n
}

// until is how long after the power was back half a second has had a part of the former service for the first time.
func (s *powerSeen) until(part, former float64, most time.Duration) time.Duration {
	for at := time.Duration(0); at < most; at += 100 * time.Millisecond {
		if float64(s.served(s.back+at, s.back+at+500*time.Millisecond)) >= part*former*0.5 {
			return at + 500*time.Millisecond
		}
	}
	return -1
}

// curve is the service a second by 100 ms, seen over half a second.
func (s *powerSeen) curve(from, to time.Duration) (points plotter.XYs) {
	for at := from; at < to; at += 100 * time.Millisecond {
		points = append(points, plotter.XY{X: at.Seconds(), Y: 2 * float64(s.served(s.back+at-500*time.Millisecond, s.back+at))})
	}
	return points
}

// power plays a loss of power and prints what it cost.
func power(program string, p powerPlay) error {
	seen, err := p.play(program)
	if err != nil {
		return err
	}
	const from = 2 * time.Second
	former := float64(seen.served(from, p.before)) / (p.before - from).Seconds()
	tries, failed, unanswered, refused := 0, 0, 0, 0
	for _, all := range seen.changes.Keys {
		for _, t := range all {
			switch tries++; {
			case t.Failed:
				failed++
			case t.Busy:
				refused++
			case !t.Served:
				unanswered++
			}
		}
	}
	fmt.Printf("%d doors, %d cuts: changes: %d keys, %d had an effect, %d had it twice, %d were served (median %v, p99 %v); %d tries: %d failed, %d refused, %d unanswered\n",
		p.doors, p.cuts, len(seen.changes.Keys), seen.effects, seen.twice, seen.changes.Served(), seen.median.Round(10*time.Microsecond), seen.slowest.Round(10*time.Microsecond),
		tries, failed, refused, unanswered)
	fmt.Printf("  flood: %d served, %.1f over the ceiling's store at worst\n", len(seen.flood.Served), seen.flood.Worst(10, 20))
	if p.cuts == 0 {
		return nil
	}
	fmt.Printf("  calm accounts: %.1f a second before; after the power was back half of it within %v, 0.95 within %v; by second:", former,
		seen.until(0.5, former, p.after), seen.until(0.95, former, p.after))
	for at := time.Duration(0); at < p.after; at += time.Second {
		fmt.Printf(" %.2f", float64(seen.served(seen.back+at, seen.back+at+time.Second))/former)
	}
	fmt.Printf("\n  in the first second: %d calls of the counter, %d commands at the flag servers\n", seen.callsInFirst, seen.sendsInFirst)
	return nil
}

// powerCurves draws what is served of calm accounts around a loss of power, by two builds and with and without keys that are remembered.
func powerCurves(before, now, file string) error {
	p := plot.New()
	p.Title.Text = "Requests a second of 20 calm accounts served by three doors; doors, flag servers and the counter lose power at -0.5 and have it back at 0"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "served a second"
	p.Y.Min = 0
	for n, c := range []struct {
		name, program string
		play          powerPlay
	}{
		{"before", before, powerPlay{fleet: true}},
		{"now", now, powerPlay{fleet: true}},
		{"now, keys of changes remembered", now, powerPlay{fleet: true, in: "[fleet.remember]\nfor = \"1m\"\n", change: "remember = \"disk\""}},
		{"now, a fleet that lost no power", now, powerPlay{fleet: true}},
	} {
		c.play.doors, c.play.cuts, c.play.off, c.play.before, c.play.after, c.play.changes, c.play.calm = 3, 1, 500*time.Millisecond, 8*time.Second, 18*time.Second, 8, 20
		if n == 3 {
			c.play.cuts = 0
		}
		seen, err := c.play.play(c.program)
		if err != nil {
			return err
		}
		if n == 3 {
			seen.back = c.play.before + c.play.off
		}
		points := seen.curve(-4*time.Second, c.play.after-time.Second)
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(n)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.name, line)
		former := float64(seen.served(2*time.Second, c.play.before)) / (c.play.before - 2*time.Second).Seconds()
		fmt.Printf("%s: %.1f a second before; half within %v, 0.95 within %v; %d of %d keys had two effects\n", c.name, former, seen.until(0.5, former, c.play.after),
			seen.until(0.95, former, c.play.after), seen.twice, seen.effects)
	}
	return p.Save(11*vg.Inch, 5*vg.Inch, file)
}

// powerCost measures what it costs to remember keys: the processor's time of all doors a change, and the latency of changes and of calm requests beside them, in two fleets
// of three that run all the time and are loaded in turns.
func powerCost(program string, lasts time.Duration, rounds int) error {
	plain := rig.Config{Doors: 3, Fleet: true, Plan: rig.Plan, Change: "#", Calm: 20}
	kept := plain
	kept.InFleet, kept.Change = "[fleet.remember]\nfor = \"1m\"\n", "remember = \"disk\""
	rigs, end, err := pair(program, plain, kept)
	if err != nil {
		return err
	}
	defer end()
	cpu := func(r *rig.Rig) (sum time.Duration) {
		for _, d := range r.Doors {
			sum += d.CPU()
		}
		return sum
	}
	var ratios []float64
	var change, calm [2][]time.Duration
	for n := range rounds {
		var each [2]float64
		for k := range rigs {
			i := (k + n) % 2
			before := cpu(rigs[i])
			ctx, stop := context.WithTimeout(context.Background(), lasts)
			var wg sync.WaitGroup
			var others []rig.Try
			wg.Go(func() { others = rigs[i].Calm(ctx, 250*time.Millisecond) })
			b := rigs[i].Changes(ctx, 8, 6*time.Millisecond, uint64(10*n+i)) // under its quota
			wg.Wait()
			stop()
			served := 0
			for _, tries := range b.Keys {
				for _, t := range tries {
					if t.Served {
						served++
						change[i] = append(change[i], t.Took)
					}
				}
			}
			for _, t := range others {
				if t.Served {
					calm[i] = append(calm[i], t.Took)
				}
			}
			each[i] = (cpu(rigs[i]) - before).Seconds() * 1e6 / float64(served+len(others))
		}
		ratios = append(ratios, each[1]/each[0])
	}
	at := func(all []time.Duration, q float64) time.Duration {
		slices.Sort(all)
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(10 * time.Microsecond)
	}
	slices.Sort(ratios)
	for i, name := range []string{"not remembered", "remembered"} {
		fmt.Printf("%s: %d changes, median %v, p99 %v; calm requests beside them median %v, p99 %v\n", name, len(change[i]), at(change[i], 0.5), at(change[i], 0.99), at(calm[i], 0.5), at(calm[i], 0.99))
	}
	fmt.Printf("processor time of three doors a request, remembered against not: %.3f in the median of %d rounds (%.3f to %.3f)\n", ratios[len(ratios)/2], rounds, ratios[0], ratios[len(ratios)-1])
	return nil
}
