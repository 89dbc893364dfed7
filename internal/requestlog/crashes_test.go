package requestlog

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFindCrashes reads the logs in each file of testdata/crashes and compares the result with
// the expected one.
func TestFindCrashes(t *testing.T) {
	runCases(t, "testdata/crashes/*.txtar", func(t *testing.T, c logCase) {
		is := is.New(t)
		found, err := FindCrashes(c.logs...)
		is.NoErr(err)
		text, err := json.MarshalIndent(found, "", "  ")
		is.NoErr(err)
		is.Equal(string(text)+"\n", c.want)
	})
}

// TestFindCrashesInEmptyLog checks that logs without any crash result in empty lists, not
// null.
func TestFindCrashesInEmptyLog(t *testing.T) {
	is := is.New(t)
	found, err := FindCrashes(Log{Name: "log", Reader: strings.NewReader("")})
	is.NoErr(err)
	text, err := json.Marshal(found)
	is.NoErr(err)
	is.Equal(string(text), `{"crashes":[],"suspects":[],"unread":0}`)
}
