package requestlog

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFindCrashes reads the logs of each file of testdata/crashes and compares what is found
// with what is wanted.
func TestFindCrashes(t *testing.T) {
	eachCase(t, "testdata/crashes/*.txtar", func(t *testing.T, c logCase) {
		is := is.New(t)
		found, err := FindCrashes(c.logs...)
		is.NoErr(err)
		text, err := json.MarshalIndent(found, "", "  ")
		is.NoErr(err)
		is.Equal(string(text)+"\n", c.want)
	})
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
