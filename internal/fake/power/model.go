package power

import (
	"bytes"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/vfs"
)

// rootDirectory is the path of the root of a disk.
const rootDirectory = "."

// inode is a file independent of its names.
type inode struct {
	// synced is the content as of the last sync.
	synced []byte
	// unsynced holds the writes and truncations since the last sync.
	unsynced []vfs.Operation
	// content is the content visible to programs.
	content []byte
}

// nameTable maps paths to files. Directories map to nil.
type nameTable map[string]*inode

// nameChange is a change to one name in a directory.
type nameChange struct {
	// removed is the path that is removed. Empty means none.
	removed string
	// added is the path that is added as a name of node. Empty means none.
	added string
	node  *inode
}

// apply applies a change to the table.
func (names nameTable) apply(c nameChange) {
	if c.removed != "" {
		delete(names, c.removed)
	}
	if c.added != "" {
		names[c.added] = c.node
	}
}

// Model tracks the synced and unsynced state of one disk. It is not safe for concurrent use.
type Model struct {
	// Ops is the number of operations executed so far.
	Ops int

	// files are the files that were opened, by their ID in operations.
	files map[uint64]*inode
	// names are the names visible to programs, syncedNames those as of the last sync of each directory.
	names       nameTable
	syncedNames nameTable
	// unsyncedNames holds the changes since the last sync of each directory, by directory.
	unsyncedNames map[string][]nameChange
}

// NewModel returns a model of a disk with the files of an image, all of them synced.
func NewModel(image map[string][]byte) *Model {
	m := &Model{
		files:         map[uint64]*inode{},
		names:         nameTable{rootDirectory: nil},
		syncedNames:   nameTable{rootDirectory: nil},
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

// addSyncedDirectories adds all parent directories of a path as synced.
func (m *Model) addSyncedDirectories(path string) {
	for directory := filepath.Dir(path); directory != rootDirectory; directory = filepath.Dir(directory) {
		m.names[directory] = nil
		m.syncedNames[directory] = nil
	}
}

// Replay returns a model of a disk that started with an image and then executed the operations of a record, which are
// encoded in CBOR. Replay stops at the first incomplete operation, because that operation was never executed.
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

// Do applies an operation that a program has executed.
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

// changeName applies a change to the directory of a path and records it as unsynced.
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

// change applies a write or truncation and records it as unsynced.
func (n *inode) change(op vfs.Operation) {
	op.Data = bytes.Clone(op.Data)
	n.unsynced = append(n.unsynced, op)
	n.content = apply(n.content, op, len(op.Data))
}

func (n *inode) sync() {
	n.synced = bytes.Clone(n.content)
	n.unsynced = nil
}

// apply returns the content after a truncation, or after a write of which only the first written bytes are applied. It
// may modify the slice that it is given.
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
