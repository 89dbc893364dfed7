// Package fixedseed gives the property-based tests of a package a fixed seed, so that
// every run of the same commit has the same result. Flags start a longer search:
// go test -rapid.seed=N -rapid.checks=N.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is the seed of tests unless a flag sets another one.
const seed = "1"

// Run runs the tests of a package that uses pgregory.net/rapid and returns the
// exit code for os.Exit. A seed that is given as a flag takes precedence.
func Run(m *testing.M) int {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err) // the package under test doesn't use rapid
		}
	}
	return m.Run()
}
