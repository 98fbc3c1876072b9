package proxy

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Timing of a shutdown.
const (
	// AcceptAfterTerm is how long new connections are still accepted after the termination signal.
	AcceptAfterTerm = 500 * time.Millisecond
	// AnswerMargin is added to the longest client timeout to let the last answers be delivered.
	AnswerMargin = 100 * time.Millisecond
	// drainInterval is how often a shutdown checks whether it is complete.
	drainInterval = 10 * time.Millisecond
)

// Intervals of periodic work.
const (
	sweepInterval   = time.Second
	publishInterval = 100 * time.Millisecond
	// idleWait bounds a wait of the loop when there is nothing to do.
	idleWait = time.Hour
)

// maxTasksPerTurn bounds the tasks that the loop of a pool runs per turn, in addition to the first. Turns are short
// because pools share the CPU.
const maxTasksPerTurn = 8

// Run serves requests of the frontends until the context ends, then completes the accepted requests and returns. The
// calling goroutine becomes the event loop.
func (p *Proxy) Run(ctx context.Context, frontends ...Frontend) {
	defer p.start()()
	for _, f := range frontends {
		f.Serve()
		defer f.CloseListeners()
	}
	p.serveUntil(ctx, frontends)
}

// Serve runs the proxy as one of several pools until stop is closed. The frontends are run by the service. The calling
// goroutine becomes the event loop.
func (p *Proxy) Serve(stop <-chan struct{}) {
	defer p.start()()
	for stopped := false; !stopped; {
		var first func()
		first, stopped = p.Sleep(idleWait, stop)
		began := p.Scheduler.Enter()
		p.RunPending(first, maxTasksPerTurn)
		p.Step()
		p.Scheduler.Leave(began)
	}
}

// start prepares the proxy for serving and starts its periodic work. The returned function closes the clients of
// external systems and the loop.
func (p *Proxy) start() (end func()) {
	p.Trace.Line("settings", "%s", strings.ReplaceAll(fmt.Sprintf("%+v", p.Rules().Settings), " ", ","))
	p.endpointSource.Known()
	p.importHandover()
	p.Step()
	p.endpointSource.Follow(p.endpointSource.Addr())
	p.Every(sweepInterval, func() {
		p.upstream.Sweep()
		p.counter.Sweep()
	})
	p.publishStats()
	p.Every(publishInterval, p.publishStats)
	return func() {
		p.endpointSource.Stop()
		p.counter.Close()
		p.upstream.Close()
		p.Close()
	}
}

// serveUntil runs tasks, due timers and steps until the shutdown is complete.
func (p *Proxy) serveUntil(ctx context.Context, frontends []Frontend) {
	signal := ctx.Done()
	var closeListenersAt, giveUpAt time.Duration // on the loop's clock; 0: not shutting down
	for {
		limit := idleWait
		if closeListenersAt > 0 {
			limit = drainInterval
		}
		if p.Wait(limit, signal) {
			signal = nil
			p.log.Info("ending")
			closeListenersAt = p.Now() + AcceptAfterTerm
			giveUpAt = closeListenersAt + p.LongestTimeout() + AnswerMargin
		}
		p.Step()
		// Once another process has taken over, no client connects to this one any more.
		now := p.Now()
		if closeListenersAt == 0 || now < closeListenersAt && !p.handedOver {
			continue
		}
		if drain(frontends) || now >= giveUpAt {
			p.log.Info("ended", "unanswered", p.Unanswered())
			return
		}
	}
}

// drain closes all listeners and idle connections and reports whether no connection is left.
func drain(frontends []Frontend) bool {
	drained := true
	for _, f := range frontends {
		f.CloseListeners()
	}
	for _, f := range frontends {
		drained = f.Drain() && drained
	}
	return drained
}
