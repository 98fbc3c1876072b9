package main

import (
	"errors"
	"fmt"
	"sync"
)

const (
	// quietRate is the rate of the quiet account's checks, per second.
	quietRate = 200.0
	// floodRate is the rate of the flood's requests over both protocols, per second.
	floodRate = 20 * floodCeiling
	// quietConnections is the number of connections of the quiet account.
	quietConnections = 8
	// floodCheckConnections and floodRESP2Connections are the numbers of connections of the flooding account.
	floodCheckConnections = 8
	floodRESP2Connections = 64
)

// compareFloods measures a quiet account's latency alternately without and with a flood from another account.
func (b *forwardAuthBenchmark) compareFloods() error {
	var ratios []float64
	for range b.rounds {
		b.intervalNumber++
		alone, err := b.measureQuiet()
		if err != nil {
			return err
		}
		b.intervalNumber++
		beside, flood, err := b.measureQuietBesideFlood()
		if err != nil {
			return err
		}
		fmt.Printf("quiet at %v/s: p99 %v alone, %v beside a flood of %d checks (%d rejected)\n",
			quietRate, alone.p99(), beside.p99(), flood.answered, flood.unserved)
		ratios = append(ratios, beside.p99().Seconds()/alone.p99().Seconds())
	}
	fmt.Printf("a quiet account's p99 beside a flood at %.0f times a ceiling: %.2f (wanted: 1.3 or less)\n",
		floodRate/floodCeiling, median(ratios))
	return nil
}

// measureQuiet sends checks of a quiet account at quietRate. It is an error if any of them is rejected.
func (b *forwardAuthBenchmark) measureQuiet() (loadResult, error) {
	checks := load{
		address:     b.gateway.addresses["http"],
		connections: quietConnections,
		request:     b.check,
		readAnswer:  readHTTP,
		rate:        quietRate,
		duration:    b.duration,
	}
	result, err := checks.run()
	if err != nil {
		return result, fmt.Errorf("flood: %w", err)
	}
	if result.unserved > 0 {
		return result, fmt.Errorf("%d of the quiet account's checks were not allowed", result.unserved)
	}
	return result, nil
}

// measureQuietBesideFlood runs measureQuiet while another account floods the gateway, half of it over each protocol. It
// also returns the result of the flood's checks.
func (b *forwardAuthBenchmark) measureQuietBesideFlood() (quiet, flood loadResult, err error) {
	checks := load{
		address:     b.gateway.addresses["http"],
		connections: floodCheckConnections,
		request:     b.floodCheck,
		readAnswer:  readHTTP,
		rate:        floodRate / 2,
		duration:    b.duration,
	}
	requests := load{
		address:     b.gateway.addresses["resp2"],
		connections: floodRESP2Connections,
		request:     floodRequest,
		readAnswer:  readRESP2,
		rate:        floodRate / 2,
		duration:    b.duration,
	}
	var running sync.WaitGroup
	var floodErr error
	running.Go(func() { flood, floodErr = checks.run() })
	running.Go(func() { _, _ = requests.run() }) // only the flood's checks are counted
	quiet, err = b.measureQuiet()
	running.Wait()
	if floodErr != nil {
		floodErr = fmt.Errorf("flood: %w", floodErr)
	}
	return quiet, flood, errors.Join(err, floodErr)
}

// floodCheck returns the n-th check of a connection of the flooding account.
func (b *forwardAuthBenchmark) floodCheck(connection, n int) []byte {
	return checkRequest(floodKey, fmt.Sprint(b.intervalNumber, "-", connection, "-", n))
}

// floodRequest returns the n-th RESP2 request of a connection of the flooding account.
func floodRequest(connection, n int) []byte {
	return resp2Request(floodCustomer, fmt.Sprint(connection, "-", n), requestAttributes)
}
