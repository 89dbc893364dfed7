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
		{"deliverDispatch", func() { w.deliverDispatch(false) }},
		{"deliverReply", w.deliverReply},
		{"request", w.sendRequest},
		{"deliver", func() { w.deliverCommand(false, false) }},
		{"deliverTwice", func() { w.deliverCommand(true, false) }},
		{"deliverDispatchTwice", func() { w.deliverDispatch(true) }},
		{"loseResult", func() { w.deliverCommand(false, true) }},
		{"abandon", w.abandonRequest},
		{"resend", w.resendCommand},
		{"closeReservations", w.closeReservations},
		{"resolve", w.resolveUnknown},
		{"closeAnyClaim", w.closeAnyClaim},
		{"advanceClock", w.advanceClock},
		{"crashEntry", w.crashEntry},
		{"partition", w.togglePartition},
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
