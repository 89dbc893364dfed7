package requestlog

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
)

// TestFindCrashes reads the logs of each file of testdata/crashes and compares what is found
// with what is wanted.
func TestFindCrashes(t *testing.T) {
	paths, err := filepath.Glob("testdata/crashes/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(path)
			is.NoErr(err)
			want := ""
			var logs []Log
			for _, file := range archive.Files {
				if file.Name == "want" {
					want = string(file.Data)
					continue
				}
				logs = append(logs, Log{Name: file.Name, Reader: strings.NewReader(string(file.Data))})
			}
			found, err := FindCrashes(logs...)
			is.NoErr(err)
			text, err := json.MarshalIndent(found, "", "  ")
			is.NoErr(err)
			is.Equal(string(text)+"\n", want)
		})
	}
}

// Logs without any end give empty lists, not null.
func TestFindNoCrashes(t *testing.T) {
	is := is.New(t)
	found, err := FindCrashes(Log{Name: "log", Reader: strings.NewReader("")})
	is.NoErr(err)
	text, err := json.Marshal(found)
	is.NoErr(err)
	is.Equal(string(text), `{"crashes":[],"suspects":[],"unread":0}`)
}
