package quota

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the files of testdata/scripts. Each line of a block is an event:
//
//	excess WINDOW OVERSHOOT SLACK      starts with a new state that has these bounds
//	quota ORGANISATION PERSECOND BURST [ORGANISATION …]   replaces the declared organisations
//	leads NAME|- [MEMBERS]             "self" is this control VM
//	share SHARE NAME|- MEMBERS [lent]  quota leases: the share that this control VM may grant
//	request ORGANISATION COST [CALL] [xTIMES] [late] [rank=N]   prints the answers
//	return ORGANISATION COST
//	clock-jumped                       the VM was suspended
//	disable-ranks                      starts with a new state that treats all ranks alike
//	wait DURATION
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{is: is.New(t), now: scriptStart, state: New(Config{})}
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
	state *State
}

func (s *script) step(words []string, out *strings.Builder) {
	switch words[0] {
	case "excess":
		s.state = New(Config{Window: s.duration(words[1]), Overshoot: s.number(words[2]), Slack: s.number(words[3])})
	case "disable-ranks":
		s.state = New(Config{DisableRanks: true})
	case "quota":
		var list []oriolebend.Organisation
		for i := 1; i < len(words); i += 3 {
			list = append(list, oriolebend.Organisation{
				Name: words[i], Quota: oriolebend.Quota{PerSecond: s.number(words[i+1]), Burst: s.number(words[i+2])},
			})
		}
		Reduce(s.state, Declared{At: s.now, Organisations: list})
	case "leads":
		members := 1
		if len(words) > 2 {
			members = int(s.number(words[2]))
		}
		Reduce(s.state, LeadershipObserved{At: s.now, Lead: words[1] == "self", Leader: strings.Trim(words[1], "-"), Members: members})
	case "share":
		leases := Leases{Enabled: true, Share: s.number(words[1]), Lent: len(words) > 4}
		Reduce(s.state, LeadershipObserved{
			At: s.now, Lead: words[2] == "self", Leader: strings.Trim(words[2], "-"), Members: int(s.number(words[3])), Leases: leases,
		})
	case "request":
		s.request(words, out)
	case "return":
		Reduce(s.state, Returned{At: s.now, Organisation: words[1], Cost: s.number(words[2])})
	case "clock-jumped":
		Reduce(s.state, ClockJumped{At: s.now})
	case "wait":
		s.now = s.now.Add(s.duration(words[1]))
	}
}

// request sends one request, or several requests with consecutive call numbers.
func (s *script) request(words []string, out *strings.Builder) {
	call, times, late, rank := uint64(0), 1, false, 0
	for _, word := range words[3:] {
		if text, found := strings.CutPrefix(word, "rank="); found {
			rank = int(s.number(text))
			continue
		}
		if word == "late" {
			late = true
			continue
		}
		if text, found := strings.CutPrefix(word, "x"); found {
			times = int(s.number(text))
			continue
		}
		call = uint64(s.number(word))
	}
	for range times {
		a := Reduce(s.state, Requested{At: s.now, Organisation: words[1], Cost: s.number(words[2]), Call: call, Late: late, Rank: rank})[0]
		switch {
		case a.Granted:
			fmt.Fprintln(out, "granted")
		case a.Exhausted && a.Reserved > 0:
			fmt.Fprintf(out, "quota exhausted, retry after %v, %.1f reserved\n", a.RetryAfter.Round(time.Millisecond), a.Reserved)
		case a.Exhausted:
			fmt.Fprintln(out, "quota exhausted, retry after", a.RetryAfter.Round(time.Millisecond))
		default:
			fmt.Fprintln(out, "not counted here")
		}
		call++
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
