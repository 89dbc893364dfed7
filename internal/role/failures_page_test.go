package role

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a docs/FAILURES.md with a cell that names a missing test, a cell without
// a test or a reason, or a wrong count of open cells.
func TestFailuresPage(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "FAILURES.md"))
	is.NoErr(err)
	cells, open := 0, 0
	for line := range strings.Lines(string(page)) {
		failure, cell, ok := strings.Cut(strings.Trim(line, "| \n"), " | ")
		if !ok || !strings.HasPrefix(line, "| ") || failure == "failure" {
			continue
		}
		cells++
		names := regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cell, -1)
		switch {
		case cell == "**open**":
			open++
		case len(names) == 0 && !strings.HasPrefix(cell, "held by: "):
			t.Errorf("%s: names no test and no reason: %s", failure, cell)
		}
		for _, name := range names {
			if !namedTestExists(root, name[1]) {
				t.Errorf("%s: there is no %s", failure, name[1])
			}
		}
	}
	is.Equal(cells, 23*18)
	is.True(strings.Contains(string(page), fmt.Sprintf("Open cells: %d of %d.", open, cells)))
}

// namedTestExists looks for "package:TestName", or "package/script" under
// testdata, in internal and internal/reducer.
func namedTestExists(root, name string) bool {
	for _, folder := range []string{"internal", "internal/reducer"} {
		if pkg, test, ok := strings.Cut(name, ":"); ok {
			files, _ := filepath.Glob(filepath.Join(root, folder, pkg, "*_test.go"))
			for _, file := range files {
				text, err := os.ReadFile(file)
				if err == nil && strings.Contains(string(text), "\nfunc "+test+"(") {
					return true
				}
			}
			continue
		}
		pkg, script, _ := strings.Cut(name, "/")
		if _, err := os.Stat(filepath.Join(root, folder, pkg, "testdata", script)); err == nil {
			return true
		}
	}
	return false
}
