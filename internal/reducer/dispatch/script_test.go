package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// script applies events to one state and remembers the grants.
type script struct {
	t      *testing.T
	now    time.Time
	state  *State
	grants map[string]Grant
	// counted is when a repeat was last counted.
	counted time.Time
}

// TestScripts runs the files of testdata/scripts. Their commands:
//
//	fleet [forwarders=N]    INSTANCE SERVICE DOMAIN [ROLE] [PHASE] [silent] [changing]
//	                        [unconfirmed] [start=N] [software=VERSION] a line
//	service NAME [kv=N] [part=N]   declares a service; kv makes it a service of engines
//	do                      place NAME SERVICE [prompt=N] [pause=FOR] [retry] [tried=A,B] [excluded=A,B]
//	                        [from=DOMAIN] [within=FOR] [origin=VERSION]
//	                        end NAME OUTCOME [TOOK] | prefilled NAME TOOK | prefill-failed NAME
//	                        generated NAME TOOK [PARTS]
//	                        wrote SERVER TIME-FOR-AN-EVENT COUNT   COUNT streams that ended there
//	                        read SERVER TIME COUNT   COUNT prompts of 1000 tokens were prefilled there
//	                        resend NAME | send NAME | offer NAME | exited SERVER | pass FOR
//	                        notice SERVER [limit=N] [backoff=FOR] [leaving] [sent=AGO] [failed]
//	                        no-permit SERVER FOR | unlimited SERVER
//	                        requests SERVICE COUNT | repeat SERVICE MOST   repeats until one is refused
//	                        withdraw SERVICE   the last repeat
//	                        prompt SERVICE | rejected SERVICE   a prompt call, and one that was rejected
//	loads                   prints the work done on engines
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{
			t: t, now: scriptStart, grants: map[string]Grant{},
			state: New(Config{FailureDomain: "a", Seed: 1}),
		}
		var services []oriolebend.RouteService
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "fleet":
				s.fleet(d)
			case "service":
				services = append(services, declaredService(d))
				Reduce(s.state, Services{Services: services})
			case "do":
				for line := range strings.Lines(d.Input) {
					s.do(strings.Fields(line), &out)
				}
			case "loads":
				for _, l := range s.state.Loads() {
					fmt.Fprintf(&out, "%s requests %d prompt %d rate %.0f work %.0f written %d in %v\n",
						l.Service, l.Requests, l.PromptTokens, l.Rate, l.DecodeWork, l.Written, l.Writing)
				}
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return out.String()
		})
	})
}

func (s *script) fleet(d *datadriven.TestData) {
	var servers []message.BackendServer
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		server := message.BackendServer{
			Instance: words[0], Service: words[1], FailureDomain: words[2], Address: words[0] + ":1", Phase: message.PhaseReady,
		}
		for _, word := range words[3:] {
			if number, found := strings.CutPrefix(word, "start="); found {
				server.Incarnation, _ = strconv.ParseUint(number, 10, 64)
				continue
			}
			if version, found := strings.CutPrefix(word, "software="); found {
				server.SoftwareVersion = version
				continue
			}
			switch word {
			case "prefill", "decode":
				server.Role = oriolebend.PoolRole(word)
			case "silent":
				server.Silent = true
			case "changing":
				server.Changing = true
			case "unconfirmed":
				server.Unconfirmed = true
			default:
				server.Phase = message.ServerPhase(word)
			}
		}
		servers = append(servers, server)
	}
	forwarders := 0
	d.MaybeScanArgs(s.t, "forwarders", &forwarders)
	Reduce(s.state, Fleet{At: s.now, Servers: servers, Forwarders: forwarders})
}

func declaredService(d *datadriven.TestData) oriolebend.RouteService {
	declared := oriolebend.RouteService{Name: d.CmdArgs[0].Key}
	for _, arg := range d.CmdArgs[1:] {
		tokens, _ := strconv.Atoi(arg.Vals[0])
		switch arg.Key {
		case "kv":
			declared.Engine = &oriolebend.EngineLimits{KVTokens: tokens, TokenBytes: 18432, LinkMbps: 740000}
		case "part":
			declared.Engine.TokensPerPart = tokens
		}
	}
	return declared
}

func (s *script) do(words []string, out *strings.Builder) {
	s.t.Helper()
	is := is.New(s.t)
	switch words[0] {
	case "pass":
		d, err := time.ParseDuration(words[1])
		is.NoErr(err)
		s.now = s.now.Add(d)
	case "place":
		s.place(words[1], words[2], words[3:], out)
	case "resend":
		print(out, words[1], Reduce(s.state, ResendRequested{At: s.now, Grant: s.grants[words[1]]}))
	case "send":
		print(out, words[1], Reduce(s.state, SendRequested{At: s.now, Grant: s.grants[words[1]]}))
	case "end":
		ended := Ended{At: s.now, Grant: s.grants[words[1]], Outcome: Outcome(words[2])}
		if len(words) > 3 {
			ended.Took, _ = time.ParseDuration(words[3])
		}
		Reduce(s.state, ended)
	case "prefilled":
		took, err := time.ParseDuration(words[2])
		is.NoErr(err)
		Reduce(s.state, PrefillEnded{At: s.now, Grant: s.grants[words[1]], Took: took})
		g := s.grants[words[1]]
		Reduce(s.state, PrefillMeasured{At: s.now, Need: g.Need, Server: g.Prefill, Took: took, Ahead: g.Ahead})
	case "wrote", "read":
		s.measured(words[0] == "wrote", words[1], words[2], words[3])
	case "generated":
		took, err := time.ParseDuration(words[2])
		is.NoErr(err)
		written := GenerationMeasured{Need: s.grants[words[1]].Need, Took: took}
		if len(words) > 3 {
			written.Parts, err = strconv.Atoi(words[3])
			is.NoErr(err)
		}
		Reduce(s.state, written)
	case "requests":
		count, err := strconv.Atoi(words[2])
		is.NoErr(err)
		for range count {
			Reduce(s.state, RequestCounted{At: s.now, Service: words[1]})
		}
	case "repeat":
		s.repeat(words[1], words[2], out)
	case "withdraw":
		Reduce(s.state, RepeatWithdrawn{At: s.now, Service: words[1], Counted: s.counted})
	case "prompt":
		printDecision(out, "prompt", Reduce(s.state, PromptRequested{At: s.now, Service: words[1]}))
	case "rejected":
		Reduce(s.state, PromptRejected{At: s.now, Service: words[1]})
	case "offer":
		printDecision(out, words[1], Reduce(s.state, PlacementOffered{At: s.now, Server: s.grants[words[1]].Server}))
	case "exited":
		Reduce(s.state, ServerExited{At: s.now, Server: s.state.servers[words[1]].BackendServer})
	case "notice":
		s.notice(words, out)
	case "no-permit":
		after, err := time.ParseDuration(words[2])
		is.NoErr(err)
		Reduce(s.state, PermissionRefused{At: s.now, Server: message.BackendServer{Instance: words[1]}, After: after})
	case "unlimited":
		Reduce(s.state, LimitEnded{At: s.now, Server: message.BackendServer{Instance: words[1]}})
	case "prefill-failed":
		Reduce(s.state, PrefillEnded{At: s.now, Grant: s.grants[words[1]], Failed: true})
	}
}

// measured reports streams of eleven events that have ended at a server, or prompts.
func (s *script) measured(stream bool, server, unit, count string) {
	is := is.New(s.t)
	took, err := time.ParseDuration(unit)
	is.NoErr(err)
	times, err := strconv.Atoi(count)
	is.NoErr(err)
	c := s.state.servers[server]
	for range times {
		if !stream {
			Reduce(s.state, PrefillMeasured{At: s.now, Need: Need{Service: c.Service, Prompt: 1000}, Server: &c.BackendServer, Took: took})
			continue
		}
		Reduce(s.state, OutcomeObserved{
			At: s.now, Grant: Grant{Need: Need{Service: c.Service, Prompt: 1, Output: 100}, Server: c.BackendServer, Batch: c.inProgress},
			Outcome: OutcomeAnswered, Writing: 10 * took, Events: 11,
		})
	}
}

// notice has a server report its state with a served response to a request sent just now.
func (s *script) notice(words []string, out *strings.Builder) {
	is := is.New(s.t)
	e := NoticeReceived{At: s.now, Sent: s.now, Server: message.BackendServer{Instance: words[1]}, Served: true}
	for _, option := range words[2:] {
		key, value, _ := strings.Cut(option, "=")
		var err error
		switch key {
		case "limit":
			e.Notice.Limited = true
			e.Notice.PerSecond, err = strconv.ParseFloat(value, 64)
		case "backoff":
			e.Notice.Backoff, err = time.ParseDuration(value)
		case "leaving":
			e.Notice.Leaving = true
		case "sent":
			var ago time.Duration
			ago, err = time.ParseDuration(value)
			e.Sent = s.now.Add(-ago)
		case "failed":
			e.Served = false
		}
		is.NoErr(err)
	}
	for _, effect := range Reduce(s.state, e) {
		fmt.Fprintf(out, "%s changed %+v\n", words[1], effect)
	}
}

func (s *script) place(name, service string, options []string, out *strings.Builder) {
	need := Need{Service: service, FirstWithin: 900 * time.Millisecond, Arrived: s.now}
	for _, option := range options {
		key, value, _ := strings.Cut(option, "=")
		switch key {
		case "prompt":
			need.Prompt, _ = strconv.Atoi(value)
			need.Output = 1000
		case "pause":
			pause, err := time.ParseDuration(value)
			is.New(s.t).NoErr(err)
			need.PauseWithin = pause
		case "within":
			within, err := time.ParseDuration(value)
			is.New(s.t).NoErr(err)
			need.Deadline = s.now.Add(within)
		case "from":
			need.FailureDomain = value
		case "retry":
			need.Retry = true
		case "origin":
			need.Origin = &message.StreamOrigin{Service: service, SoftwareVersion: value}
		case "tried":
			need.Tried = strings.Split(value, ",")
		case "excluded":
			need.Excluded = strings.Split(value, ",")
		}
	}
	effects := Reduce(s.state, PlacementRequested{At: s.now, Need: need})
	if granted, ok := effects[0].(Granted); ok {
		s.grants[name] = granted.Grant
	}
	print(out, name, effects)
}

// repeat asks for repeats until one is refused, at most count times.
func (s *script) repeat(service, count string, out *strings.Builder) {
	most, err := strconv.Atoi(count)
	is.New(s.t).NoErr(err)
	granted := 0
	for granted < most {
		if _, ok := Reduce(s.state, RepeatRequested{At: s.now, Service: service})[0].(Granted); !ok {
			break
		}
		granted, s.counted = granted+1, s.now
	}
	fmt.Fprintln(out, granted, "repeats")
}

// printDecision prints the effect of an event that grants no server.
func printDecision(out *strings.Builder, name string, effects []Effect) {
	if _, accepted := effects[0].(Granted); accepted {
		fmt.Fprintln(out, name, "accepted")
		return
	}
	print(out, name, effects)
}

func print(out *strings.Builder, name string, effects []Effect) {
	switch e := effects[0].(type) {
	case Granted:
		text := name + " to " + e.Grant.Server.Instance
		if e.Grant.Prefill != nil {
			text += " prompt at " + e.Grant.Prefill.Instance
		}
		fmt.Fprintln(out, text)
	case Refused:
		fmt.Fprintln(out, name, "refused", e.Reason, "after", e.RetryAfter)
	}
}

// TestCountsReturnToZero checks that the counts of each server return to zero once all work has
// ended, whatever the order of events. A count above zero would leave the server unused for good.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{FailureDomain: "a", Seed: 1})
		Reduce(s, Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 50000}}}})
		servers := []message.BackendServer{
			{Instance: "p", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Prefill},
			{Instance: "d", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode},
			{Instance: "e", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode},
		}
		Reduce(s, Fleet{Servers: servers})
		now := scriptStart
		var open []Grant
		outcomes := []Outcome{OutcomeAnswered, OutcomeFailed, OutcomeRefused, OutcomeFull, OutcomeBroken, OutcomeCancelled}
		end := func(at int) {
			g := open[at]
			open = append(open[:at], open[at+1:]...)
			if g.Prefill != nil {
				Reduce(s, PrefillEnded{At: now, Grant: g, Took: time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")})
			}
			Reduce(s, Ended{At: now, Grant: g, Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome")})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				end(rapid.IntRange(0, len(open)-1).Draw(t, "which"))
				continue
			}
			need := Need{Service: "s", Prompt: rapid.IntRange(1, 9000).Draw(t, "prompt"), Output: 500, Retry: rapid.Bool().Draw(t, "again")}
			if g, ok := Reduce(s, PlacementRequested{At: now, Need: need})[0].(Granted); ok {
				open = append(open, g.Grant)
			}
		}
		for len(open) > 0 {
			end(0)
		}
		for name, c := range s.servers {
			if c.inProgress != 0 || c.heldMemory != 0 || c.pendingPrompt != 0 {
				t.Fatalf("%s: %d requests in progress, %d tokens held, %d prompt tokens pending", name, c.inProgress, c.heldMemory, c.pendingPrompt)
			}
		}
	})
}
