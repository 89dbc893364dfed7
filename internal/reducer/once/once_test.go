package once

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

// TestAtMostOnce plays random interleavings of the real reducers for calls that
// may run at most once: late, lost and doubled messages to the records, late
// sessions, lost answers of the service, entries and gates that restart, a cut
// to the control VMs. The service never executes twice for one key, nothing
// runs under an id that was told as not run, nobody is answered twice, and once
// the faults end every caller of a living entry is answered.
func TestAtMostOnce(t *testing.T) {
	setFlag(t, "rapid.checks", "2000")
	setFlag(t, "rapid.steps", "120")
	setFlag(t, "rapid.seed", "7")
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(f.actions())
		f.calm()
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

// actions are the steps; rapid draws the first ones more often.
func (f *fleet) actions() map[string]func(*rapid.T) {
	steps := []struct {
		name string
		step func()
	}{
		{"carry", f.carryAny},
		{"apply", func() { f.apply(0, false, false) }},
		{"carry", f.carryAny},
		{"tick", func() { f.tick(f.pause()) }},
		{"request", f.requestAny},
		{"serve", func() { f.serve("run") }},
		{"carry", f.carryAny},
		{"applyLate", func() { f.apply(f.draw("at", 5), false, false) }},
		{"applyTwice", func() { f.apply(0, true, false) }},
		{"loseAnswer", func() { f.apply(0, false, true) }},
		{"serveAndLose", func() { f.serve("lose") }},
		{"serveNot", func() { f.serve("miss") }},
		{"loseSession", f.loseAny},
		{"crash", func() { f.crash(f.draw("entry", len(f.entries))) }},
		{"restartGate", func() { f.restart(f.draw("gate", len(f.gates))) }},
		{"cut", f.cutAny},
		{"leave", f.leaveAny},
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

func (f *fleet) pause() time.Duration {
	return rapid.SampledFrom([]time.Duration{
		20 * time.Millisecond, 100 * time.Millisecond, time.Second, 4 * time.Second,
	}).Draw(f.t, "pause")
}

func (f *fleet) requestAny() {
	p := f.entries[f.draw("entry", len(f.entries))]
	within := time.Duration(f.draw("deadline", 3)) * 2 * time.Second
	f.request(p, fmt.Sprintf("k%d", f.draw("key", 2)), f.draw("status", 2) == 1, within)
}

// carryAny moves a message of one of the sessions that have some.
func (f *fleet) carryAny() {
	var waiting []func()
	for _, l := range f.links {
		if len(l.toGate) > 0 {
			waiting = append(waiting, func() { f.carry(l, true) })
		}
		if len(l.toEntry) > 0 {
			waiting = append(waiting, func() { f.carry(l, false) })
		}
	}
	if len(waiting) > 0 {
		waiting[f.draw("message", len(waiting))]()
	}
}

func (f *fleet) loseAny() {
	if len(f.links) > 0 {
		f.lose(f.links[f.draw("link", len(f.links))])
	}
}

// leaveAny has a caller leave; whether it gets an answer no longer counts.
func (f *fleet) leaveAny() {
	ids := slices.Sorted(maps.Keys(f.alive))
	if len(ids) == 0 {
		return
	}
	id := ids[f.draw("caller", len(ids))]
	p := f.alive[id]
	delete(f.alive, id)
	f.entry(p, entry.CallerLeft{At: f.now, RequestID: id})
}

func (f *fleet) cutAny() {
	p := f.entries[f.draw("entry", len(f.entries))]
	p.cut = !p.cut
}

// calm ends all faults and lets everything arrive, until each caller of a
// living entry has its answer.
func (f *fleet) calm() {
	for _, p := range f.entries {
		p.cut = false
	}
	for range 1500 {
		for len(f.commands) > 0 {
			f.apply(0, false, false)
		}
		for _, l := range f.links {
			f.carry(l, true)
			f.carry(l, false)
		}
		f.serve("run")
		if f.allAnswered() && len(f.commands) == 0 {
			return
		}
		f.tick(50 * time.Millisecond)
	}
	for id, p := range f.alive {
		if !p.dead && f.ended[id] == 0 {
			f.t.Fatalf("%s was never answered", id)
		}
	}
}

func (f *fleet) allAnswered() bool {
	for id, p := range f.alive {
		if !p.dead && f.ended[id] == 0 {
			return false
		}
	}
	return true
}
