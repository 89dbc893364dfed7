package caller

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// declaredReasons reads the reasons from the source that declares them, so that
// a new one cannot be forgotten here.
func declaredReasons(t *testing.T) []oriolebend.Reason {
	file, err := parser.ParseFile(token.NewFileSet(), "../../pkg/oriolebend/reason.go", nil, 0)
	is.New(t).NoErr(err)
	var reasons []oriolebend.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if ok && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			is.New(t).NoErr(err)
			reasons = append(reasons, oriolebend.Reason(text))
		}
		return true
	})
	return reasons
}

func TestEveryReasonHasAStatus(t *testing.T) {
	is := is.New(t)
	reasons := declaredReasons(t)
	is.Equal(len(reasons), len(statuses))
	for _, reason := range reasons {
		known, found := statuses[reason]
		is.True(found) // a reason without status is told as a fault of the router
		is.True(known.Status >= 400 && known.Status < 600)
		is.True(known.Title != "")
	}
}

// TestEveryReasonIsExplained: the page for callers has a row for each reason,
// with the status that the handler gives it.
func TestEveryReasonIsExplained(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/callers.md")
	is.NoErr(err)
	for _, reason := range declaredReasons(t) {
		status, _ := statusOf(reason)
		is.True(strings.Contains(string(page), "| `"+string(reason)+"` | "+strconv.Itoa(status)+" |"))
	}
}
