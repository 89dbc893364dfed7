package caller

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func TestEveryReasonHasAStatus(t *testing.T) {
	is := is.New(t)
	is.Equal(len(oriolebend.Reasons()), len(statuses))
	for _, reason := range oriolebend.Reasons() {
		known, found := statuses[reason]
		is.True(found) // a reason without a status is answered as a fault of the router
		is.True(known.Status >= 400 && known.Status < 600)
		is.True(known.Title != "")
	}
}

// TestEveryReasonIsExplained checks that the page for callers has a row for each
// reason, with the status that the handler answers with.
func TestEveryReasonIsExplained(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/callers.md")
	is.NoErr(err)
	for _, reason := range oriolebend.Reasons() {
		status, _ := statusOf(reason)
		is.True(strings.Contains(string(page), "| `"+string(reason)+"` | "+strconv.Itoa(status)+" |"))
	}
}
