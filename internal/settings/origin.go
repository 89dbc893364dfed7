package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// origin remembers where each setting came from, so that faults which are
// found after decoding still name their line.
type origin struct {
	name string
	// lines maps the path of a key or table to its line.
	lines map[string]int
	// overrides maps the path of a key to the flag that set it.
	overrides map[string]string
	// faults are those that were found while reading.
	faults []*Error
}

func newOrigin(name string) *origin {
	return &origin{name: name, lines: map[string]int{}, overrides: map[string]string{}}
}

// place returns the source and line of a key, or of the nearest table around
// it; a key whose tables are all missing is placed on line 1.
func (o *origin) place(key string) (source string, line int) {
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

// parentPath cuts the last key or index off a path.
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

// index fills the lines from the text of a file. It stops silently where the
// text is no TOML; the decoder reports that.
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

// keys records each step of a dotted key and returns the whole path. A step
// that is an array of tables means its last element.
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

// element begins the next element of an array of tables.
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
