package main

import (
	"fmt"
	"image/color"
	"math"
	"runtime"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

// ceilingPlan is the plan of the case that was measured from outside.
var ceilingPlan = balancer.Plan{Rate: 5, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 10, CeilingBurst: 20}

func ceilingSettings(doors int, lend bool) balancer.Settings {
	return balancer.Settings{Gateways: doors, Resolution: 2 * time.Millisecond, MaxAttempts: 3, AllowCancel: true, SendRetryAfter: true,
		MaxRetryAfter: 5 * time.Second, DrainGrace: 250 * time.Millisecond, OverloadMultiple: 3, OverloadWindow: 3 * time.Second, SlowStartCapacity: 0.26,
		SlowStartDuration: 15 * time.Second, UseCounter: true, CounterTimeout: 50 * time.Millisecond, MaxRequestUnits: 1, LeaseCeilings: lend,
		Classes: []balancer.Class{{PriorityWeight: 1, LatencyObjective: time.Second, ClientTimeout: 3 * time.Second}}, Plans: []balancer.Plan{ceilingPlan}}
}

// ceilingRun floods one account at ten times its ceiling for a minute and tells what part of the ceiling was sent on from the
// fifth second on, and the counter calls a request that was sent on.
func ceilingRun(doors int, lend bool, door func(now time.Duration, n int) int) (part, calls float64, bySecond []float64, err error) {
	const lasts = 60
	w := simulator.New(1, 10)
	bySecond = make([]float64, lasts+1)
	for range doors {
		d := w.AddDoor(ceilingSettings(doors, lend))
		d.Sent = func(r *simulator.Request) { bySecond[int((w.Now-simulator.Start)/time.Second)] += r.Units }
		if err := d.Start(); err != nil {
			return 0, 0, nil, err
		}
	}
	n := 0
	var next func()
	next = func() {
		w.Doors[door(w.Now-simulator.Start, n)].Ask(&simulator.Request{Customer: "c", Units: 1, Grant: n%2 == 0, Left: 2 * time.Second})
		n++
		w.After(10*time.Millisecond, next)
	}
	w.After(0, next)
	w.Run(simulator.Start + lasts*time.Second)
	sum := 0.0
	for _, u := range bySecond[5:lasts] {
		sum += u
	}
	return sum / (ceilingPlan.CeilingRate * (lasts - 5)), float64(w.Counter.Calls) / max(1, sum), bySecond, nil
}

// ceilings prints the table and draws the plot.
func ceilings(file string) error {
	skews := []struct {
		name string
		door func(doors int) func(time.Duration, int) int
	}{
		{"even", func(doors int) func(time.Duration, int) int {
			return func(_ time.Duration, n int) int { return n / 2 % doors }
		}},
		{"80/20", func(doors int) func(time.Duration, int) int {
			return func(_ time.Duration, n int) int {
				if n%10 < 8 {
					return 0
				}
				return n / 10 % doors
			}
		}},
		{"all at one", func(int) func(time.Duration, int) int { return func(time.Duration, int) int { return 0 } }},
		{"moving each second", func(doors int) func(time.Duration, int) int {
			return func(now time.Duration, _ int) int { return int(now/time.Second) % 2 }
		}},
	}
	p := plot.New()
	p.Title.Text = "Part of a ceiling that is served, by skew of the demand over the front doors"
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Y.Label.Text = "part of the ceiling"
	p.Legend.Top = true
	var names []string
	fmt.Println("| doors | demand | even shares | lent | calls a request sent on, even shares | lent |\n| --- | --- | --- | --- | --- | --- |")
	var before, after plotter.Values
	for _, doors := range []int{2, 10, 100} {
		for _, s := range skews {
			even, evenCalls, _, err := ceilingRun(doors, false, s.door(doors))
			if err != nil {
				return err
			}
			lent, lentCalls, _, err := ceilingRun(doors, true, s.door(doors))
			if err != nil {
				return err
			}
			fmt.Printf("| %d | %s | %.2f | %.2f | %.2f | %.2f |\n", doors, s.name, even, lent, evenCalls, lentCalls)
			before, after = append(before, even), append(after, lent)
			names = append(names, fmt.Sprintf("%d, %s", doors, strings.TrimSuffix(s.name, " each second")))
		}
	}
	for i, v := range []plotter.Values{before, after} {
		bars, err := plotter.NewBarChart(v, vg.Points(12))
		if err != nil {
			return err
		}
		bars.Color, bars.Offset, bars.LineStyle.Color = plotutil.Color(i), vg.Points(float64(12*i-6)), color.Transparent
		p.Add(bars)
		p.Legend.Add([]string{"even shares", "lent"}[i], bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = math.Pi/5, -1
	if err := p.Save(11*vg.Inch, 5*vg.Inch, file); err != nil {
		return err
	}
	_, _, moved, err := ceilingRun(3, true, func(now time.Duration, _ int) int { return min(2, int(now/(20*time.Second))) })
	if err != nil {
		return err
	}
	fmt.Printf("demand that moves to a door that does not know the account, at 20 and 40 s, by second: %v and %v\n", moved[20:25], moved[40:45])
	for _, lend := range []bool{false, true} {
		each, known, err := ceilingMemory(lend)
		if err != nil {
			return err
		}
		fmt.Printf("memory, lent %v: %.0f bytes each of 100,000 known accounts, %.0f more of 1,000 active ones\n", lend, known, each)
	}
	return nil
}

// ceilingMemory is what an active account takes of a door's memory beyond a known one.
func ceilingMemory(lend bool) (active, known float64, err error) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	w := simulator.New(1, 10)
	d := w.AddDoor(ceilingSettings(2, lend))
	if err := d.Start(); err != nil {
		return 0, 0, err
	}
	start := heap()
	ask := func(n, times int) {
		for i := range n {
			for range times {
				d.Ask(&simulator.Request{Customer: fmt.Sprint(i), Units: 1, Grant: true, Left: 2 * time.Second})
			}
			w.Run(w.Now + 100*time.Microsecond)
		}
		w.Run(w.Now + time.Second)
	}
	ask(100_000, 1)
	all := heap()
	ask(1000, 20)
	now := heap()
	runtime.KeepAlive(w)
	return max(0, now-all) / 1000, (all - start) / 100_000, nil
}
