package main

import (
	"fmt"
	"runtime"
	"time"

	"gapgap/internal/simulator"
)

const (
	// knownAccounts is how many accounts a gateway has had one request of.
	knownAccounts = 100_000
	// activeAccounts is how many accounts it then has many requests of.
	activeAccounts = 1000
	// activeRequests is how many requests each of those makes.
	activeRequests = 20
)

// ceilingMemory is what accounts take of a gateway's memory, in bytes.
type ceilingMemory struct {
	bytesPerKnown float64
	// bytesPerActive is what an active account takes beyond a known one.
	bytesPerActive float64
}

// measureCeilingMemory measures a gateway whose ceilings are leased or shared evenly.
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

// requestFromAccounts makes a number of requests of each of a number of accounts.
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

// heapBytes is the size of all live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // what the first one has queued for finalizers
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}
