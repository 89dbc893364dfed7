package oriolebend

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestReasonsAreComplete parses the declarations of the reasons, so that a new reason
// can't be missing from the list.
func TestReasonsAreComplete(t *testing.T) {
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
