package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gapgap/internal/fake/rig"
)

// trouble is one row of the table of doors that share a ceiling.
type trouble struct {
	name  string
	do    func(*rig.Rig)
	doors []int // at which the account floods
}

const troubleLasts = 12 * time.Second

var troubles = []trouble{
	{"all alive", func(*rig.Rig) {}, []int{0, 1, 2}},
	{"one killed, flood at the other two", func(r *rig.Rig) { r.Doors[2].Kill() }, []int{0, 1}},
	{"one stopped, flood at the other two", func(r *rig.Rig) { r.Doors[2].Stop() }, []int{0, 1}},
	{"counter gone, all alive", func(r *rig.Rig) { r.Counter.Close() }, []int{0, 1, 2}},
	{"counter gone, flood at one door", func(r *rig.Rig) { r.Counter.Close() }, []int{0}},
	{"counter gone, one door killed", func(r *rig.Rig) { r.Counter.Close(); r.Doors[2].Kill() }, []int{0, 1}},
	{"counter gone, one door cut off, flood there", func(r *rig.Rig) { r.Counter.Close(); r.Split(2) }, []int{2}},
	{"one door cut off, flood there", func(r *rig.Rig) { r.Split(2) }, []int{2}},
}

// curve plays one trouble three seconds into a flood, and returns the units let through by then, a point for each 100 ms.
func curve(program string, fleet bool, in, plan string, counter bool, do func(*rig.Rig)) (plotter.XYs, error) {
	dir, err := os.MkdirTemp("", "members")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r, err := rig.Start(rig.Config{Program: program, Dir: dir, Doors: 3, Fleet: fleet, Plan: plan, InFleet: in})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	time.Sleep(5 * time.Second)
	if !counter {
		r.Counter.Close()
	}
	const at, lasts = 3 * time.Second, 15 * time.Second
	ctx, stop := context.WithTimeout(context.Background(), lasts)
	defer stop()
	time.AfterFunc(at, func() { do(r) })
	b := r.Flood(ctx, 10*time.Millisecond, 0, 1, 2)
	var points plotter.XYs
	for t := time.Duration(0); t <= lasts; t += 100 * time.Millisecond {
		points = append(points, plotter.XY{X: (t - at).Seconds(), Y: float64(b.In(0, t))})
	}
	return points, nil
}

// curves draws what three doors let through around a death, a stop and a cut, before and with a fleet.
func curves(before, now, file string) error {
	p := plot.New()
	p.Title.Text = "Units of a ceiling of 10 a second let through by three doors, one of them killed, stopped or cut off at 0; no counter"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "units so far"
	p.Legend.Top, p.Legend.Left = true, true
	allowed := plotter.XYs{{X: -3, Y: 20}, {X: 12, Y: 170}}
	l, err := plotter.NewLine(allowed)
	if err != nil {
		return err
	}
	l.Dashes = plotutil.Dashes(2)
	p.Add(l)
	p.Legend.Add("the ceiling's store", l)
	yields := rig.Plan + "when_cut_off = \"yield\"\n"
	n := 0
	for _, c := range []struct {
		name, program, plan string
		fleet               bool
		do                  func(*rig.Rig)
	}{
		{"killed, before", before, rig.Plan, false, func(r *rig.Rig) { r.Doors[2].Kill() }},
		{"killed, quota", now, rig.Plan, true, func(r *rig.Rig) { r.Doors[2].Kill() }},
		{"killed, yield", now, yields, true, func(r *rig.Rig) { r.Doors[2].Kill() }},
		{"stopped, before", before, rig.Plan, false, func(r *rig.Rig) { r.Doors[2].Stop() }},
		{"stopped, yield", now, yields, true, func(r *rig.Rig) { r.Doors[2].Stop() }},
		{"cut off, yield", now, yields, true, func(r *rig.Rig) { r.Split(2) }},
	} {
		points, err := curve(c.program, c.fleet, "", c.plan, false, c.do)
		if err != nil {
			return err
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(n)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.name, line)
		last, five := points[len(points)-1], points[80]
		fmt.Printf("%s: %.0f in all; from 5 s after it on %.0f of 70 (%.2f)\n", c.name, last.Y, last.Y-five.Y, (last.Y-five.Y)/70)
		n++
	}
	return p.Save(11*vg.Inch, 6*vg.Inch, file)
}

// pair starts two sets of doors that run side by side, and gives what ends them.
func pair(program string, cfgs ...rig.Config) (rigs [2]*rig.Rig, end func(), err error) {
	var ends []func()
	end = func() {
		for _, f := range slices.Backward(ends) {
			f()
		}
	}
	if program, err = filepath.Abs(program); err != nil {
		return rigs, nil, err
	}
	for i, c := range cfgs {
		if c.Dir, err = os.MkdirTemp("", "benchmark"); err != nil {
			break
		}
		ends = append(ends, func() { os.RemoveAll(c.Dir) })
		c.Program = program
		if rigs[i], err = rig.Start(c); err != nil {
			break
		}
		ends = append(ends, rigs[i].Close)
	}
	if err != nil {
		end()
		return rigs, nil, err
	}
	time.Sleep(3 * time.Second) // their parts and shares are there
	return rigs, end, nil
}

// cost measures the processor's time of a door a request, in a fleet of three and alone. Both run all the time, and the load goes from the
// one to the other and back, so that what the machine does meanwhile falls on both.
func cost(program string, lasts time.Duration, rounds int) error {
	plan := "rate = 1000000.0\nburst = 1000000.0\n"
	rigs, end, err := pair(program, rig.Config{Doors: 3, Plan: plan}, rig.Config{Doors: 3, Fleet: true, Plan: plan})
	if err != nil {
		return err
	}
	defer end()
	var used [2]time.Duration
	var served [2]int
	var ratios []float64
	for n := range rounds {
		var each [2]float64
		for k := range rigs {
			i := (k + n) % 2 // whoever goes first changes
			before := rigs[i].Doors[0].CPU()
			ctx, stop := context.WithTimeout(context.Background(), lasts)
			b := rigs[i].Flood(ctx, 0, 0, 0, 0, 0)
			stop()
			took := rigs[i].Doors[0].CPU() - before
			each[i] = took.Seconds() * 1e6 / float64(len(b.Served))
			used[i], served[i] = used[i]+took, served[i]+len(b.Served)
		}
		ratios = append(ratios, each[1]/each[0])
	}
	slices.Sort(ratios)
	var all [2]float64
	for i := range all {
		all[i] = used[i].Seconds() * 1e6 / float64(served[i])
	}
	fmt.Printf("off %.1f us an answer (%d), on %.1f us (%d): %.3f over all; by round %.3f in the median, quarters %.3f and %.3f\n", all[0], served[0],
		all[1], served[1], all[1]/all[0], ratios[len(ratios)/2], ratios[len(ratios)/4], ratios[len(ratios)*3/4])
	return nil
}

// members prints what of a ceiling three doors let through around each trouble: in all, and from the fifth second on.
func members(program string, fleet bool, rows string, nodes, inFleet []string) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	fmt.Println("| trouble, right after the start | settings | served of the ceiling | from 5 s on |\n| --- | --- | --- | --- |")
	for _, t := range troubles {
		if rows != "" && rows != t.name {
			continue
		}
		for _, node := range nodes {
			for _, in := range inFleet {
				dir, err := os.MkdirTemp("", "members")
				if err != nil {
					return err
				}
				defer os.RemoveAll(dir)
				r, err := rig.Start(rig.Config{Program: program, Dir: dir, Doors: 3, Fleet: fleet, Node: node, Plan: rig.Plan, InFleet: in})
				if err != nil {
					return err
				}
				time.Sleep(3 * time.Second) // an idle fleet, whose stores fill
				t.do(r)
				ctx, stop := context.WithTimeout(context.Background(), troubleLasts)
				b := r.Flood(ctx, 5*time.Millisecond, t.doors...)
				stop()
				r.Close()
				late := b.In(5*time.Second, troubleLasts)
				fmt.Printf("| %s | %s %s | %d of %d (%.2f) | %d of %d (%.2f) | over %.1f\n", t.name, node, in, len(b.Served), 140, float64(len(b.Served))/140,
					late, 70, float64(late)/70, b.Worst(10, 20))
			}
		}
	}
	return nil
}
