package message

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a new message type that is not registered: a peer would end every
// session that carries it with unknownKind.
func TestEveryMessageIsRegistered(t *testing.T) {
	i := is.New(t)
	files, err := filepath.Glob("*.go")
	i.NoErr(err)
	var implemented, registered []string
	inspect := func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			if n.Name.Name == "Kind" && n.Recv != nil {
				implemented = append(implemented, n.Recv.List[0].Type.(*ast.Ident).Name)
			}
		case *ast.IndexExpr:
			if called, ok := n.X.(*ast.Ident); ok && called.Name == "Register" {
				registered = append(registered, n.Index.(*ast.Ident).Name)
			}
		}
		return true
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		i.NoErr(err)
		ast.Inspect(parsed, inspect)
	}
	slices.Sort(implemented)
	slices.Sort(registered)
	i.Equal(registered, implemented)
	i.Equal(len(Kinds()), len(implemented))
}

func TestUnknownKind(t *testing.T) {
	i := is.New(t)
	_, err := DecodeBody("notRegistered", nil, nil)
	_, typed := err.(*UnknownKindError)
	i.True(typed)
}

func TestDuplicateKindPanics(t *testing.T) {
	defer func() { is.New(t).True(recover() != nil) }()
	Register[Vote]()
}
