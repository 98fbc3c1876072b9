package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// errRejected is wrapped by the error for an answer with another status than 200: discovery is reachable but has no
// capacity for this gateway's watch.
var errRejected = errors.New("discovery rejected the watch")

// listURL returns the URL at which the list is watched.
func listURL(address string) string { return "http://" + address + "/catalog/members" }

// open starts a watch and returns its response, with a function that ends the watch. If lists are pushed, open makes
// further calls in parallel while none is answered, up to maxParallelCalls, and uses the first one that is answered. It
// then returns an error only if a call is rejected or the context ends.
func (w *Watch) open(ctx context.Context, interval *callInterval, url string) (*http.Response,
	context.CancelFunc, error) {
	calls := newParallelCalls(w, url)
	defer calls.cancelAll()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-next.C:
			if !w.cfg.Pushed && calls.made > 0 {
				return nil, nil, context.DeadlineExceeded
			}
			calls.start(ctx)
			if w.cfg.Pushed {
				next.Reset(interval.next())
			} else {
				next.Reset(answerTimeout)
			}
		case result := <-calls.results:
			call, isOpen := calls.finish(result)
			switch {
			case !isOpen:
			case result.err == nil:
				interval.recordAnswer(time.Since(call.startedAt))
				return result.response, call.cancel, nil
			default:
				call.cancel()
				if !w.cfg.Pushed || errors.Is(result.err, errRejected) {
					return nil, nil, result.err
				}
				next.Reset(pushedPause) // the call failed early: the agent is reachable or about to be
			}
		}
	}
}

// parallelCalls is a set of calls for one watch, of which the first one that is answered is used. The watch goroutine
// owns it. Each call runs in its own goroutine, which ends when the result is delivered or discarded.
type parallelCalls struct {
	watch *Watch
	url   string
	// made counts all calls.
	made    int
	open    map[int]openCall
	results chan callResult
	// done is closed when no further results are needed.
	done chan struct{}
}

// openCall is a call that has no result yet.
type openCall struct {
	cancel    context.CancelFunc
	startedAt time.Time
}

// callResult is the result of a call. The response is nil if err is non-nil.
type callResult struct {
	number   int
	response *http.Response
	err      error
}

// newParallelCalls returns an empty set of calls.
func newParallelCalls(w *Watch, url string) *parallelCalls {
	return &parallelCalls{
		watch:   w,
		url:     url,
		open:    map[int]openCall{},
		results: make(chan callResult),
		done:    make(chan struct{}),
	}
}

// start starts another call, and cancels those that exceed maxParallelCalls or maxParallelWait.
func (c *parallelCalls) start(ctx context.Context) {
	for number, call := range c.open {
		if number <= c.made-maxParallelCalls || time.Since(call.startedAt) >= maxParallelWait {
			call.cancel()
			delete(c.open, number)
		}
	}
	number := c.made
	c.made++
	callCtx, cancel := context.WithCancel(ctx)
	c.open[number] = openCall{cancel: cancel, startedAt: time.Now()}
	go func() {
		response, err := c.watch.get(callCtx, c.url)
		select {
		case c.results <- callResult{number: number, response: response, err: err}:
		case <-c.done:
			closeBody(response)
		}
	}()
}

// finish removes and returns the call of a result. If the call was canceled, finish closes the response and returns
// false.
func (c *parallelCalls) finish(result callResult) (openCall, bool) {
	call, isOpen := c.open[result.number]
	delete(c.open, result.number)
	if !isOpen {
		closeBody(result.response)
	}
	return call, isOpen
}

// cancelAll cancels all open calls.
func (c *parallelCalls) cancelAll() {
	close(c.done)
	for _, call := range c.open {
		call.cancel()
	}
}

// get makes one call. The caller must close the body of the response.
func (w *Watch) get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		closeBody(response)
		return nil, fmt.Errorf("%w: %s", errRejected, response.Status)
	}
	return response, nil
}

// closeBody closes the body of a response, which may be nil. The error is ignored because the body is no longer read.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}
