package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScripts runs the scripts in testdata. Each step prints its effects.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				w = newWorld(Config{Server: "s", ChecksFencing: d.HasArg("checks")})
			} else {
				w.log = nil
				runScript(t, w, d)
			}
			return renderLog(w.log) + fmt.Sprintf("= %s %s %s %v %v\n", w.gate, w.sidecar.report.Progress, w.info.Role, w.info.Models, w.faults)
		})
	})
}

// renderLog returns the effects without queries to the engine and renewals of
// permits.
func renderLog(log []string) string {
	var lines strings.Builder
	for _, line := range log {
		if !strings.HasPrefix(line, "QueryEngine") && !strings.Contains(line, "HeldOut:true HeldLoad:false") {
			lines.WriteString(line + "\n")
		}
	}
	return lines.String()
}

func runScript(t *testing.T, w *world, d *datadriven.TestData) {
	switch d.Cmd {
	case "declare":
		var role, version string
		d.ScanArgs(t, "role", &role)
		d.ScanArgs(t, "version", &version)
		var adapters []string
		if d.HasArg("adapter") {
			adapters = make([]string, 1)
			d.ScanArgs(t, "adapter", &adapters[0])
		}
		w.declareTarget(poolTarget(oriolebend.PoolRole(role), version, adapters...))
	case "state":
		target := w.target
		target.State = oriolebend.ServerState(d.CmdArgs[0].Key)
		w.declareTarget(target)
	case "deny":
		w.deny = true
	case "grant":
		w.deny = false
	case "busy":
		w.busy = true
	case "idle":
		w.busy = false
	case "lose": // the next orders act after a delay, and their answers are lost
		var after int
		d.ScanArgs(t, "after", &after)
		w.orderFate = func(engine.Order) (time.Duration, bool) { return time.Duration(after) * time.Second, true }
	case "recover":
		w.orderFate = func(engine.Order) (time.Duration, bool) { return time.Second, false }
	case "restart":
		w.restart()
		if d.HasArg("ended") {
			w.endMembership()
			w.declare()
		}
		w.answerAnnouncement()
	case "advance":
		var seconds int
		d.ScanArgs(t, "s", &seconds)
		w.advanceClock(time.Duration(seconds) * time.Second)
	default:
		t.Fatalf("no command %q", d.Cmd)
	}
}

// TestOlderOrderNeverActsLater runs random histories of a sidecar with engines
// that check fencing numbers and engines that ignore them.
//
// It guards against an engine that returns to a version that operators have
// replaced, or unloads its model while work is running. This happens if the
// answer of an order is lost or the sidecar crashes, and the sidecar then issues
// a newer order or accepts work while the older order may still act.
func TestOlderOrderNeverActsLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quiet := 20 * time.Second
		w := newWorld(Config{Server: "s", ChecksFencing: rapid.Bool().Draw(t, "checks"), QuietFor: quiet})
		w.orderFate = func(engine.Order) (time.Duration, bool) {
			delay := rapid.IntRange(0, int(quiet/time.Second)-1).Draw(t, "delay")
			return time.Duration(delay) * time.Second, rapid.Bool().Draw(t, "lost")
		}
		w.answersLate = func() bool { return rapid.IntRange(0, 3).Draw(t, "late") == 0 }
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			randomStep(t, w)
		}
		if len(w.faults) > 0 {
			t.Fatalf("%v", w.faults)
		}
		w.deny, w.busy, w.answersLate = false, false, nil
		w.orderFate = func(engine.Order) (time.Duration, bool) { return time.Second, false }
		w.advanceClock(5 * time.Minute)
		if len(w.faults) > 0 || !w.sidecar.Settled() || len(ordersFor(w.target, w.info)) > 0 {
			t.Fatalf("%v, %+v, target %+v, engine %+v", w.faults, w.sidecar.report, w.target, w.info)
		}
	})
}

func randomStep(t *rapid.T, w *world) {
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1:
		role := rapid.SampledFrom([]oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode}).Draw(t, "role")
		w.declareTarget(poolTarget(role, rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")))
	case 2:
		w.restart()
		if rapid.Bool().Draw(t, "membershipEnded") {
			w.endMembership()
			w.declare()
		}
		if rapid.Bool().Draw(t, "answered") {
			w.answerAnnouncement()
		}
	case 3:
		w.deny = !w.deny
	case 4:
		w.busy = !w.busy
	case 5: // the engine restarts empty, and the orders on their way are lost
		w.info = engine.Info{Role: oriolebend.Decode, Incarnation: w.info.Incarnation + 1}
		lost := len(w.onWay)
		w.onWay = nil
		if lost > 0 && w.sidecar.inFlight != nil {
			w.reduce(Finished{At: w.now, Unsure: true, Reason: oriolebend.ReasonOutcomeLost})
		}
	default:
		w.advanceClock(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
	}
}

func TestOutdatedSidecarOrdersNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(Config{Server: "s", ChecksFencing: true})
	w.info.Fencing = 90 // the engine has seen a higher number than this sidecar
	w.declareTarget(poolTarget(oriolebend.Decode, "v1"))
	w.advanceClock(3 * time.Minute)
	is.Equal(len(w.actedFencing), 0)
	is.Equal(string(w.sidecar.report.Progress), "outdated")
	w.revision = 95
	w.declare()
	w.advanceClock(time.Minute)
	is.True(w.sidecar.Settled())
}
