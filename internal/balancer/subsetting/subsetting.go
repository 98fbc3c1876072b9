// Package subsetting chooses which of many endpoints each of many gateways uses as a rule. A gateway then has
// evidence of those that it uses and keeps few connections, and an endpoint is used by few gateways. It does no input
// or output.
//
// The choice is made for each endpoint by rendezvous hashing (Thaler and Ravishankar, 1998): a fixed number of
// gateways use it, those whose hashes with its name are lowest. So all endpoints have the same number of gateways;
// subsets that each gateway draws for itself would miss that by a fifth. An endpoint that comes or goes changes
// nothing for the others, and gateways need not have the same list. The number of endpoints of a gateway varies,
// which does no harm.
package subsetting

import (
	"hash/fnv"
	"slices"
)

// minGatewaysPerEndpoint is the least number of gateways that use an endpoint, where there are as many.
const minGatewaysPerEndpoint = 2

// GatewaysPerEndpoint is the number of gateways that use each endpoint, for gateways that should use a number of
// endpoints each, in the mean. It is all gateways if there are no more endpoints than that.
func GatewaysPerEndpoint(gateways, endpoints, endpointsPerGateway int) int {
	if endpoints <= endpointsPerGateway || gateways <= minGatewaysPerEndpoint || endpointsPerGateway <= 0 {
		return max(1, gateways)
	}
	needed := (gateways*endpointsPerGateway + endpoints - 1) / endpoints
	return min(gateways, max(minGatewaysPerEndpoint, needed))
}

// Uses reports whether the gateway of an index, from 0, is among the gatewaysPerEndpoint that use the endpoint of a
// name. Others stand in for gateways that are dead, given by index; whoever used the endpoint goes on with it. An
// index outside the gateways counts modulo their number.
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

// hashName is the FNV-1a hash of a name.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return h.Sum64()
}

// mix is the hash of a name's hash and an index: the finalizer of SplitMix64.
func mix(seed uint64, index int) uint64 {
	z := seed + uint64(index+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
