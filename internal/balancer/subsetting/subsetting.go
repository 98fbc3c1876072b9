// Package subsetting chooses the endpoints that each of many gateways normally uses. A gateway then has enough evidence
// about its endpoints and keeps few connections, and each endpoint is used by few gateways. The package does no input
// or output.
//
// The choice is made per endpoint by rendezvous hashing (Thaler and Ravishankar, 1998): the endpoint is used by a fixed
// number of gateways, those with the lowest hashes of gateway index and endpoint name. So all endpoints have the same
// number of gateways; with subsets drawn independently by each gateway that number would vary by a fifth. Adding or
// removing an endpoint does not affect the others, and the gateways need not have identical endpoint lists. The number
// of endpoints per gateway varies, which is harmless.
package subsetting

import (
	"hash/fnv"
	"slices"
)

// minGatewaysPerEndpoint is the minimum number of gateways that use an endpoint, if there are that many.
const minGatewaysPerEndpoint = 2

// GatewaysPerEndpoint returns the number of gateways that use each endpoint such that a gateway uses
// endpointsPerGateway endpoints on average. It returns all gateways if there are no more endpoints than that.
func GatewaysPerEndpoint(gateways, endpoints, endpointsPerGateway int) int {
	if endpoints <= endpointsPerGateway || gateways <= minGatewaysPerEndpoint || endpointsPerGateway <= 0 {
		return max(1, gateways)
	}
	needed := (gateways*endpointsPerGateway + endpoints - 1) / endpoints
	return min(gateways, max(minGatewaysPerEndpoint, needed))
}

// Uses reports whether the gateway with the given index, counted from 0, is one of the gatewaysPerEndpoint gateways
// that use the named endpoint. Gateways listed in dead by index are replaced by others; the live gateways that already
// use the endpoint keep it. An index out of range is taken modulo the number of gateways.
func Uses(name string, index, gateways, gatewaysPerEndpoint int, dead []int) bool {
	if gatewaysPerEndpoint >= gateways {
		return true
	}
	seed := hashName(name)
	index = ((index % gateways) + gateways) % gateways
	own := mix(seed, index)
	before := 0
	for other := range gateways {
		if slices.Contains(dead, other) {
			continue
		}
		hash := mix(seed, other)
		if hash > own || hash == own && other >= index {
			continue
		}
		before++
		if before >= gatewaysPerEndpoint {
			return false
		}
	}
	return true
}

// hashName returns the FNV-1a hash of a name.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // writing to a hash never fails
	return h.Sum64()
}

// mix combines the hash of a name with an index, using the finalizer of SplitMix64.
func mix(seed uint64, index int) uint64 {
	z := seed + uint64(index+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
