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
//	crash NAME REQUEST[+PART…] INSTANCE[@N] [AGE]	a server crashed while it began to work on a
//		request whose prompt has these parts; the connection to it was opened AGE ago
//	answer NAME REQUEST[+PART…]	a server answered the request
//	receive NAME SENDER	a process receives all reports of another process
//	release NAME REQUEST	an operator ends a quarantine
//	wait DURATION
//	status NAME REQUEST[+PART…]	prints whether the request is quarantined, and for how long
//
// The effects are printed after the name of the process. Refutations are due at once.
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

// domainCheck is how long after a crash "domain-serves" follows.
const domainCheck = 500 * time.Millisecond

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
		crashed := Crashed{At: s.now, Suspects: s.suspects(words[2]), Server: start}
		if len(words) > 4 {
			ago, err := time.ParseDuration(words[4])
			is.New(t).NoErr(err)
			crashed.Opened = s.now.Add(-ago)
		}
		s.show(words[1], out, Reduce(s.processes[words[1]], crashed))
	case "domain-serves":
		for _, instance := range words[2:] {
			served := DomainServed{At: s.now, Server: message.ServerStart{Instance: instance}, Crashed: s.now.Add(-domainCheck)}
			s.show(words[1], out, Reduce(s.processes[words[1]], served))
		}
	case "answer":
		s.show(words[1], out, Reduce(s.processes[words[1]], Answered{At: s.now, Suspects: s.suspects(words[2])}))
	case "release":
		s.show(words[1], out, Reduce(s.processes[words[1]], ReleaseRequested{At: s.now, Fingerprint: s.fingerprint(words[2])}))
	case "receive":
		reports := s.processes[words[2]].Reports(s.now)
		s.show(words[1], out, Reduce(s.processes[words[1]], ReportsReceived{At: s.now, Reports: reports, Forward: true}))
	case "status":
		held, quarantined := s.processes[words[1]].Quarantined(s.now, s.suspects(words[2]))
		fmt.Fprintf(out, "%s: %s quarantined %v %s\n", words[1], words[2], quarantined, held.Left)
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

// suspects returns the suspects of a request with the parts of its prompt.
func (s *script) suspects(text string) Suspects {
	request, parts, _ := strings.Cut(text, "+")
	list := Suspects{Request: s.fingerprint(request)}
	for part := range strings.SplitSeq(parts, "+") {
		if part != "" {
			list.Parts = append(list.Parts, s.fingerprint(part))
		}
	}
	return list
}

func (s *script) show(process string, out *strings.Builder, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendReports:
			fmt.Fprintf(out, "%s: send %s\n", process, s.text(e.Reports))
		case ScheduleRefutation:
			s.show(process, out, Reduce(s.processes[process], RefutationDue{At: s.now, Fingerprint: e.Fingerprint}))
		case Quarantined:
			fmt.Fprintf(out, "%s: quarantine %s for %s, crashed: %s\n", process, s.names(e.Together), e.For, strings.Join(e.Servers, " "))
		case Released:
			fmt.Fprintf(out, "%s: release %s, %s\n", process, s.fingerprints[e.Fingerprint-1], e.Reason)
		}
	}
}

// names returns the names of requests and parts.
func (s *script) names(fingerprints []Fingerprint) string {
	var words []string
	for _, fingerprint := range fingerprints {
		words = append(words, s.fingerprints[fingerprint-1])
	}
	return strings.Join(words, "+")
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
		Reduce(s, Crashed{At: scriptStart, Suspects: Suspects{Request: 1}, Server: message.ServerStart{Instance: fmt.Sprint(i)}})
	}
	for i := range 4 * maxSuspects {
		Reduce(s, Crashed{At: scriptStart.Add(time.Duration(i)), Suspects: Suspects{Request: Fingerprint(2 + i)}, Server: message.ServerStart{Instance: "a"}})
	}
	counts := s.Reported(scriptStart)[KindRequest]
	is.True(counts.Reported <= maxSuspects)
	is.True(counts.Reported >= maxSuspects/2)
	is.Equal(counts.Held, 1)
	for i := range 4 * maxReports {
		Reduce(s, Crashed{At: scriptStart, Suspects: Suspects{Request: 1}, Server: message.ServerStart{Instance: "b", Incarnation: uint64(i)}})
	}
	is.Equal(len(s.suspects[1].reports), maxReports)
}

// TestOrderOfReportsDoesNotMatter checks that processes that receive the same reports have the same
// state, whatever the order and however often they receive them.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	var reports []message.CrashReport
	for i := range 4 {
		reports = append(reports, message.CrashReport{Fingerprint: 1, Instance: fmt.Sprint(i), Age: time.Duration(i) * 10 * time.Minute})
	}
	// The last answer refutes the crash of half an hour ago; an earlier one refutes nothing more.
	reports[0].AnsweredAge, reports[3].AnsweredAge = 28*time.Minute, 25*time.Minute
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
		_, quarantined := s.Quarantined(scriptStart, Suspects{Request: 1})
		is.True(quarantined)
		is.Equal(len(s.suspects[1].crashes()), 3)
	}
}
