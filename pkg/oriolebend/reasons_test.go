package oriolebend

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestReasonsAreAll reads the reasons from the source that declares them, so
// that a new one can't be left out of the list.
func TestReasonsAreAll(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	is.NoErr(err)
	var declared []Reason
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if ok && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			is.NoErr(err)
			declared = append(declared, Reason(text))
		}
		return true
	})
	is.Equal(declared, Reasons())
}
