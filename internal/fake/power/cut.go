package power

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"gapgap/internal/vfs"
)

// How tells what a cut leaves of what was not synced.
type How int

// What a cut leaves.
const (
	// Lost leaves nothing of it.
	Lost How = iota
	// Kept leaves all of it, as after a SIGKILL.
	Kept
	// Order leaves all up to some operation of each file and directory, the last write torn.
	Order
	// Any leaves any part of it, in any order, torn anywhere.
	Any
	// Hows is the number of values of How.
	Hows = 4
)

// Cut returns the image that the disk has after a cut. The model stays as it is.
func (m *Model) Cut(how How, rng *rand.Rand) map[string][]byte {
	if how == Kept {
		return makeImage(m.names, func(n *inode) []byte { return n.content })
	}
	c := &cut{how: how, rng: rng, contents: map[*inode][]byte{}}
	return makeImage(c.remainingNames(m), c.remainingContent)
}

// makeImage returns the image of the regular files that have a name in a directory that has one.
func makeImage(names nameTable, contentOf func(*inode) []byte) map[string][]byte {
	image := map[string][]byte{}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		node := names[path]
		_, hasParent := names[filepath.Dir(path)]
		if node != nil && hasParent {
			image[path] = contentOf(node)
		}
	}
	return image
}

// cut is one cut that does not keep everything.
type cut struct {
	how How
	rng *rand.Rand
	// contents are those drawn so far: a file of several names has one content.
	contents map[*inode][]byte
}

// leaves draws whether the operation at an index is there, if those before an end are, in order.
func (c *cut) leaves(index, end int) bool {
	return c.how == Order && index < end || c.how == Any && c.rng.IntN(2) == 0
}

// tears draws whether a part of an operation is there that isn't there completely.
func (c *cut) tears(index, end int) bool {
	return c.how == Order && index == end || c.how == Any && c.rng.IntN(3) == 0
}

// remainingNames draws which names are there.
func (c *cut) remainingNames(m *Model) nameTable {
	names := maps.Clone(m.syncedNames)
	if c.how == Lost {
		return names
	}
	for _, directory := range slices.Sorted(maps.Keys(m.unsyncedNames)) {
		changes := m.unsyncedNames[directory]
		end := c.rng.IntN(len(changes) + 1)
		for i, change := range changes {
			if c.leaves(i, end) {
				names.apply(change)
			}
		}
	}
	return names
}

// remainingContent draws what a file has, once.
func (c *cut) remainingContent(n *inode) []byte {
	if content, isDrawn := c.contents[n]; isDrawn {
		return content
	}
	content := bytes.Clone(n.synced)
	end := c.rng.IntN(len(n.unsynced) + 1)
	for i, op := range n.unsynced {
		switch {
		case c.leaves(i, end):
			content = apply(content, op, len(op.Data))
		case c.tears(i, end) && op.Kind == vfs.OpWrite:
			content = apply(content, op, c.rng.IntN(len(op.Data)+1))
		}
	}
	c.contents[n] = content
	return content
}
