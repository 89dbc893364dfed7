// Package fixedseed has the random tests of a package draw the same on every
// run, so that one commit gets one verdict. A longer search is a matter of
// flags: go test -rapid.seed=N -rapid.checks=N.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is what tests draw from unless a flag says otherwise.
const seed = "1"

// Run runs the tests of a package that uses pgregory.net/rapid and returns the
// exit code for os.Exit. A seed given by flag stays.
func Run(m *testing.M) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err) // the package under test doesn't use rapid
		}
	}
	return m.Run()
}
