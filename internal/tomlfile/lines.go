package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines returns the line of each key of a TOML file, by paths such as listener[1].check[0].path. If the file is not
// valid TOML, it returns those of the keys before the error.
func Lines(data []byte) map[string]int {
	index := lineIndex{lines: map[string]int{}, tableCounts: map[string]int{}}
	index.parser.Reset(data)
	table := ""
	for index.parser.NextExpression() {
		expression := index.parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			table = index.addKey("", expression)
		case unstable.ArrayTable:
			table = index.addArrayTable(expression)
		case unstable.KeyValue:
			index.addKeyValue(table, expression)
		}
	}
	return index.lines
}

// lineIndex records the lines of keys.
type lineIndex struct {
	parser unstable.Parser
	lines  map[string]int
	// tableCounts is the number of tables so far in each array of tables, by the array's path.
	tableCounts map[string]int
}

// addKey records the line of an expression's key below a table, and returns its path.
func (index *lineIndex) addKey(table string, expression *unstable.Node) (path string) {
	path, line := index.resolve(table, expression.Key(), false)
	index.lines[path] = line
	return path
}

// addArrayTable records the line of the next table of an array, and returns its path.
func (index *lineIndex) addArrayTable(expression *unstable.Node) (path string) {
	path, line := index.resolve("", expression.Key(), true)
	index.lines[path] = line
	return path
}

// addKeyValue records the line of a key in a table, and those of the keys in an inline table.
func (index *lineIndex) addKeyValue(table string, expression *unstable.Node) {
	path := index.addKey(table, expression)
	value := expression.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for children := value.Children(); children.Next(); {
		index.addKeyValue(path, children.Node())
	}
}

// resolve returns the line and the path of a dotted key below a table. In the path, the name of each array of tables is
// followed by the index of its last table. With isNewTable the key begins the next table of an array.
func (index *lineIndex) resolve(table string, key unstable.Iterator, isNewTable bool) (path string, line int) {
	path = table
	for key.Next() {
		part := key.Node()
		path = strings.TrimPrefix(path+"."+string(part.Data), ".")
		line = index.parser.Shape(part.Raw).Start.Line
		if key.IsLast() && isNewTable {
			index.tableCounts[path]++
		}
		if count := index.tableCounts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path, line
}

// LineOf returns the line of a key as recorded by [Lines]. For a key that is missing it returns the line of the nearest
// enclosing table or array, or 0 if there is none.
func LineOf(lines map[string]int, key string) int {
	for key != "" {
		if line := lines[key]; line > 0 {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// parentKey returns the path of the table or array that contains a key, or an empty string for a top-level key.
func parentKey(key string) string {
	if strings.HasSuffix(key, "]") {
		return key[:strings.LastIndexByte(key, '[')]
	}
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i]
	}
	return ""
}
