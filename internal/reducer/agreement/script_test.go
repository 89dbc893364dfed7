package agreement

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scenarios in testdata. Each file begins with the failure that it guards
// against and how that comes about. Commands:
//
//	group names=(a,b,c) founders=3 minVoters=3
//	do          one action a line: run TICKS, propose VM N, sync VM N,
//	            confirm VM, cut A B, heal, crash VM [WRITTEN], start VM,
//	            wipe VM, suspend VM, resume VM, hold VM, release VM, snapshot VM, transfer VM, stop VM,
//	            add VM NAME, remove VM NAME, and on the oldest message from
//	            one VM to another: deliver, drop, double, delay, keep FROM TO; a
//	            kept message survives a crash of its sender and is sent on by "late"
//	status      the state of all members, and the refusals since the last report
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "group":
				var names []string
				founders := 3
				d.ScanArgs(t, "names", &names)
				d.MaybeScanArgs(t, "founders", &founders)
				config := smallConfig()
				d.MaybeScanArgs(t, "minVoters", &config.MinVoters)
				s = newSim(names, founders, config)
			case "do":
				for line := range strings.Lines(d.Input) {
					s.act(t, strings.Fields(line))
				}
			}
			return s.report()
		})
	})
}

func (s *sim) report() string {
	text := s.status()
	for _, reason := range slices.Sorted(maps.Keys(s.refused)) {
		text += fmt.Sprintf("refused %s: %d\n", reason, s.refused[reason])
	}
	s.refused = map[string]int{}
	if s.failure != "" {
		text += "FAILED " + s.failure + "\n"
	}
	return text
}

func (s *sim) act(t *testing.T, words []string) {
	number := func(i int) int {
		if i >= len(words) {
			return 0
		}
		n, err := strconv.Atoi(words[i])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	vm := func() *vm { return s.vm(words[1]) }
	switch words[0] {
	case "run":
		s.run(number(1))
	case "propose":
		s.propose(vm(), number(2))
	case "confirm":
		s.confirm(vm())
	case "cut":
		s.cut[[2]string{words[1], words[2]}] = true
	case "heal":
		s.cut = map[[2]string]bool{}
	case "crash":
		s.crash(vm(), number(2))
	case "start":
		s.start(vm())
	case "wipe":
		s.wipe(vm())
	case "hold":
		vm().noSync = true
	case "suspend":
		vm().suspended = true
	case "resume":
		vm().suspended = false
	case "release":
		vm().noSync = false
	case "sync":
		s.sync(vm(), number(2))
	case "snapshot":
		s.makeSnapshot(vm())
	case "transfer":
		s.feed(vm(), TransferRequested{s.now})
	case "stop":
		s.feed(vm(), StopRequested{s.now})
	case "add":
		s.change(vm(), ChangeAdd, words[2])
	case "remove":
		s.change(vm(), ChangeRemove, words[2])
	case "late":
		s.inFlight, s.kept = append(s.inFlight, s.kept...), nil
	default:
		s.actOnMessage(t, words)
	}
}

// actOnMessage acts on the oldest message from one member to another.
func (s *sim) actOnMessage(t *testing.T, words []string) {
	at := slices.IndexFunc(s.inFlight, func(w envelope) bool { return w.from == words[1] && w.to == words[2] })
	if at < 0 {
		t.Fatalf("no message from %s to %s", words[1], words[2])
	}
	switch words[0] {
	case "deliver":
		s.deliver(at)
	case "drop":
		s.inFlight = slices.Delete(s.inFlight, at, at+1)
	case "keep":
		s.kept = append(s.kept, s.inFlight[at])
		s.inFlight = slices.Delete(s.inFlight, at, at+1)
	case "double":
		s.inFlight = append(s.inFlight, s.inFlight[at])
	case "delay":
		s.inFlight = append(slices.Delete(s.inFlight, at, at+1), s.inFlight[at])
	default:
		t.Fatalf("unknown action %v", words)
	}
}
