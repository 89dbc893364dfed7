package atmostonce

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// TestAtMostOnce runs random interleavings of the real reducers for calls that
// may run at most once: late, lost and duplicate messages to the records, late
// sessions, lost answers of the service, restarts of entries and gates, and
// entries that can't renew their leases. It checks that
//
//   - the service never executes a key twice;
//   - no call runs under a request id that was reported as not run;
//   - no caller is answered twice;
//   - after the faults end, every caller of an entry that did not crash is
//     answered.
func TestAtMostOnce(t *testing.T) {
	setFlag(t, "rapid.checks", "2000")
	setFlag(t, "rapid.steps", "120")
	setFlag(t, "rapid.seed", "7")
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(f.actions())
		f.finish()
	})
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

// actions returns the steps of a run. Rapid draws the first ones more often.
func (f *fleet) actions() map[string]func(*rapid.T) {
	steps := []struct {
		name string
		step func()
	}{
		{"deliver", f.deliverAny},
		{"apply", func() { f.applyCommand(0, false, false) }},
		{"deliver", f.deliverAny},
		{"tick", func() { f.tick(f.drawPause()) }},
		{"request", f.requestAny},
		{"run", func() { f.runService("run") }},
		{"deliver", f.deliverAny},
		{"applyLate", func() { f.applyCommand(f.draw("at", 5), false, false) }},
		{"applyTwice", func() { f.applyCommand(0, true, false) }},
		{"loseAnswer", func() { f.applyCommand(0, false, true) }},
		{"runAndLose", func() { f.runService("lose") }},
		{"dropCall", func() { f.runService("miss") }},
		{"loseSession", f.loseAnySession},
		{"crash", func() { f.crashEntry(f.draw("entry", len(f.entries))) }},
		{"restartGate", func() { f.restartGate(f.draw("gate", len(f.gates))) }},
		{"partition", f.togglePartitionOfAny},
		{"leave", f.leaveAnyCaller},
	}
	actions := map[string]func(*rapid.T){}
	for i, s := range steps {
		actions[fmt.Sprintf("%02d %s", i, s.name)] = func(*rapid.T) { s.step() }
	}
	return actions
}

func (f *fleet) draw(name string, below int) int {
	return rapid.IntRange(0, below-1).Draw(f.t, name)
}

func (f *fleet) drawPause() time.Duration {
	return rapid.SampledFrom([]time.Duration{
		20 * time.Millisecond, 100 * time.Millisecond, time.Second, 4 * time.Second,
	}).Draw(f.t, "pause")
}

func (f *fleet) requestAny() {
	p := f.entries[f.draw("entry", len(f.entries))]
	within := time.Duration(f.draw("deadline", 3)) * 2 * time.Second
	f.sendRequest(p, fmt.Sprintf("k%d", f.draw("key", 2)), f.draw("status", 2) == 1, within)
}

// deliverAny delivers the next message of any session that has one.
func (f *fleet) deliverAny() {
	var deliveries []func()
	for _, s := range f.sessions {
		if len(s.toGate) > 0 {
			deliveries = append(deliveries, func() { f.deliver(s, true) })
		}
		if len(s.toEntry) > 0 {
			deliveries = append(deliveries, func() { f.deliver(s, false) })
		}
	}
	if len(deliveries) > 0 {
		deliveries[f.draw("message", len(deliveries))]()
	}
}

func (f *fleet) loseAnySession() {
	if len(f.sessions) > 0 {
		f.loseSession(f.sessions[f.draw("session", len(f.sessions))])
	}
}

// leaveAnyCaller has a caller leave. It then need not be answered.
func (f *fleet) leaveAnyCaller() {
	ids := slices.Sorted(maps.Keys(f.callers))
	if len(ids) == 0 {
		return
	}
	id := ids[f.draw("caller", len(ids))]
	p := f.callers[id]
	delete(f.callers, id)
	f.reduceEntry(p, entry.CallerLeft{At: f.now, RequestID: id})
}

func (f *fleet) togglePartitionOfAny() {
	p := f.entries[f.draw("entry", len(f.entries))]
	p.partitioned = !p.partitioned
}

// finish ends all faults and delivers all messages until every caller of an
// entry that did not crash is answered.
func (f *fleet) finish() {
	for _, p := range f.entries {
		p.partitioned = false
	}
	for range 1500 {
		for len(f.commands) > 0 {
			f.applyCommand(0, false, false)
		}
		for _, s := range f.sessions {
			f.deliver(s, true)
			f.deliver(s, false)
		}
		f.runService("run")
		if f.allAnswered() && len(f.commands) == 0 {
			return
		}
		f.tick(50 * time.Millisecond)
	}
	for id, p := range f.callers {
		if !p.dead && f.answerCount[id] == 0 {
			f.t.Fatalf("%s was never answered", id)
		}
	}
}

func (f *fleet) allAnswered() bool {
	for id, p := range f.callers {
		if !p.dead && f.answerCount[id] == 0 {
			return false
		}
	}
	return true
}
