package serverlimit

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the files of testdata/scripts. Each line of a block is an event:
//
//	leads TERM | follows TERM | clock-jumped
//	request SERVER PERSECOND [AGE] [xTIMES]   the limit was reported AGE ago; prints the answers
//	return SERVER
//	lifted SERVER AGE                     a request sent AGE ago was answered without a limit
//	wait DURATION
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{is: is.New(t), now: scriptStart, state: New()}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				s.step(strings.Fields(line), &out)
			}
			return out.String()
		})
	})
}

type script struct {
	is    *is.I
	now   time.Time
	term  uint64
	lead  bool
	state *State
}

func (s *script) step(words []string, out *strings.Builder) {
	switch words[0] {
	case "leads", "follows":
		s.lead, s.term = words[0] == "leads", uint64(s.number(words[1]))
		Reduce(s.state, LeadershipObserved{At: s.now, Lead: s.lead, Term: s.term})
	case "clock-jumped":
		Reduce(s.state, LeadershipObserved{At: s.now, Lead: s.lead, Term: s.term, ClockJumped: true})
	case "request":
		s.request(words, out)
	case "return":
		Reduce(s.state, Returned{At: s.now, Server: start(words[1])})
	case "lifted":
		Reduce(s.state, LimitLifted{At: s.now, Server: start(words[1]), Sent: s.now.Add(-s.duration(words[2]))})
	case "wait":
		s.now = s.now.Add(s.duration(words[1]))
	}
}

// start parses INSTANCE or INSTANCE/INCARNATION.
func start(word string) message.ServerStart {
	instance, incarnation, _ := strings.Cut(word, "/")
	number, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		number = 0
	}
	return message.ServerStart{Instance: instance, Incarnation: number}
}

func (s *script) request(words []string, out *strings.Builder) {
	age, times := time.Duration(0), 1
	for _, word := range words[3:] {
		if text, found := strings.CutPrefix(word, "x"); found {
			times = int(s.number(text))
			continue
		}
		age = s.duration(word)
	}
	for range times {
		a := Reduce(s.state, Requested{At: s.now, Server: start(words[1]), PerSecond: s.number(words[2]), ReportedAt: s.now.Add(-age)})[0]
		switch {
		case a.Unlimited:
			fmt.Fprintln(out, "no limit any longer")
		case a.Granted:
			fmt.Fprintln(out, "granted")
		case a.Counted:
			fmt.Fprintln(out, "refused, retry after", a.RetryAfter.Round(time.Millisecond))
		default:
			fmt.Fprintln(out, "not counted here")
		}
	}
}

func (s *script) number(word string) float64 {
	value, err := strconv.ParseFloat(word, 64)
	s.is.NoErr(err)
	return value
}

func (s *script) duration(word string) time.Duration {
	value, err := time.ParseDuration(word)
	s.is.NoErr(err)
	return value
}
