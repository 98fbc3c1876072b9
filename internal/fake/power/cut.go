package power

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"gapgap/internal/vfs"
)

// How says which unsynced operations survive a power cut.
type How int

// Values of How.
const (
	// Lost keeps no unsynced operation.
	Lost How = iota
	// Kept keeps all unsynced operations, as after a SIGKILL.
	Kept
	// Order keeps a prefix of the unsynced operations of each file and directory. The write after it may be torn.
	Order
	// Any keeps any subset of the unsynced operations. Any other write may be torn.
	Any
	// Hows is the number of values of How.
	Hows = 4
)

// Cut returns the image of the disk after a power cut. It does not change the model.
func (m *Model) Cut(how How, rng *rand.Rand) map[string][]byte {
	if how == Kept {
		return makeImage(m.names, func(n *inode) []byte { return n.content })
	}
	c := &cut{how: how, rng: rng, contents: map[*inode][]byte{}}
	return makeImage(c.remainingNames(m), c.remainingContent)
}

// makeImage returns the image of the regular files in names whose parent directory is in names too.
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

// cut is one power cut other than Kept.
type cut struct {
	how How
	rng *rand.Rand
	// contents are the file contents chosen so far. A file with several names has a single content.
	contents map[*inode][]byte
}

// keepsOp decides, at random for Any, whether the operation at an index survives. For Order, the operations before end
// do.
func (c *cut) keepsOp(index, end int) bool {
	return c.how == Order && index < end || c.how == Any && c.rng.IntN(2) == 0
}

// tearsOp decides, at random for Any, whether a part of an operation survives that does not survive completely.
func (c *cut) tearsOp(index, end int) bool {
	return c.how == Order && index == end || c.how == Any && c.rng.IntN(3) == 0
}

// remainingNames chooses which names survive.
func (c *cut) remainingNames(m *Model) nameTable {
	names := maps.Clone(m.syncedNames)
	if c.how == Lost {
		return names
	}
	for _, directory := range slices.Sorted(maps.Keys(m.unsyncedNames)) {
		changes := m.unsyncedNames[directory]
		end := c.rng.IntN(len(changes) + 1)
		for i, change := range changes {
			if c.keepsOp(i, end) {
				names.apply(change)
			}
		}
	}
	return names
}

// remainingContent chooses the content of a file, the same one at each call.
func (c *cut) remainingContent(n *inode) []byte {
	if content, isDrawn := c.contents[n]; isDrawn {
		return content
	}
	content := bytes.Clone(n.synced)
	end := c.rng.IntN(len(n.unsynced) + 1)
	for i, op := range n.unsynced {
		switch {
		case c.keepsOp(i, end):
			content = apply(content, op, len(op.Data))
		case c.tearsOp(i, end) && op.Kind == vfs.OpWrite:
			content = apply(content, op, c.rng.IntN(len(op.Data)+1))
		}
	}
	c.contents[n] = content
	return content
}
