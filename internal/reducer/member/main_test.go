package member

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of random rollouts of the property test, and a seed, so that every run
// has the same result. Flags of the command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "80", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run()) // Run parses the command line
}
