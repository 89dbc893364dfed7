package member

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets how many random rollouts the property test runs, and a seed, so
// that the verdict is the same every run. Flags of the command line go before
// both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "80", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run()) // which parses the command line
}
