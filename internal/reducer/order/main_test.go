package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of random histories that the property test runs,
// because the library's default of 100 finds too few faults here, and a seed, so
// that the result is reproducible. Flags of the command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run()) // which parses the command line
}
