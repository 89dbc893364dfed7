package follow

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets how many random lives the property test runs, since the
// library's 100 find too little here, and a seed, so that the verdict is the
// same every run. Flags of the command line go before both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run()) // which parses the command line
}
