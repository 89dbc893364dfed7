package gate

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// script runs the lines of one data file against one gate or several. Each line
// is an event. The output lists the effects of each line by its number.
type script struct {
	state *State
	// gates holds the gates of a script that has several, by name.
	gates map[string]*State
	name  string
	now   time.Time
}

// epoch is the time at which scripts start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &script{state: New(Config{}), gates: map[string]*State{}, now: epoch}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for i, line := range strings.Split(d.Input, "\n") {
				command, args, err := datadriven.ParseLine(line)
				if err != nil {
					t.Fatal(err)
				}
				for _, text := range r.run(t, arguments{command: command, args: args}) {
					fmt.Fprintf(&out, "%d %s\n", i+1, text)
				}
			}
			return out.String()
		})
	})
}

// arguments reads the arguments of a line. Missing ones have defaults that fit
// most lines.
type arguments struct {
	command string
	args    []datadriven.CmdArg
}

func (a arguments) text(key, fallback string) string {
	for _, arg := range a.args {
		if arg.Key == key && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return fallback
}

func (a arguments) has(key string) bool {
	for _, arg := range a.args {
		if arg.Key == key {
			return true
		}
	}
	return false
}

func (a arguments) number(key string, fallback int) int {
	value, err := strconv.Atoi(a.text(key, strconv.Itoa(fallback)))
	if err != nil {
		panic(err)
	}
	return value
}

func (a arguments) duration(key string) time.Duration {
	value, err := time.ParseDuration(a.text(key, "0s"))
	if err != nil {
		panic(err)
	}
	return value
}

// attempt reads "name" or "name/number". The default is the attempt named like
// the session.
func (a arguments) attempt() message.Attempt {
	return parseAttempt(a.text("attempt", a.text("session", "")))
}

func parseAttempt(text string) message.Attempt {
	name, number, found := strings.Cut(text, "/")
	if !found {
		return message.Attempt{RequestID: name, Number: 1}
	}
	parsed, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	return message.Attempt{RequestID: name, Number: uint32(parsed)}
}

// blocks reads "1.2.3" as three block hashes.
func (a arguments) blocks(key string) []uint64 {
	text := a.text(key, "")
	if text == "" {
		return nil
	}
	var blocks []uint64
	for _, part := range strings.Split(text, ".") {
		block, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			panic(err)
		}
		blocks = append(blocks, block)
	}
	return blocks
}

// run returns the lines of output of one line of input.
func (r *script) run(t *testing.T, a arguments) []string {
	switch a.command {
	case "new":
		r.state = New(Config{
			Role:           oriolebend.PoolRole(a.text("role", "")),
			Service:        a.text("service", ""),
			QueueBound:     a.number("queueBound", 0),
			Concurrency:    a.number("concurrency", 0),
			UrgentSlots:    a.number("urgentSlots", 0),
			ClosedBound:    a.number("closedBound", 0),
			DeclaredWithin: a.duration("declaredWithin"),
		})
		r.now = epoch
		return nil
	case "gate":
		r.gates[r.name] = r.state
		r.name = a.text("name", "")
		if r.gates[r.name] == nil {
			r.gates[r.name] = New(Config{})
		}
		r.state = r.gates[r.name]
		return nil
	case "wait":
		return r.wait(a)
	case "state":
		return r.describe()
	}
	e := r.event(a)
	if e == nil {
		t.Fatalf("unknown command %s", a.command)
	}
	if effects := render(Reduce(r.state, e), true); effects != "" {
		return []string{effects}
	}
	return nil
}

// wait advances the time in ticks and renews the sessions named by "renew".
func (r *script) wait(a arguments) []string {
	var out []string
	end := r.now.Add(a.duration("for"))
	for r.now.Before(end) {
		r.now = r.now.Add(r.state.config.TickEvery)
		var effects []Effect
		for _, id := range strings.FieldsFunc(a.text("renew", ""), isPlus) {
			effects = append(effects, Reduce(r.state, Renewed{At: r.now, Session: SessionID(id)})...)
		}
		effects = append(effects, Reduce(r.state, Ticked{At: r.now})...)
		if text := render(effects, a.has("lists")); text != "" && !a.has("quiet") {
			out = append(out, fmt.Sprintf("@%s %s", r.now.Sub(epoch), text))
		}
	}
	return out
}

func (r *script) event(a arguments) Event {
	switch a.command {
	case "renew":
		return Renewed{At: r.now, Session: r.session(a)}
	case "close":
		return Closed{At: r.now, Session: r.session(a)}
	case "tick":
		r.now = r.now.Add(a.duration("after"))
		return Ticked{At: r.now}
	case "declared":
		return Declared{At: r.now, State: oriolebend.ServerState(a.text("state", ""))}
	case "stopping":
		return Stopping{At: r.now}
	case "lost":
		return EngineLost{At: r.now}
	}
	if m := r.message(a); m != nil {
		return Received{At: r.now, Session: r.session(a), Message: m}
	}
	return r.serverEvent(a)
}

func (r *script) session(a arguments) SessionID { return SessionID(a.text("session", "")) }

func (r *script) message(a arguments) message.Message {
	switch a.command {
	case "reserve":
		return r.reserve(a)
	case "release":
		return message.Release{Attempt: a.attempt()}
	case "prefill":
		return message.Prefill{Attempt: a.attempt()}
	case "decode":
		return message.Decode{Attempt: a.attempt(), TransferWithin: a.duration("within"), StartWithin: a.duration("start")}
	case "call":
		return message.Call{Attempt: a.attempt()}
	case "query":
		return message.StatusQuery{Attempt: a.attempt()}
	}
	return nil
}

func (r *script) reserve(a arguments) message.Reserve {
	phase := message.Phase(a.text("phase", string(phaseOf(r.state.engine.info.Role))))
	urgency := oriolebend.Patient
	if a.has("urgent") {
		urgency = oriolebend.Urgent
	}
	return message.Reserve{
		Attempt:      a.attempt(),
		Phase:        phase,
		Organisation: a.text("org", "lintang"),
		Urgency:      urgency,
		Model:        a.text("model", "planner"),
		Service:      a.text("service", ""),
		PromptTokens: a.number("prompt", 1000),
		MaxTokens:    a.number("output", 0),
		Prefix:       a.blocks("prefix"),
		StartIn:      a.duration("in"),
		Deadline:     a.duration("deadline"),
		Waited:       a.duration("waited"),
		Hold:         !a.has("now"),
		Once:         a.has("once"),
	}
}

func (r *script) serverEvent(a arguments) Event {
	switch a.command {
	case "known":
		return EngineKnown{At: r.now, Info: engine.Info{
			Role:        oriolebend.PoolRole(a.text("role", "")),
			Models:      []oriolebend.LoadedModel{{Model: a.text("model", "planner"), Version: "1"}},
			KVTokens:    a.number("tokens", 10_000),
			LinkBytes:   1e9,
			BlockTokens: 16,
			Incarnation: uint64(a.number("incarnation", 1)),
		}}
	case "listed":
		return WorkListed{At: r.now, Work: parseWork(a), Failed: a.has("not")}
	case "prefilled":
		return EnginePrefilled{At: r.now, Attempt: a.attempt(), Result: engine.PrefillResult{
			SourceURL: "kv", Tokens: 1000, LivesFor: 800 * time.Millisecond,
		}}
	case "part":
		return EnginePart{At: r.now, Part: message.Part{
			Attempt: a.attempt(), Offset: a.number("offset", 0), Tokens: 1,
			Finish: message.FinishReason(a.text("finish", "")),
		}}
	case "failed":
		return WorkFailed{
			At: r.now, Attempt: a.attempt(),
			Reason: oriolebend.Reason(a.text("reason", "engineFailed")),
			Ran:    oriolebend.Ran(a.text("ran", "")),
		}
	case "answered":
		return ServiceAnswered{At: r.now, Answer: message.CallAnswer{Attempt: a.attempt(), Status: 200}}
	case "cancelled":
		return Cancelled{At: r.now, Attempt: a.attempt(), Failed: a.has("not")}
	case "load":
		return LoadReported{At: r.now, Report: engine.LoadReport{
			FreeTokens: a.number("free", 0), TotalTokens: a.number("total", 10_000),
		}}
	case "cache":
		return CacheChanged{At: r.now, Events: parseCacheEvents(a)}
	case "index":
		return CacheListed{At: r.now, Index: engine.CacheIndex{
			Sequence: uint64(a.number("sequence", 0)), Blocks: a.blocks("blocks"),
		}}
	}
	return nil
}

// parseWork reads "attempt:tokens+attempt:tokens".
func parseWork(a arguments) []engine.Work {
	var all []engine.Work
	for _, part := range strings.FieldsFunc(a.text("work", ""), isPlus) {
		name, tokens, _ := strings.Cut(part, ":")
		held, err := strconv.Atoi(tokens)
		if err != nil {
			panic(err)
		}
		all = append(all, engine.Work{Attempt: parseAttempt(name), Tokens: held})
	}
	return all
}

// parseCacheEvents reads "sequence:change:block+sequence:change:block".
func parseCacheEvents(a arguments) []engine.CacheEvent {
	var all []engine.CacheEvent
	for _, part := range strings.FieldsFunc(a.text("events", ""), isPlus) {
		var e engine.CacheEvent
		if _, err := fmt.Sscan(strings.ReplaceAll(part, ":", " "), &e.Sequence, &e.Change, &e.Block); err != nil {
			panic(err)
		}
		all = append(all, e)
	}
	return all
}

func isPlus(r rune) bool { return r == '+' }

// describe lists the reservations in the order of attempts.
func (r *script) describe() []string {
	s := r.state
	var lines []string
	for a, held := range s.attempts {
		lines = append(lines, fmt.Sprintf("%s %s", attemptName(a), held.stage))
	}
	sort.Strings(lines)
	lines = append(lines, fmt.Sprintf("free=%d queued=%d state=%s", s.freeTokens(), s.queue.length, s.serverState()))
	return []string{strings.Join(lines, "; ")}
}

func attemptName(a message.Attempt) string {
	if a.Number == 1 {
		return a.RequestID
	}
	return fmt.Sprintf("%s/%d", a.RequestID, a.Number)
}

// render writes effects in one line. Effects that only read lists are left out
// unless lists is true.
func render(effects []Effect, lists bool) string {
	var texts []string
	for _, e := range effects {
		switch e.(type) {
		case ListWork, ListCache:
			if !lists {
				continue
			}
		}
		texts = append(texts, renderEffect(e))
	}
	return strings.Join(texts, "; ")
}

func renderEffect(e Effect) string {
	switch e := e.(type) {
	case Reply:
		return fmt.Sprintf("%s: %s", e.Session, renderMessage(e.Message))
	case EndSession:
		return fmt.Sprintf("%s: end", e.Session)
	case RunPrefill:
		return "runPrefill " + attemptName(e.Request.Attempt)
	case RunDecode:
		return fmt.Sprintf("runDecode %s within=%s", attemptName(e.Request.Attempt), e.Request.TransferWithin)
	case RunCall:
		return "runCall " + attemptName(e.Call.Attempt)
	case QueryStatus:
		return "askStatus " + attemptName(e.Query.Attempt)
	case CancelWork:
		return "cancelWork " + attemptName(e.Attempt)
	case ListWork:
		return "listWork"
	case ListCache:
		return "listCache"
	case Announce:
		return "announce " + string(e.State)
	case Count:
		return strings.TrimSpace(fmt.Sprintf("count %s %s", e.What, e.Reason))
	case Drained:
		return "drained"
	}
	return fmt.Sprintf("%T", e)
}

func renderMessage(m message.Message) string {
	switch m := m.(type) {
	case message.Offer:
		text := fmt.Sprintf("offer granted=%t in=%s", m.Granted, m.StartIn.Round(time.Millisecond))
		if m.Took > 0 {
			text += fmt.Sprintf(" took=%s", m.Took.Round(time.Millisecond))
		}
		return text + fmt.Sprintf(" queued=%d cached=%d free=%d", m.Queued, m.CachedTokens, m.FreeTokens)
	case message.Refusal:
		text := fmt.Sprintf("refusal %s %s ran=%s", attemptName(m.Attempt), m.Reason, m.Ran)
		if m.RetryAfter > 0 {
			text += fmt.Sprintf(" after=%s", m.RetryAfter.Round(time.Millisecond))
		}
		return text
	case message.Grant:
		return fmt.Sprintf("grant in=%s", m.StartIn)
	case message.Part:
		return strings.TrimSpace(fmt.Sprintf("part %d %s", m.Offset, m.Finish))
	}
	return string(m.Kind())
}
