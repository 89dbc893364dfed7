package record

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// modelChecks is the number of random runs of a test without -rapid.checks.
const modelChecks = "2000"

// modelSeed is the seed of the first run without -rapid.seed. It makes every run
// of the test check the same interleavings, so the result is reproducible.
const modelSeed = "5"

// modelSteps is the mean number of steps of one run.
const modelSteps = "150"

// TestInterleavings runs random interleavings of callers, entries that crash or
// are disconnected, late and duplicate commands, late and duplicate dispatches,
// lost answers and restarts. It checks that
//
//   - the service executes a request that may run at most once not more than
//     once within the retention of its record;
//   - it executes no attempt of such a request before or after the attempt is
//     reported as not run;
//   - a key is answered with one answer only;
//   - no record stays open;
//   - a replica that was restored from a snapshot equals the other one.
func TestInterleavings(t *testing.T) {
	setRapidFlags(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.finish()
	})
}

// actions returns the steps of a run. Rapid draws the first names more often, so
// the steps by which requests progress come first. Otherwise faults would end
// most runs before any request was executed.
func (w *world) actions() map[string]func(*rapid.T) {
	steps := []struct {
		name string
		step func()
	}{
		{"deliver", func() { w.deliverCommand(false, false) }},
		{"dispatch", w.startDispatch},
		{"arrive", func() { w.deliverDispatch(false) }},
		{"receive", w.deliverReply},
		{"request", w.sendRequest},
		{"deliver", func() { w.deliverCommand(false, false) }},
		{"double", func() { w.deliverCommand(true, false) }},
		{"arriveTwice", func() { w.deliverDispatch(true) }},
		{"lose", func() { w.deliverCommand(false, true) }},
		{"giveUp", w.abandonRequest},
		{"resend", w.resendCommand},
		{"endSession", w.closeReservations},
		{"resolve", w.resolveUnknown},
		{"closeAny", w.closeAnyClaim},
		{"pass", w.advanceClock},
		{"crash", w.crashEntry},
		{"cut", w.togglePartition},
		{"restartGate", w.restartGate},
		{"restore", w.restoreReplica},
	}
	actions := map[string]func(*rapid.T){}
	for i, s := range steps {
		actions[fmt.Sprintf("%02d %s", i, s.name)] = func(*rapid.T) { s.step() }
	}
	return actions
}

func setRapidFlags(t *testing.T) {
	t.Helper()
	setFlag(t, "rapid.checks", modelChecks)
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
