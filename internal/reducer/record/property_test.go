package record

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// modelSeeds is how many random runs one test makes, unless -rapid.checks
// says otherwise.
const modelSeeds = "2000"

// modelSeed is that of the first run: without -rapid.seed every run of the test
// plays the same interleavings and comes to the same verdict.
const modelSeed = "5"

// modelSteps is the mean number of steps of one run.
const modelSteps = "150"

// TestInterleavings plays random interleavings of callers, entries that crash
// or are cut off, late and doubled commands, late and doubled dispatches, lost
// answers and restarts. For a request that may run at most once the service
// must never execute twice within one window, never after "not run" was told
// and never before it is told; a key is never told two answers; no record is
// left open; a replica restored from a snapshot stays the same.
func TestInterleavings(t *testing.T) {
	setChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle()
	})
}

// actions are the steps of a run. Rapid draws the first names more often, so
// what moves requests on stands first: most runs would otherwise end in faults
// before anything was executed.
func (w *world) actions() map[string]func(*rapid.T) {
	steps := []struct {
		name string
		step func()
	}{
		{"deliver", func() { w.deliver(false, false) }},
		{"dispatch", w.dispatchOwned},
		{"arrive", func() { w.arrive(false) }},
		{"receive", w.receive},
		{"request", w.request},
		{"deliver", func() { w.deliver(false, false) }},
		{"double", func() { w.deliver(true, false) }},
		{"arriveTwice", func() { w.arrive(true) }},
		{"lose", func() { w.deliver(false, true) }},
		{"giveUp", w.giveUp},
		{"resend", w.resend},
		{"endSession", w.endSession},
		{"resolve", w.resolve},
		{"closeAny", w.closeAny},
		{"pass", w.pass},
		{"crash", w.crash},
		{"cut", w.cut},
		{"restartGate", w.restartGate},
		{"restore", w.restore},
	}
	actions := map[string]func(*rapid.T){}
	for i, s := range steps {
		actions[fmt.Sprintf("%02d %s", i, s.name)] = func(*rapid.T) { s.step() }
	}
	return actions
}

func setChecks(t *testing.T) {
	t.Helper()
	setFlag(t, "rapid.checks", modelSeeds)
	setFlag(t, "rapid.steps", modelSteps)
	setFlag(t, "rapid.seed", modelSeed)
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}
