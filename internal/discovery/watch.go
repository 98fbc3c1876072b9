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

// readBufferBytes is how much of a stream is read at once.
const readBufferBytes = 4 << 10

// errHalfList says that a list began and did not come to its end.
var errHalfList = errors.New("half a list")

// run watches the list until the context ends. It is the goroutine of one Follow.
func (w *Watch) run(ctx context.Context, address string, index int64, epoch int) {
	afterEnd := backoff.Backoff{Policy: w.afterEnd}
	afterRejection := backoff.Backoff{Policy: w.afterRejection}
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(epoch)))
	s := stream{watch: w, address: address, index: index, epoch: epoch, calls: newCallInterval(),
		listTimeout: listTimeout}
	for ctx.Err() == nil {
		gotList, err := s.follow(ctx)
		switch {
		case gotList:
			afterEnd.Reset()
			afterRejection.Reset()
			s.listTimeout = listTimeout
		case errors.Is(err, errHalfList):
			s.listTimeout = min(2*s.listTimeout, maxListTimeout)
		}
		pause := pushedPause
		if errors.Is(err, errRejected) {
			pause = afterRejection.Next(rng)
		} else if !w.cfg.Pushed {
			pause = afterEnd.Next(rng)
		}
		w.log.Debug("watch ended", "error", err, "pause", pause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// stream is what one Follow goes on with from one HTTP watch to the next.
type stream struct {
	watch   *Watch
	address string
	// index is that of the last list read.
	index int64
	epoch int
	calls callInterval
	// listTimeout is how long the next list may take from its first byte to its last.
	listTimeout time.Duration
}

// follow follows one HTTP watch to its end. It tells whether a list came whole.
func (s *stream) follow(ctx context.Context) (gotList bool, err error) {
	url := fmt.Sprintf("%s?stream=1&index=%d", listURL(s.address), s.index)
	response, cancel, err := s.watch.open(ctx, &s.calls, url)
	if err != nil {
		return false, err
	}
	defer cancel()
	defer closeBody(response)
	// A machine that has fallen silent ends no connection.
	silence := time.AfterFunc(signTimeout, cancel)
	defer silence.Stop()
	return s.read(response.Body, silence)
}

// read reads lists until the stream ends. The silence timer is put off by signs of life between lists. Once a list has
// begun it must end in time, however its bytes come.
func (s *stream) read(body io.Reader, silence *time.Timer) (gotList bool, err error) {
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
		switch {
		case frames.isInside() && (!wasInside || frames.fresh):
			silence.Reset(s.listTimeout)
		case n > 0 && !frames.isInside():
			silence.Reset(signTimeout)
		}
		if err != nil && frames.isInside() {
			return gotList, fmt.Errorf("%w: %w", errHalfList, err)
		}
		if err != nil {
			return gotList, err
		}
	}
}

// handleBytes cuts bytes into lists and posts those that are not older than the last one.
func (s *stream) handleBytes(frames *framer, b []byte) (gotList bool, err error) {
	for len(b) > 0 {
		list, used, err := frames.next(b)
		if err != nil {
			return gotList, err
		}
		b = b[used:]
		if list == nil || list.Index < s.index {
			continue
		}
		s.index = list.Index
		gotList = true
		s.post(*list)
	}
	return gotList, nil
}

// post hands a list to the loop. One of an older watch is ignored there: the next watch brings it again.
func (s *stream) post(list EndpointList) {
	s.watch.loop.Post(func() {
		if s.epoch == s.watch.epoch {
			s.watch.handleList(list)
		}
	})
}
