package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"gapgap/internal/backoff"
)

// readBufferBytes is the size of the read buffer of a stream.
const readBufferBytes = 4 << 10

// errIncompleteList is wrapped by the error of a stream that ended within a list.
var errIncompleteList = errors.New("incomplete list")

// run watches the list until the context ends. It runs in its own goroutine, one for each call of Follow.
func (w *Watch) run(ctx context.Context, address string, index int64, epoch int) {
	endedBackoff := backoff.Backoff{Policy: w.endedBackoff}
	rejectedBackoff := backoff.Backoff{Policy: w.rejectedBackoff}
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(epoch)))
	s := stream{watch: w, address: address, index: index, epoch: epoch, callInterval: newCallInterval(),
		listTimeout: listTimeout}
	for ctx.Err() == nil {
		gotList, err := s.follow(ctx)
		switch {
		case gotList:
			endedBackoff.Reset()
			rejectedBackoff.Reset()
			s.listTimeout = listTimeout
		case errors.Is(err, errIndexLost):
			s.forgetIndex()
		case errors.Is(err, errIncompleteList):
			s.listTimeout = min(2*s.listTimeout, maxListTimeout)
		}
		pause := pushedPause
		if errors.Is(err, errRejected) {
			pause = rejectedBackoff.Next(rng)
		} else if !w.cfg.Pushed {
			pause = endedBackoff.Next(rng)
		}
		w.log.Debug("watch ended", "error", err, "pause", pause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// stream is the state that one call of Follow keeps across successive HTTP watches.
type stream struct {
	watch   *Watch
	address string
	// index is the index of the last list read.
	index        int64
	lostIndex    lostIndex
	epoch        int
	callInterval callInterval
	// listTimeout is how long the next list may take from its first byte to its last.
	listTimeout time.Duration
}

// follow reads one HTTP watch to its end. It reports whether a complete list was received.
func (s *stream) follow(ctx context.Context) (gotList bool, err error) {
	url := fmt.Sprintf("%s?stream=1&index=%d", listURL(s.address), s.index)
	response, cancel, err := s.watch.open(ctx, &s.callInterval, url)
	if err != nil {
		return false, err
	}
	defer cancel()
	defer closeBody(response)
	s.lostIndex.beginWatch()
	// A machine that has stopped responding does not close its connections.
	deadline := time.AfterFunc(silenceTimeout, cancel)
	defer deadline.Stop()
	return s.read(response.Body, deadline)
}

// read reads lists until the stream ends. Between lists any bytes, such as keep-alives, extend the deadline by
// silenceTimeout. Once a list has begun, the deadline is listTimeout after its start, however its bytes arrive.
func (s *stream) read(body io.Reader, deadline *time.Timer) (gotList bool, err error) {
	var frames framer
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		wasInside := frames.isInside()
		got, frameErr := s.handleBytes(&frames, buffer[:n])
		gotList = gotList || got
		if frameErr != nil {
			return gotList, fmt.Errorf("watch: %w", frameErr)
		}
		if s.lostIndex.isLost() {
			return false, errIndexLost
		}
		switch {
		case frames.isInside() && (!wasInside || frames.listStarted):
			deadline.Reset(s.listTimeout)
		case n > 0 && !frames.isInside():
			deadline.Reset(silenceTimeout)
		}
		if err != nil && frames.isInside() {
			return gotList, fmt.Errorf("%w: %w", errIncompleteList, err)
		}
		if err != nil {
			return gotList, err
		}
	}
}

// handleBytes splits bytes into lists and posts those that are not older than the last one.
func (s *stream) handleBytes(frames *framer, b []byte) (gotList bool, err error) {
	for len(b) > 0 {
		list, used, err := frames.next(b)
		if err != nil {
			return gotList, err
		}
		b = b[used:]
		if list == nil {
			continue
		}
		if list.Index < s.index {
			s.lostIndex.recordLower()
			continue
		}
		s.lostIndex.recordCurrent()
		s.index = list.Index
		gotList = true
		s.post(*list)
	}
	return gotList, nil
}

// forgetIndex makes the next watch begin with the whole list, whatever its index.
func (s *stream) forgetIndex() {
	s.watch.log.Warn("discovery has lost its index: its list is taken from the beginning", "index", s.index)
	s.index = 0
	s.lostIndex = lostIndex{}
	s.watch.loop.Post(func() {
		if s.epoch == s.watch.epoch {
			s.watch.index = 0
		}
	})
}

// post posts a list to the event loop, which ignores lists of an earlier Follow: the current one receives them again.
func (s *stream) post(list EndpointList) {
	s.watch.loop.Post(func() {
		if s.epoch == s.watch.epoch {
			s.watch.handleList(list)
		}
	})
}
