package discovery

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the files of testdata, each with its own Controls. The output is every known address
// with its standing.
//
//	new MAXFORMER
//	seeds | restore | observers ADDRESS...
//	list FROM ADDRESS...
//	ended FROM
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c Controls
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			for line := range strings.Lines(d.Input) {
				step(t, &c, strings.Fields(line))
			}
			var out strings.Builder
			for _, address := range c.Addresses() {
				fmt.Fprintln(&out, address, c.Standing(address))
			}
			return out.String()
		})
	})
}

func step(t *testing.T, c *Controls, words []string) {
	t.Helper()
	switch words[0] {
	case "new":
		*c = Controls{}
		if _, err := fmt.Sscan(words[1], &c.MaxFormer); err != nil {
			t.Fatal(err)
		}
	case "seeds":
		c.SetSeeds(words[1:])
	case "restore":
		c.Restore(words[1:])
	case "observers":
		c.SetObservers(words[1:])
	case "list":
		c.List(words[1], words[2:])
	case "ended":
		c.Ended(words[1])
	default:
		t.Fatalf("unknown step %q", words[0])
	}
}
