package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// scriptStart is the time at which scripts begin.
var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// script simulates several processes that exchange crash reports.
type script struct {
	now          time.Time
	processes    map[string]*State
	fingerprints []string
}

// TestScripts runs the files of testdata/scripts. Each line of a block "run" is an event:
//
//	forwarder NAME | control NAME	starts a process without reports
//	crash NAME REQUEST INSTANCE[@N] [AGE]	a server crashed while it began to work on a request;
//		the connection to it was opened AGE ago
//	answer NAME REQUEST	a server answered the request
//	receive NAME SENDER	a process receives all reports of another process
//	wait DURATION
//	status NAME REQUEST	prints whether the request is quarantined, and for how long
//
// The effects are printed after the name of the process.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{now: scriptStart, processes: map[string]*State{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				s.step(t, strings.Fields(line), &out)
			}
			return out.String()
		})
	})
}

func (s *script) step(t *testing.T, words []string, out *strings.Builder) {
	t.Helper()
	switch words[0] {
	case "forwarder":
		s.processes[words[1]] = New(Config{TrackAnswers: true})
	case "control":
		s.processes[words[1]] = New(Config{MinReports: Limit})
	case "wait":
		length, err := time.ParseDuration(words[1])
		is.New(t).NoErr(err)
		s.now = s.now.Add(length)
		for _, process := range s.processes {
			Reduce(process, Ticked{At: s.now})
		}
	case "crash":
		instance, incarnation, _ := strings.Cut(words[3], "@")
		start := message.ServerStart{Instance: instance, Incarnation: uint64(len(incarnation))}
		crashed := Crashed{At: s.now, Fingerprint: s.fingerprint(words[2]), Server: start}
		if len(words) > 4 {
			ago, err := time.ParseDuration(words[4])
			is.New(t).NoErr(err)
			crashed.Opened = s.now.Add(-ago)
		}
		s.show(words[1], out, Reduce(s.processes[words[1]], crashed))
	case "answer":
		s.show(words[1], out, Reduce(s.processes[words[1]], Answered{At: s.now, Fingerprint: s.fingerprint(words[2])}))
	case "receive":
		reports := s.processes[words[2]].Reports(s.now)
		s.show(words[1], out, Reduce(s.processes[words[1]], ReportsReceived{At: s.now, Reports: reports, Forward: true}))
	case "status":
		left, quarantined := s.processes[words[1]].Quarantined(s.now, s.fingerprint(words[2]))
		if !quarantined {
			left = 0
		}
		fmt.Fprintf(out, "%s: %s quarantined %v %s\n", words[1], words[2], quarantined, left)
	default:
		t.Fatalf("unknown event %q", words[0])
	}
}

// fingerprint returns a number for a request's name, counted from 1.
func (s *script) fingerprint(name string) Fingerprint {
	if !slices.Contains(s.fingerprints, name) {
		s.fingerprints = append(s.fingerprints, name)
	}
	return Fingerprint(slices.Index(s.fingerprints, name) + 1)
}

func (s *script) show(process string, out *strings.Builder, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendReports:
			fmt.Fprintf(out, "%s: send %s\n", process, s.text(e.Reports))
		case Quarantined:
			fmt.Fprintf(out, "%s: quarantine %s for %s, crashed: %s\n", process, s.fingerprints[e.Fingerprint-1], e.For, strings.Join(e.Servers, " "))
		case Released:
			fmt.Fprintf(out, "%s: release %s\n", process, s.fingerprints[e.Fingerprint-1])
		}
	}
}

func (s *script) text(reports []message.CrashReport) string {
	var words []string
	for _, m := range reports {
		word := s.fingerprints[m.Fingerprint-1] + "/" + m.Instance
		if m.Refuted {
			word += "(refuted)"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// TestReportsAreBounded guards against unbounded memory after a failure domain is lost and
// thousands of requests are reported. Requests under which several servers crashed are kept in
// preference to others.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	s := New(Config{TrackAnswers: true})
	for i := range 2 * Limit {
		Reduce(s, Crashed{At: scriptStart, Fingerprint: 1, Server: message.ServerStart{Instance: fmt.Sprint(i)}})
	}
	for i := range 4 * maxRequests {
		Reduce(s, Crashed{At: scriptStart.Add(time.Duration(i)), Fingerprint: Fingerprint(2 + i), Server: message.ServerStart{Instance: "a"}})
	}
	reported, quarantined := s.Reported(scriptStart)
	is.True(reported <= maxRequests)
	is.True(reported >= maxRequests/2)
	is.Equal(quarantined, 1)
	for i := range 4 * maxReports {
		Reduce(s, Crashed{At: scriptStart, Fingerprint: 1, Server: message.ServerStart{Instance: "b", Incarnation: uint64(i)}})
	}
	is.Equal(len(s.requests[1].reports), maxReports)
}

// TestOrderOfReportsDoesNotMatter checks that processes that receive the same reports have the same
// state, whatever the order and however often they receive them.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	var reports []message.CrashReport
	for i := range 4 {
		reports = append(reports, message.CrashReport{
			Fingerprint: 1, Instance: fmt.Sprint(i), Age: time.Duration(i) * time.Minute, Refuted: i == 3,
		})
	}
	var want []message.CrashReport
	for shift := range reports {
		s := New(Config{})
		for i := range 2 * len(reports) {
			Reduce(s, ReportsReceived{At: scriptStart, Reports: reports[(i+shift)%len(reports):][:1], Forward: true})
		}
		if want == nil {
			want = s.Reports(scriptStart)
		}
		is.Equal(s.Reports(scriptStart), want)
		_, quarantined := s.Quarantined(scriptStart, 1)
		is.True(quarantined)
	}
}
