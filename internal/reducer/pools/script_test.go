package pools

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the files of testdata/scripts. Each line is an event:
//
//	software VERSION ENGINE...  the software version of some engines, set by the next engines
//	engines PREFILL DECODE [start=N]   the number of engines of each pool, in three failure
//	                            domains, all of the given incarnation
//	lead TERM | follow          whether this control VM leads
//	pass SECONDS [prompt=N requests=N held=N [written=N]]   the load of each second, whose
//	                            generations hold the given tokens of memory; generations
//	                            that ended have written 10,000 tokens, or N
//	answer unsure | refused | backoff SECONDS   the outcome of the last order
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s, now, last := New(), scriptStart, Order{}
		software := map[string]string{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				words := strings.Fields(line)
				switch words[0] {
				case "software":
					for _, engine := range words[2:] {
						software[engine] = words[1]
					}
				case "engines":
					e := engines(number(t, words[1]), number(t, words[2]))
					for i := range e.Servers {
						e.Servers[i].SoftwareVersion = software[e.Servers[i].Instance]
					}
					if len(words) > 3 {
						setIncarnation(&e, uint64(number(t, strings.TrimPrefix(words[3], "start="))))
					}
					Reduce(s, e)
				case "lead":
					Reduce(s, LeadershipReported{At: now, Lead: true, Term: uint64(number(t, words[1]))})
				case "follow":
					Reduce(s, LeadershipReported{At: now})
				case "answer":
					answered := OrderAnswered{At: now, Order: last, OutcomeUnknown: words[1] == "unsure"} // never accepted
					if words[1] == "backoff" {
						answered.Backoff = time.Duration(number(t, words[2])) * time.Second
					}
					Reduce(s, answered)
				case "pass":
					for range number(t, words[1]) {
						now = now.Add(time.Second)
						if len(words) > 2 {
							Reduce(s, LoadsReported{Loads: []message.ServiceLoad{load(t, words[2:])}})
						}
						for _, o := range Reduce(s, Ticked{At: now}) {
							last = o
							fmt.Fprintf(&out, "%ds: %s to %s, fencing %d-%d, wanted %.1f\n", int(now.Sub(scriptStart).Seconds()),
								o.Engine.Instance, o.Role, o.Fencing/fencingPerTerm, o.Fencing%fencingPerTerm, o.Grounds.Wanted)
						}
					}
				}
			}
			return out.String()
		})
	})
}

func number(t *testing.T, word string) int {
	t.Helper()
	n, err := strconv.Atoi(word)
	is.New(t).NoErr(err)
	return n
}

func engines(prefill, decode int) Engines {
	e := Engines{Services: []oriolebend.RouteService{{
		Name:   "s",
		Engine: &oriolebend.EngineLimits{KVTokens: 60000, RoleChange: oriolebend.Duration(6 * time.Second)},
	}}}
	domains := []string{"a", "b", "c"}
	for i := range prefill + decode {
		server := message.BackendServer{
			Instance: fmt.Sprintf("e%02d", i), Service: "s", Phase: message.PhaseReady,
			FailureDomain: domains[i%len(domains)], Role: oriolebend.Decode,
		}
		if i < prefill {
			server.Role = oriolebend.Prefill
		}
		e.Servers = append(e.Servers, server)
	}
	return e
}

// setIncarnation sets the incarnation of all engines.
func setIncarnation(e *Engines, incarnation uint64) {
	for i := range e.Servers {
		e.Servers[i].Incarnation = incarnation
	}
}

func load(t *testing.T, words []string) message.ServiceLoad {
	t.Helper()
	l := message.ServiceLoad{Service: "s", Rate: 50}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "prompt":
			l.PromptTokens = number(t, value)
		case "requests":
			l.Requests = number(t, value)
		case "held":
			// The engines write one token per millisecond.
			l.DecodeWork = float64(number(t, value)) * 1000
			l.Written, l.Writing = 10_000, 10*time.Second
		case "written":
			l.Written = number(t, value)
			l.Writing = time.Duration(l.Written) * time.Millisecond
		}
	}
	return l
}
