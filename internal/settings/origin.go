package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// origin records the source of each setting, so that faults that are found after decoding
// can name their line.
type origin struct {
	name string
	// lines maps the path of a key or table to its line.
	lines map[string]int
	// overrides maps the path of a key to the flag that set it.
	overrides map[string]string
	// faults are the faults that were found while parsing.
	faults []*Error
}

func newOrigin(name string) *origin {
	return &origin{name: name, lines: map[string]int{}, overrides: map[string]string{}}
}

// locate returns the source and line of a key, or of the innermost table around it that is
// present; for a key whose tables are all missing it returns line 1.
func (o *origin) locate(key string) (source string, line int) {
	if o == nil {
		return "settings", 0
	}
	if flag, set := o.overrides[key]; set {
		return flag, 0
	}
	for path := key; path != ""; path = parentPath(path) {
		if line, known := o.lines[path]; known {
			return o.name, line
		}
	}
	return o.name, 1
}

// parentPath returns a path without its last key or index.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func elementPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// index records the line of every key of a file. It stops without an error at invalid
// TOML; the decoder reports that.
func (o *origin) index(data []byte) {
	x := indexer{origin: o, counts: map[string]int{}}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		node := x.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = x.keys("", node)
		case unstable.ArrayTable:
			table = x.element(x.keys("", node))
		case unstable.KeyValue:
			x.keyValue(table, node)
		default:
		}
	}
}

type indexer struct {
	origin *origin
	parser unstable.Parser
	// counts holds the number of elements that an array of tables has so far.
	counts map[string]int
	line   int
}

// keys records each part of a dotted key and returns the full path. A part that is an
// array of tables refers to its last element.
func (x *indexer) keys(path string, node *unstable.Node) string {
	keys := node.Key()
	for keys.Next() {
		if path != "" && x.counts[path] > 0 {
			path = elementPath(path, x.counts[path]-1)
		}
		path = joinPath(path, string(keys.Node().Data))
		x.line = x.parser.Shape(keys.Node().Raw).Start.Line
		x.record(path)
	}
	return path
}

func (x *indexer) record(path string) {
	if _, known := x.origin.lines[path]; !known {
		x.origin.lines[path] = x.line
	}
}

// element records the next element of an array of tables and returns its path.
func (x *indexer) element(path string) string {
	element := elementPath(path, x.counts[path])
	x.counts[path]++
	x.record(element)
	return element
}

func (x *indexer) keyValue(table string, node *unstable.Node) {
	x.value(x.keys(table, node), node.Value())
}

func (x *indexer) value(path string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			element := elementPath(path, i)
			if raw := children.Node().Raw; raw.Length > 0 {
				x.line = x.parser.Shape(raw).Start.Line
			}
			x.record(element)
			x.value(element, children.Node())
		}
	default:
	}
}
