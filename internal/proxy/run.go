package proxy

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// drainInterval is how often a shutdown checks whether it is complete.
const drainInterval = 10 * time.Millisecond

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
// external systems and the loop, and answers the requests that are left.
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
		p.leftUnanswered = p.countOpen()
		p.stopped = true
		p.upstream.Close()
		p.Close()
		p.answerLeft()
	}
}

// serveUntil runs tasks, due timers and steps until the shutdown is complete.
func (p *Proxy) serveUntil(ctx context.Context, frontends []Frontend) {
	signal := ctx.Done()
	var shutdown *Shutdown // nil: not shutting down
	for {
		limit := idleWait
		if shutdown != nil {
			limit = drainInterval
		}
		if p.Wait(limit, signal) {
			signal = nil
			p.log.Info("ending")
			shutdown = NewShutdown(p.Now(), p.LongestTimeout())
		}
		p.Step()
		// Once another process has taken over, no client connects to this one any more.
		if shutdown != nil && shutdown.Advance(p.Now(), p.handedOver, frontends) {
			p.log.Info("ended", "unanswered", p.Unanswered())
			return
		}
	}
}
