package main

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// load describes a load on a server.
type load struct {
	address     string
	connections int
	// request returns the n-th request of a connection. Connections and their requests are numbered from 0.
	request func(connection, n int) []byte
	// readAnswer reads one response and returns whether the request was served.
	readAnswer func(*bufio.Reader) (served bool, err error)
	// rate is the number of requests per second on all connections; 0 means as fast as responses arrive.
	rate     float64
	duration time.Duration
}

// loadResult is the result of a load.
type loadResult struct {
	// answered is the number of responses, and unserved the number of requests among them that were not served.
	answered int
	unserved int
	// latencies is unsorted.
	latencies []time.Duration
}

// perSecond returns the rate of responses over the duration of the load.
func (r *loadResult) perSecond(duration time.Duration) float64 {
	return float64(r.answered) / duration.Seconds()
}

// p50 returns the median latency, or 0 if there was no response.
func (r *loadResult) p50() time.Duration { return percentile(r.latencies, 50) }

// p99 returns the 99th percentile of the latency, or 0 if there was no response.
func (r *loadResult) p99() time.Duration { return percentile(r.latencies, 99) }

// run sends the requests on all connections and sums up their results. The error joins those of all connections.
func (l *load) run() (total loadResult, err error) {
	var mu sync.Mutex
	var running sync.WaitGroup
	interval := time.Duration(0)
	if l.rate > 0 {
		interval = time.Duration(float64(l.connections) / l.rate * float64(time.Second))
	}
	end := time.Now().Add(l.duration)
	for connection := range l.connections {
		running.Go(func() {
			offset := interval * time.Duration(connection) / time.Duration(l.connections)
			result, connectionErr := l.runConnection(connection, interval, offset, end)
			mu.Lock()
			defer mu.Unlock()
			total.answered += result.answered
			total.unserved += result.unserved
			total.latencies = append(total.latencies, result.latencies...)
			err = errors.Join(err, connectionErr)
		})
	}
	running.Wait()
	return total, err
}

// runConnection sends requests on one connection, one at a time, until end. If interval is 0 it sends them as fast as
// responses arrive, otherwise at the given interval, the first one after offset. The latency of a request that is sent
// late counts from its due time.
func (l *load) runConnection(
	connection int, interval, offset time.Duration, end time.Time,
) (result loadResult, err error) {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		return result, err
	}
	defer func() { _ = conn.Close() }() // all responses have been read
	answers := bufio.NewReader(conn)
	due := time.Now().Add(offset)
	for n := 0; time.Now().Before(end); n++ {
		start := time.Now()
		if interval > 0 {
			time.Sleep(due.Sub(start))
			start = due
			due = due.Add(interval)
		}
		if _, err := conn.Write(l.request(connection, n)); err != nil {
			return result, err
		}
		served, err := l.readAnswer(answers)
		if err != nil {
			return result, err
		}
		result.answered++
		if !served {
			result.unserved++
		}
		result.latencies = append(result.latencies, time.Since(start))
	}
	return result, nil
}

// percentile sorts durations and returns the given percentile, from 0 to 100, or 0 if there are no durations.
func percentile(durations []time.Duration, percent int) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, len(durations)*percent/100)]
}

// median returns the upper median of the values. There must be at least one.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
