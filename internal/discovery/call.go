package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// errRejected says that discovery answers and has no capacity for this gateway's watch.
var errRejected = errors.New("discovery turns this door away")

// listURL is where the list is watched.
func listURL(address string) string { return "http://" + address + "/catalog/members" }

// open asks for a watch until one is there, and returns its response with what ends it. Where lists are pushed, further
// calls are made beside one that is not answered, up to maxParallelCalls, and the first that is answered counts: open
// then returns an error only when a call is rejected or the context ends.
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
			call, isOpen := calls.take(result)
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
				next.Reset(pushedPause) // the agent can be reached, or is about to
			}
		}
	}
}

// parallelCalls are calls for one watch of which the first that is answered counts. The goroutine that watches owns it;
// each call has a goroutine that ends with its result.
type parallelCalls struct {
	watch *Watch
	url   string
	// made counts all calls.
	made    int
	open    map[int]openCall
	results chan callResult
	// over is closed when no result is wanted any more.
	over chan struct{}
}

// openCall is a call without a result.
type openCall struct {
	cancel    context.CancelFunc
	startedAt time.Time
}

// callResult is the result of a call. The response is nil if err is not.
type callResult struct {
	number   int
	response *http.Response
	err      error
}

// newParallelCalls returns a set of no calls.
func newParallelCalls(w *Watch, url string) *parallelCalls {
	return &parallelCalls{
		watch:   w,
		url:     url,
		open:    map[int]openCall{},
		results: make(chan callResult),
		over:    make(chan struct{}),
	}
}

// start makes one more call, and gives up those that are too old or too many.
func (c *parallelCalls) start(ctx context.Context) {
	for number, call := range c.open {
		if number <= c.made-maxParallelCalls || time.Since(call.startedAt) >= maxParallelWait {
			call.cancel()
			delete(c.open, number)
		}
	}
	number := c.made
	c.made++
	own, cancel := context.WithCancel(ctx)
	c.open[number] = openCall{cancel: cancel, startedAt: time.Now()}
	go func() {
		response, err := c.watch.get(own, c.url)
		select {
		case c.results <- callResult{number: number, response: response, err: err}:
		case <-c.over:
			closeBody(response)
		}
	}()
}

// take returns the call of a result. It returns false if the call was given up: then its response is closed.
func (c *parallelCalls) take(result callResult) (openCall, bool) {
	call, isOpen := c.open[result.number]
	delete(c.open, result.number)
	if !isOpen {
		closeBody(result.response)
	}
	return call, isOpen
}

// cancelAll gives up all calls that are open.
func (c *parallelCalls) cancelAll() {
	close(c.over)
	for _, call := range c.open {
		call.cancel()
	}
}

// get makes one call. Its response must be closed.
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

// closeBody closes the body of a response; nil is ignored. Nobody reads it any more, so its error says nothing.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}
