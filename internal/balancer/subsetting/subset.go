// Package subsetting says which of many servers one of many doors uses as a rule, so that each door has evidence of
// those it uses and
// keeps few connections, and each server has few doors. It does no input or output.
//
// The choice is made from the server's side: of all doors those whose hashes with its name are lowest use it
// (rendezvous hashing, Thaler and Ravishankar 1998), always the same number. So every server has exactly as many doors
// as any other, which subsets drawn by each door would miss by a fifth; a server that comes or goes changes nothing for
// the others; and doors need
// not have the same list. What varies is how many servers a door has, which does no harm.
package subsetting

import (
	"hash/fnv"
	"slices"
)

// Doors is how many of the doors use each server, for doors that should have so many servers each, in the mean. All of
// them where
// the servers are no more than that, and two at least.
func Doors(doors, servers, each int) int {
	if servers <= each || doors <= 2 || each <= 0 {
		return max(1, doors)
	}
	return min(doors, max(2, (doors*each+servers-1)/servers))
}

// Has says whether the door of a rank, from 0, is among those that use a server.
func Has(name string, rank, doors, using int) bool { return HasAmong(name, rank, doors, using, nil) }

// HasAmong is Has where doors of some ranks do not serve: others come in their places, and whoever used a server goes
// on with it.
func HasAmong(name string, rank, doors, using int, gone []int) bool {
	if using >= doors {
		return true
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	seed := h.Sum64()
	rank = ((rank % doors) + doors) % doors
	own, lower := mix(seed, rank), 0
	for i := range doors {
		if len(gone) > 0 && slices.Contains(gone, i) {
			continue
		}
		if v := mix(seed, i); v < own || v == own && i < rank {
			if lower++; lower >= using {
				return false
			}
		}
	}
	return true
}

// mix is a hash of a name's and a number (the finalizer of SplitMix64).
func mix(seed uint64, i int) uint64 {
	z := seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
