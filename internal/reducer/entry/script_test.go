package entry

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScripts runs the scripts of testdata. Each line of a script is one event;
// the output shows its effects. A session is written
// request/attempt/phase/server, a part @offset+tokens "text".
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				w.reset(t, d)
				return ""
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				w.run(t, strings.TrimSpace(line), &out)
			}
			return out.String()
		})
	})
}

var scriptStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// script applies events to one state.
type script struct {
	state *State
	now   time.Time
}

// reset makes a new state. The first letter of a server's name stands for its
// role: prefill, decode or service.
func (w *script) reset(t *testing.T, d *datadriven.TestData) {
	c := Config{Name: "e1", Seed: 1, FailureDomain: "a"}
	names := []string{"p1", "d1", "s1"}
	for _, arg := range d.CmdArgs {
		value := arg.Vals[0]
		switch arg.Key {
		case "servers":
			names = arg.Vals
		case "route":
			c.Route = policy.Name(value)
		case "probes":
			c.Probes, _ = strconv.Atoi(value)
			c.DecodeProbes = c.Probes
		case "atOnce":
			c.ProbeInParallel = true
		case "waiting":
			c.MaxWaiting, _ = strconv.Atoi(value)
		case "requests":
			c.MaxRequests, _ = strconv.Atoi(value)
		case "failures":
			c.MaxEngineFailures, _ = strconv.Atoi(value)
		case "rate":
			rate, _ := strconv.ParseFloat(value, 64)
			c.Organisations = map[string]Organisation{"org": {Rate: rate, Burst: 1}}
		case "burst":
			c.RetryBurst, _ = strconv.ParseFloat(value, 64)
		default:
			t.Fatalf("new: unknown argument %s", arg.Key)
		}
	}
	w.now = scriptStart
	w.state = New(c)
	Reduce(w.state, ServersChanged{At: w.now, Complete: true, Servers: scriptServers(names...)})
}

// scriptServers returns servers of the model "m". A name such as d2.5 stands for a server that holds
// version 5 of it, any other for one that holds version 1.
func scriptServers(names ...string) []oriolebend.Server {
	servers := make([]oriolebend.Server, 0, len(names))
	for _, name := range names {
		_, version, found := strings.Cut(name, ".")
		if !found {
			version = "1"
		}
		models := []oriolebend.LoadedModel{{Model: "m", Version: version}}
		v := oriolebend.Server{
			Name: name, FailureDomain: "a", GateAddress: name + ":1", Models: models,
			State: oriolebend.ServerServing, LinkBytes: 1e9, Incarnation: 1,
		}
		switch name[0] {
		case 'p':
			v.Role = oriolebend.Prefill
		case 'd':
			v.Role = oriolebend.Decode
		default:
			v.Role, v.Service, v.Models = oriolebend.Service, "tips", nil
		}
		servers = append(servers, v)
	}
	return servers
}

// run applies the event of one line and prints its effects.
func (w *script) run(t *testing.T, line string, out *strings.Builder) {
	words := strings.Fields(line)
	if len(words) == 0 || strings.HasPrefix(line, "#") {
		return
	}
	fmt.Fprintf(out, "> %s\n", line)
	args := newWords(words[1:])
	if words[0] == "state" {
		fmt.Fprintf(out, "requests=%d sessions=%d waiting=%d\n",
			len(w.state.requests), len(w.state.sessions), w.state.waiting)
		return
	}
	for _, e := range Reduce(w.state, w.event(t, words[0], args)) {
		if text := printEffect(e); text != "" {
			fmt.Fprintln(out, text)
		}
	}
}

// words are the arguments of one line: those with a "=" by name, the others by
// position.
type words struct {
	placed []string
	named  map[string]string
}

func newWords(fields []string) words {
	w := words{named: map[string]string{}}
	for _, f := range fields {
		if name, value, found := strings.Cut(f, "="); found {
			w.named[name] = value
		} else {
			w.placed = append(w.placed, f)
		}
	}
	return w
}

func (w words) at(i int) string {
	if i < len(w.placed) {
		return w.placed[i]
	}
	return ""
}

func (w words) has(word string) bool {
	for _, p := range w.placed {
		if p == word {
			return true
		}
	}
	return false
}

func (w words) number(name string, fallback int) int {
	n, err := strconv.Atoi(w.named[name])
	if err != nil {
		return fallback
	}
	return n
}

func (w words) duration(name string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(w.named[name])
	if err != nil {
		return fallback
	}
	return d
}

func (w *script) event(t *testing.T, name string, a words) Event {
	switch name {
	case "tick":
		d, err := time.ParseDuration(strings.TrimPrefix(a.at(0), "+"))
		if err != nil {
			t.Fatal(err)
		}
		w.now = w.now.Add(d)
		return Ticked{At: w.now}
	case "arrive":
		return Arrived{At: w.now, Request: w.request(a)}
	case "callerLeft":
		return CallerLeft{At: w.now, RequestID: a.at(0)}
	case "stop":
		return Stopping{At: w.now}
	case "claimed":
		return w.claimed(a)
	case "settled":
		return w.settled(a)
	case "lost":
		return SessionLost{At: w.now, Session: parseKey(a.at(0)), Opened: !a.has("unopened")}
	case "server":
		return w.server(a)
	default:
		key := parseKey(a.at(0))
		return Received{At: w.now, Session: key, Message: gateMessage(t, name, key, a)}
	}
}

func (w *script) request(a words) Request {
	r := Request{
		ID:           a.at(0),
		Scope:        message.Scope{Organisation: "org", Operation: "op", Key: a.named["key"]},
		Generated:    a.named["key"] == "",
		Urgency:      oriolebend.Urgency(a.named["urgency"]),
		Model:        "m",
		Prompt:       "prompt:",
		PromptTokens: a.number("tokens", 100),
		Prefix:       []uint64{1, 2},
		MaxTokens:    8,
		Once:         a.has("once"),
		KeepRunning:  a.has("keep"),
	}
	if r.Urgency == "" {
		r.Urgency = oriolebend.Patient
	}
	if model := a.named["model"]; model != "" {
		r.Model = model
	}
	if service := a.named["service"]; service != "" {
		r.Service, r.Model, r.Prompt = service, "", ""
		r.Call = &message.Call{Method: "POST", Path: "/tip", Identity: "id-" + r.ID}
		r.StatusPath = a.named["status"]
	}
	if within := a.duration("deadline", 0); within > 0 {
		r.Deadline = w.now.Add(within)
	}
	return r
}

func (w *script) claimed(a words) Event {
	e := Claimed{At: w.now, RequestID: a.at(0)}
	if a.at(1) == "noQuorum" {
		e.Problem = &oriolebend.Problem{Reason: oriolebend.ReasonControlAway}
		return e
	}
	e.Answer = message.ClaimAnswer{
		Outcome: message.ClaimOutcome(a.at(1)),
		State:   message.RecordState(a.at(2)),
		Owner:   a.named["owner"],
		Attempt: uint32(a.number("attempt", 0)),
		Reason:  oriolebend.Reason(a.named["reason"]),
	}
	e.Answer.RequestID = a.named["record"]
	if body, found := a.named["body"]; found {
		e.Answer.Answer = &message.Answer{Body: []byte(body), Reason: oriolebend.Reason(a.named["reason"])}
	}
	return e
}

func (w *script) settled(a words) Event {
	e := Settled{At: w.now, RequestID: a.at(0), Attempt: uint32(a.number("attempt", 1)), State: message.RecordState(a.at(1)), Accepted: !a.has("rejected")}
	if a.at(1) == "noQuorum" {
		e.Problem = &oriolebend.Problem{Reason: oriolebend.ReasonControlAway}
	}
	return e
}

func (w *script) server(a words) Event {
	servers := scriptServers(a.at(0))
	servers[0].State = oriolebend.ServerState(a.at(1))
	return ServersChanged{At: w.now, Servers: servers}
}

func parseKey(text string) SessionKey {
	parts := strings.Split(text, "/")
	number, _ := strconv.Atoi(parts[1])
	return SessionKey{
		Attempt: message.Attempt{RequestID: parts[0], Number: uint32(number)},
		Phase:   message.Phase(parts[2]),
		Server:  parts[3],
	}
}

func gateMessage(t *testing.T, name string, key SessionKey, a words) message.Message {
	switch name {
	case "offer":
		return message.Offer{
			Attempt: key.Attempt, Granted: a.has("granted"),
			StartIn: a.duration("startIn", 0), Took: a.duration("took", 0),
			Queued: a.number("queued", 0), LeaseFor: 3 * time.Second, LinkBytes: float64(a.number("link", 0)),
		}
	case "grant":
		return message.Grant{Attempt: key.Attempt, LeaseFor: 3 * time.Second}
	case "refuse":
		return message.Refusal{
			Attempt: key.Attempt, Reason: oriolebend.Reason(a.at(1)),
			Ran: oriolebend.Ran(a.named["ran"]), RetryAfter: a.duration("after", 0),
		}
	case "prefilled":
		return message.Prefilled{
			Attempt: key.Attempt, SourceURL: "kv:" + key.Server,
			KVBytes: int64(a.number("bytes", 1e6)), LivesFor: a.duration("lives", 800*time.Millisecond),
		}
	case "part":
		return parsePart(key, a)
	case "answer":
		return message.CallAnswer{Attempt: key.Attempt, Status: a.number("status", 200), Body: []byte(a.named["body"])}
	default:
		t.Fatalf("unknown event %s", name)
		return nil
	}
}

func parsePart(key SessionKey, a words) message.Part {
	offset, tokens, _ := strings.Cut(strings.TrimPrefix(a.at(1), "@"), "+")
	p := message.Part{Attempt: key.Attempt, Text: a.named["text"]}
	p.Offset, _ = strconv.Atoi(offset)
	p.Tokens, _ = strconv.Atoi(tokens)
	p.Attempt.Number = uint32(a.number("attempt", int(p.Attempt.Number)))
	p.Finish = message.FinishReason(a.named["finish"])
	return p
}

func printKey(k SessionKey) string {
	return fmt.Sprintf("%s/%d/%s/%s", k.Attempt.RequestID, k.Attempt.Number, k.Phase, k.Server)
}

// printEffect prints an effect that scripts check; measurements are left out.
func printEffect(e Effect) string {
	switch e := e.(type) {
	case SendClaim:
		return "claim " + e.Claim.RequestID
	case SendSettle:
		return "settle " + e.Settle.RequestID + " " + printSettle(e.Settle)
	case OpenSession:
		return "open " + printKey(e.Session) + printOpen(e)
	case Send:
		return "send " + printKey(e.Session) + " " + printMessage(e.Message)
	case CloseSession:
		return "close " + printKey(e.Session)
	case AnswerPart:
		return fmt.Sprintf("part %s @%d+%d %q", e.RequestID, e.Offset, e.Tokens, e.Text)
	case AnswerEnd:
		return fmt.Sprintf("end %s %s tokens=%d", e.RequestID, e.Finish, e.Tokens)
	case AnswerCall:
		return fmt.Sprintf("answer %s status=%d body=%s", e.RequestID, e.Answer.Status, e.Answer.Body)
	case AnswerReplay:
		return fmt.Sprintf("replay %s body=%s", e.RequestID, e.Answer.Body)
	case AnswerAttach:
		return fmt.Sprintf("attach %s owner=%s", e.RequestID, e.Owner)
	case AnswerProblem:
		return fmt.Sprintf("problem %s %s ran=%s after=%s",
			e.RequestID, e.Problem.Reason, e.Problem.Ran, e.Problem.RetryAfter)
	case Count:
		return strings.TrimSpace("count " + e.Name + " " + string(e.Reason))
	case Drained:
		return "drained"
	default:
		return ""
	}
}

func printSettle(m message.Settle) string {
	text := fmt.Sprintf("%s attempt=%d", m.State, m.Attempt)
	if m.Answer != nil && m.Answer.Reason != "" {
		text += " reason=" + string(m.Answer.Reason)
	}
	if m.Answer != nil && len(m.Answer.Body) > 0 {
		text += fmt.Sprintf(" body=%s", m.Answer.Body)
	}
	return text
}

// printOpen prints the first message of a session.
func printOpen(e OpenSession) string {
	if e.Status != nil {
		return " status " + e.Status.Identity
	}
	m := e.Reserve
	text := ""
	if m.StartIn > 0 {
		text += " startIn=" + m.StartIn.String()
	}
	if !m.Hold {
		text += " noHold"
	}
	if m.Deadline > 0 {
		text += " deadline=" + m.Deadline.String()
	}
	return text
}

func printMessage(m message.Message) string {
	switch m := m.(type) {
	case message.Prefill:
		return "prefill " + m.Prompt
	case message.Decode:
		return fmt.Sprintf("decode %s @%d delivered=%q within=%s start=%s", m.SourceURL, m.Offset, m.Delivered, m.TransferWithin, m.StartWithin)
	case message.Call:
		return "call " + m.Identity
	default:
		return string(m.Kind())
	}
}
