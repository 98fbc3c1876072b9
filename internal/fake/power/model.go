package power

import (
	"bytes"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/vfs"
)

// topDirectory is the path of the top of a disk.
const topDirectory = "."

// inode is a file, whatever its name.
type inode struct {
	// synced is the content as of the last sync.
	synced []byte
	// unsynced are the writes and truncations since the last sync.
	unsynced []vfs.Operation
	// content is the content that a program sees.
	content []byte
}

// nameTable maps paths to files; a directory's is nil.
type nameTable map[string]*inode

// nameChange is a change of one of a directory's names.
type nameChange struct {
	// removed is the path that is gone; empty: none.
	removed string
	// added is the path that is new, and names node; empty: none.
	added string
	node  *inode
}

// apply makes the change.
func (names nameTable) apply(c nameChange) {
	if c.removed != "" {
		delete(names, c.removed)
	}
	if c.added != "" {
		names[c.added] = c.node
	}
}

// Model is one disk with what was synced and what was not. It belongs to one goroutine.
type Model struct {
	// Ops is the number of operations so far.
	Ops int

	// files are the files that were opened, by their number in operations.
	files map[uint64]*inode
	// names are those that a program sees, syncedNames those as of their directories' last syncs.
	names       nameTable
	syncedNames nameTable
	// unsyncedNames are the changes since its last sync, by directory.
	unsyncedNames map[string][]nameChange
}

// NewModel returns a disk that has the files of an image, all of them synced.
func NewModel(image map[string][]byte) *Model {
	m := &Model{
		files:         map[uint64]*inode{},
		names:         nameTable{topDirectory: nil},
		syncedNames:   nameTable{topDirectory: nil},
		unsyncedNames: map[string][]nameChange{},
	}
	for path, content := range image {
		m.addSyncedDirectories(path)
		node := &inode{synced: content, content: bytes.Clone(content)}
		m.names[path] = node
		m.syncedNames[path] = node
	}
	return m
}

// addSyncedDirectories adds all directories above a path.
func (m *Model) addSyncedDirectories(path string) {
	for directory := filepath.Dir(path); directory != topDirectory; directory = filepath.Dir(directory) {
		m.names[directory] = nil
		m.syncedNames[directory] = nil
	}
}

// Replay returns the disk that results from a recorder's operations, in CBOR, on a disk that had an image. The record
// ends with the first operation that is incomplete: that was never done.
func Replay(image map[string][]byte, record []byte) *Model {
	m := NewModel(image)
	for len(record) > 0 {
		var operation vfs.Operation
		rest, err := cbor.UnmarshalFirst(record, &operation)
		if err != nil {
			break
		}
		m.Do(operation)
		record = rest
	}
	return m
}

// Do carries out an operation that a program has done.
func (m *Model) Do(op vfs.Operation) {
	m.Ops++
	switch op.Kind {
	case vfs.OpCreate:
		node := &inode{}
		m.files[op.FileID] = node
		m.changeName(op.Path, nameChange{added: op.Path, node: node})
	case vfs.OpOpen:
		m.files[op.FileID] = m.names[op.Path]
	case vfs.OpWrite, vfs.OpTruncate:
		m.files[op.FileID].change(op)
	case vfs.OpSync:
		m.files[op.FileID].sync()
	case vfs.OpRename:
		m.changeName(op.Path, nameChange{removed: op.Path, added: op.NewPath, node: m.names[op.Path]})
	case vfs.OpRemove:
		m.changeName(op.Path, nameChange{removed: op.Path})
	case vfs.OpMkdir:
		m.changeName(op.Path, nameChange{added: op.Path})
	case vfs.OpSyncDir:
		m.syncDirectory(op.Path)
	}
}

// changeName changes a name in the directory of a path.
func (m *Model) changeName(path string, c nameChange) {
	directory := filepath.Dir(path)
	m.unsyncedNames[directory] = append(m.unsyncedNames[directory], c)
	m.names.apply(c)
}

func (m *Model) syncDirectory(directory string) {
	for _, c := range m.unsyncedNames[directory] {
		m.syncedNames.apply(c)
	}
	delete(m.unsyncedNames, directory)
}

// change writes or truncates.
func (n *inode) change(op vfs.Operation) {
	op.Data = bytes.Clone(op.Data)
	n.unsynced = append(n.unsynced, op)
	n.content = apply(n.content, op, len(op.Data))
}

func (n *inode) sync() {
	n.synced = bytes.Clone(n.content)
	n.unsynced = nil
}

// apply returns a content after a truncation, or after the first bytes of a write, as many as written. It may change
// the content that it is given.
func apply(content []byte, op vfs.Operation, written int) []byte {
	if op.Kind == vfs.OpTruncate {
		if op.Offset <= int64(len(content)) {
			return content[:op.Offset:op.Offset]
		}
		return append(content, make([]byte, op.Offset-int64(len(content)))...)
	}
	if end := op.Offset + int64(written); end > int64(len(content)) {
		content = append(content, make([]byte, end-int64(len(content)))...)
	}
	copy(content[op.Offset:], op.Data[:written])
	return content
}
