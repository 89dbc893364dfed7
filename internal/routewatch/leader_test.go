package routewatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestKnownLeader guards against requests that go to an earlier leader because a control VM that was frozen
// or cut off names it. It runs testdata/leaders; each line is "SECONDS ADDRESS TERM", and prints the
// leader after that update.
func TestKnownLeader(t *testing.T) {
	datadriven.Walk(t, "testdata/leaders", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var known knownLeader
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				var seconds float64
				var address string
				var term uint64
				if _, err := fmt.Sscan(line, &seconds, &address, &term); err != nil {
					t.Fatal(err)
				}
				at := time.Unix(1, 0).Add(time.Duration(seconds * float64(time.Second)))
				known.update(at, strings.Trim(address, "-"), term)
				fmt.Fprintln(&out, known.address)
			}
			return out.String()
		})
	})
}
