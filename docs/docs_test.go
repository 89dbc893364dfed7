// Package docs has no code; its test keeps the pages in line with the tree.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	testName = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w+`)
	// treePath is a path from the root of the repository, as pages write it in code.
	treePath = regexp.MustCompile("`((?:cmd|deploy|docs|examples|internal|pkg|platform|tools)/[A-Za-z0-9_/*-]+(?:\\.[a-z]+)?)")
	// qualified is an exported name with its package, such as message.Claim.
	qualified = regexp.MustCompile("`(?:[a-z/]+/)?([a-z0-9]+)\\.([A-Z]\\w*)")
	// link is the target of a Markdown link within the repository.
	link = regexp.MustCompile(`\]\(([A-Za-z0-9_./-]+)(?:#[^)]*)?\)`)
)

// TestPagesNameWhatExists fails if a page names a test, a file or a page that was renamed or
// removed, so that a reader would search for it in vain.
func TestPagesNameWhatExists(t *testing.T) {
	is := is.New(t)
	tests, exported := declared(t)
	pages, err := filepath.Glob("../*.md")
	is.NoErr(err)
	is.NoErr(filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	}))
	for _, page := range pages {
		data, err := os.ReadFile(page)
		is.NoErr(err)
		text := string(data)
		for _, name := range testName.FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s: test %s does not exist", page, name)
			}
		}
		for _, match := range treePath.FindAllStringSubmatch(text, -1) {
			checkPath(t, page, filepath.Join("..", strings.TrimRight(match[1], "/")))
		}
		for _, match := range qualified.FindAllStringSubmatch(text, -1) {
			if names, known := exported[match[1]]; known && !names[match[2]] {
				t.Errorf("%s: package %s declares no %s", page, match[1], match[2])
			}
		}
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			checkPath(t, page, filepath.Join(filepath.Dir(page), match[1]))
		}
	}
}

// checkPath reports a path or pattern that matches no file.
func checkPath(t *testing.T, page, path string) {
	t.Helper()
	found, err := filepath.Glob(path)
	if err != nil || len(found) == 0 {
		t.Errorf("%s: %s does not exist", page, path)
	}
}

var (
	testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	// declaration is a function, method, type, constant or variable, also within parentheses.
	declaration = regexp.MustCompile(`(?m)^(?:func (?:\([^)]*\) )?|type |const |var |\t)([A-Z]\w*)`)
)

// sourceFolders hold the module's code. Copies of code below other folders, such as tmp, would hide a
// name that is gone.
var sourceFolders = []string{"cmd", "docs", "internal", "pkg", "platform"}

// declared returns the test functions of the module, and the exported names of each package by
// the package's name.
func declared(t *testing.T) (tests map[string]bool, exported map[string]map[string]bool) {
	t.Helper()
	is := is.New(t)
	tests, exported = map[string]bool{}, map[string]map[string]bool{}
	read := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		data, err := os.ReadFile(path)
		for _, match := range testFunction.FindAllStringSubmatch(string(data), -1) {
			tests[match[1]] = true
		}
		names := exported[filepath.Base(filepath.Dir(path))]
		if names == nil {
			names = map[string]bool{}
			exported[filepath.Base(filepath.Dir(path))] = names
		}
		for _, match := range declaration.FindAllStringSubmatch(string(data), -1) {
			names[match[1]] = true
		}
		return err
	}
	for _, folder := range sourceFolders {
		is.NoErr(filepath.WalkDir(filepath.Join("..", folder), read))
	}
	return tests, exported
}
