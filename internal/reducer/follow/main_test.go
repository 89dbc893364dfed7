package follow

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of random runs of the property test, because the
// library's default of 100 detects too little here, and a seed, so that every
// run has the same result. Flags on the command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run()) // Run parses the command line
}
