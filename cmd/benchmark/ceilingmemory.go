package main

import (
	"fmt"
	"runtime"
	"time"

	"gapgap/internal/simulator"
)

const (
	// knownAccounts is the number of accounts that send one request each.
	knownAccounts = 100_000
	// activeAccounts is the number of accounts that then send many requests each.
	activeAccounts = 1000
	// activeRequests is the number of requests of each active account.
	activeRequests = 20
)

// ceilingMemory is the memory that a gateway uses per account, in bytes.
type ceilingMemory struct {
	bytesPerKnown float64
	// bytesPerActive is the additional memory of an active account compared to a known one.
	bytesPerActive float64
}

// measureCeilingMemory measures the memory of a gateway with leased or evenly shared ceilings.
func measureCeilingMemory(leaseCeilings bool) (ceilingMemory, error) {
	world := simulator.New(1, 10)
	gateway := world.AddGateway(ceilingSettings(2, leaseCeilings))
	if err := gateway.Start(); err != nil {
		return ceilingMemory{}, err
	}
	start := heapBytes()
	requestFromAccounts(world, gateway, knownAccounts, 1)
	known := heapBytes()
	requestFromAccounts(world, gateway, activeAccounts, activeRequests)
	active := heapBytes()
	runtime.KeepAlive(world)
	return ceilingMemory{
		bytesPerKnown:  (known - start) / knownAccounts,
		bytesPerActive: max(0, active-known) / activeAccounts,
	}, nil
}

// requestFromAccounts submits the given number of requests for each of the given number of accounts.
func requestFromAccounts(world *simulator.World, gateway *simulator.Gateway, accounts, requests int) {
	for account := range accounts {
		for range requests {
			gateway.Submit(&simulator.Request{
				Customer:  fmt.Sprint(account),
				Units:     1,
				AdmitOnly: true,
				TimeLeft:  ceilingRequestTimeout,
			})
		}
		world.Run(world.Now + 100*time.Microsecond)
	}
	world.Run(world.Now + time.Second)
}

// heapBytes returns the size of all live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // frees the objects whose finalizers the first collection queued
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}
