package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the files of testdata/scripts. Each line is an event:
//
//	engines PREFILL DECODE TOKENS [silent]   the number of engines, and the memory of each
//	software ENGINE VERSION                  the software version of an engine
//	request SESSION/ID TOKENS [rank=N] [late] [call=N] [origin=VERSION]
//	withdraw SESSION/ID | prefilled SESSION/ID | end SESSION/ID OUTCOME
//	resume SESSION/ID TOKENS ENGINE   a placement that an earlier leader granted
//	disable-ranks                     ranks only order the waiting requests
//	lost SESSION | disconnect SESSION | pass FOR
//	flow COUNT TOKENS HELD      the number of requests, and how long each holds its memory
//
// A request is in time for 600 ms and waits for 2.7 s.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: t, now: scriptStart, state: New(1)}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				s.line(strings.Fields(line), &out)
			}
			return out.String()
		})
	})
}

type script struct {
	t     *testing.T
	now   time.Time
	state *State
	// servers are the engines.
	servers []message.BackendServer
}

func (s *script) line(words []string, out *strings.Builder) {
	var event Event
	switch words[0] {
	case "flow":
		s.flow(words)
		return
	case "engines":
		event = s.engines(words)
	case "software":
		i := slices.IndexFunc(s.servers, func(e message.BackendServer) bool { return e.Instance == words[1] })
		s.servers[i].SoftwareVersion = words[2]
		event = FleetChanged{At: s.now, Servers: s.servers[i : i+1], Forwarders: 1}
	case "disable-ranks":
		event = Configured{DisableRanks: true}
	case "request":
		event = s.request(words)
	case "withdraw":
		event = Withdrawn{At: s.now, Key: s.key(words[1])}
	case "prefilled":
		event = PrefillEnded{At: s.now, Key: s.key(words[1]), Took: 100 * time.Millisecond}
	case "end":
		event = Ended{At: s.now, Key: s.key(words[1]), Outcome: dispatch.Outcome(words[2])}
	case "resume":
		event = Resumed{At: s.now, Key: s.key(words[1]), Need: dispatch.Need{Service: "s", Prompt: s.number(words[2])}, Server: message.ServerStart{Instance: words[3]}}
	case "disconnect":
		event = SessionDisconnected{At: s.now, Session: uint64(s.number(words[1]))}
	case "lost":
		event = SessionLost{At: s.now, Session: uint64(s.number(words[1]))}
	case "pass":
		d, err := time.ParseDuration(words[1])
		is.New(s.t).NoErr(err)
		s.now = s.now.Add(d)
		event = Ticked{At: s.now}
	}
	for _, a := range Reduce(s.state, event) {
		fmt.Fprintf(out, "%d/%d ", a.Key.Session, a.Key.ID)
		if a.Refused != nil {
			fmt.Fprintln(out, "refused", a.Refused.Reason, "after", a.Refused.RetryAfter)
			continue
		}
		fmt.Fprintln(out, "to", a.Grant.Server.Instance)
	}
}

// flow has placements granted and ended, so that the time for which memory is held is
// known.
func (s *script) flow(words []string) {
	held, err := time.ParseDuration(words[3])
	is.New(s.t).NoErr(err)
	for i := range s.number(words[1]) {
		key := Key{Session: 1000, ID: uint64(i)}
		requested := s.request([]string{"request", "1000/" + strconv.Itoa(i), words[2]}).(Requested)
		Reduce(s.state, requested)
		s.now = s.now.Add(held)
		Reduce(s.state, Ended{At: s.now, Key: key, Outcome: dispatch.OutcomeAnswered})
	}
}

func (s *script) engines(words []string) Event {
	var list []message.BackendServer
	add := func(count int, name string, role oriolebend.PoolRole) {
		for i := range count {
			list = append(list, message.BackendServer{
				Instance: fmt.Sprintf("%s%d", name, i), Service: "s", Phase: message.PhaseReady, Role: role, Silent: len(words) > 4,
			})
		}
	}
	add(s.number(words[1]), "p", oriolebend.Prefill)
	add(s.number(words[2]), "d", oriolebend.Decode)
	s.servers = list
	limits := &oriolebend.EngineLimits{KVTokens: s.number(words[3])}
	return Fleet{
		Services: dispatch.Services{Services: []oriolebend.RouteService{{Name: "s", Engine: limits}}},
		Servers:  dispatch.Fleet{Servers: list, Forwarders: 1},
	}
}

func (s *script) request(words []string) Event {
	requested := Requested{
		At: s.now, Key: s.key(words[1]), Need: dispatch.Need{Service: "s", Prompt: s.number(words[2])},
		InTime: s.now.Add(600 * time.Millisecond), Until: s.now.Add(2700 * time.Millisecond),
	}
	for _, option := range words[3:] {
		if option == "late" {
			requested.InTime = s.now
		}
		if version, found := strings.CutPrefix(option, "origin="); found {
			requested.Need.Origin = &message.StreamOrigin{Service: "s", SoftwareVersion: version}
		}
		if rank, found := strings.CutPrefix(option, "rank="); found {
			requested.Rank = s.number(rank)
		}
		if call, found := strings.CutPrefix(option, "call="); found {
			requested.Call = uint64(s.number(call))
		}
	}
	return requested
}

func (s *script) key(word string) Key {
	session, id, _ := strings.Cut(word, "/")
	return Key{Session: uint64(s.number(session)), ID: uint64(s.number(id))}
}

func (s *script) number(word string) int {
	n, err := strconv.Atoi(word)
	is.New(s.t).NoErr(err)
	return n
}
