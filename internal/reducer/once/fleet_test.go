package once

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const serviceName = "liquidacion"

// fleet is two entries and two gates over one log of records. What they send
// each other waits on lists, from which the test takes it.
type fleet struct {
	t       *rapid.T
	now     time.Time
	index   uint64
	records *record.State

	entries  []*process
	gates    []*sidecar
	links    []*link
	commands []command
	calls    []call
	nextID   int

	// executed counts executions by identity and by request.
	executed map[string]int
	ranAs    map[string]int
	// toldNotRun and ended are by request.
	toldNotRun map[string]bool
	ended      map[string]int
	alive      map[string]*process
}

// process is one start of an entry.
type process struct {
	name  string
	owner string
	state *entry.State
	held  map[string]bool
	dead  bool
	// cut entries reach no control VM.
	cut bool
}

// sidecar is one start of a gate.
type sidecar struct {
	name  string
	state *gate.State
	dead  bool
}

// link is one session. A nil message is the end of the session, as the other
// side comes to see it.
type link struct {
	key             entry.SessionKey
	id              gate.SessionID
	from            *process
	to              *sidecar
	toGate, toEntry []message.Message
	left            bool
}

// command is on its way to the log; p gets the answer, if it still lives.
type command struct {
	p       *process
	command record.Command
	// doubled commands were applied once before.
	doubled bool
}

// call is on its way from a gate to the service.
type call struct {
	from   *sidecar
	call   message.Call
	status *message.StatusQuery
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC), records: record.New(),
		executed: map[string]int{}, ranAs: map[string]int{}, toldNotRun: map[string]bool{},
		ended: map[string]int{}, alive: map[string]*process{},
	}
	for _, name := range []string{"s1", "s2"} {
		f.gates = append(f.gates, f.startGate(name))
	}
	for _, name := range []string{"e1", "e2"} {
		f.entries = append(f.entries, f.startEntry(name))
	}
	return f
}

func (f *fleet) startEntry(name string) *process {
	f.nextID++
	p := &process{name: name, owner: fmt.Sprintf("%s/%d", name, f.nextID), held: map[string]bool{}}
	p.state = entry.New(entry.Config{Name: name, Owner: p.owner, Seed: uint64(f.nextID)})
	servers := make([]oriolebend.Server, 0, len(f.gates))
	for _, g := range f.gates {
		servers = append(servers, oriolebend.Server{
			Name: g.name, GateAddress: g.name, Role: oriolebend.Service, Service: serviceName,
			State: oriolebend.ServerServing, Incarnation: 1,
		})
	}
	f.entry(p, entry.ServersChanged{At: f.now, Servers: servers, Complete: true})
	return p
}

func (f *fleet) startGate(name string) *sidecar {
	g := &sidecar{name: name, state: gate.New(gate.Config{Role: oriolebend.Service, Service: serviceName})}
	f.gate(g, gate.Ticked{At: f.now})
	return g
}

// entry hands an event to an entry and takes its effects.
func (f *fleet) entry(p *process, e entry.Event) {
	if p.dead {
		return
	}
	for _, effect := range entry.Reduce(p.state, e) {
		switch x := effect.(type) {
		case entry.SendClaim:
			f.commands = append(f.commands, command{p: p, command: record.Command{Claim: []message.Claim{x.Claim}}})
		case entry.SendSettle:
			f.commands = append(f.commands, command{p: p, command: record.Command{Settle: []message.Settle{x.Settle}}})
			if x.Settle.State != message.RecordRunning {
				delete(p.held, x.Settle.RequestID)
			}
		case entry.OpenSession:
			f.open(p, x)
		case entry.Send:
			if l := f.link(p, x.Session); l != nil {
				l.toGate = append(l.toGate, x.Message)
			}
		case entry.CloseSession:
			if l := f.link(p, x.Session); l != nil {
				l.left = true
				l.toGate = append(l.toGate, nil)
			}
		default:
			f.answer(effect)
		}
	}
}

func (f *fleet) open(p *process, x entry.OpenSession) {
	f.nextID++
	var first message.Message = x.Reserve
	if x.Status != nil {
		first = *x.Status
	}
	for _, g := range f.gates {
		if g.name == x.Address {
			f.links = append(f.links, &link{
				key: x.Session, id: gate.SessionID(fmt.Sprint(f.nextID)), from: p, to: g,
				toGate: []message.Message{first},
			})
		}
	}
}

func (f *fleet) link(p *process, key entry.SessionKey) *link {
	for _, l := range f.links {
		if l.from == p && l.key == key && !l.left {
			return l
		}
	}
	return nil
}

// answer checks what a caller is told.
func (f *fleet) answer(effect entry.Effect) {
	switch x := effect.(type) {
	case entry.AnswerCall:
		f.end(x.RequestID)
		f.whole(string(x.Answer.Body))
	case entry.AnswerReplay:
		f.end(x.RequestID)
		if x.Answer.Reason == "" {
			f.whole(string(x.Answer.Body))
		}
	case entry.AnswerAttach:
		f.end(x.RequestID)
	case entry.AnswerProblem:
		f.end(x.RequestID)
		if x.Problem.Ran == oriolebend.RanNo {
			f.notRun(x.RequestID)
		}
	}
}

func (f *fleet) end(id string) {
	f.ended[id]++
	if f.ended[id] > 1 {
		f.t.Fatalf("%s was answered twice", id)
	}
}

func (f *fleet) whole(identity string) {
	if f.executed[identity] != 1 {
		f.t.Fatalf("%q was told as answered after %d executions", identity, f.executed[identity])
	}
}

func (f *fleet) notRun(id string) {
	f.toldNotRun[id] = true
	if f.ranAs[id] > 0 {
		f.t.Fatalf("%s was told as not run, and it ran", id)
	}
}

// gate hands an event to a gate and takes its effects.
func (f *fleet) gate(g *sidecar, e gate.Event) {
	if g.dead {
		return
	}
	for _, effect := range gate.Reduce(g.state, e) {
		switch x := effect.(type) {
		case gate.Reply:
			f.reply(g, x.Session, x.Message)
		case gate.EndSession:
			f.reply(g, x.Session, nil)
		case gate.RunCall:
			f.calls = append(f.calls, call{from: g, call: x.Call})
		case gate.QueryStatus:
			f.calls = append(f.calls, call{from: g, status: &x.Query})
		}
	}
}

func (f *fleet) reply(g *sidecar, id gate.SessionID, m message.Message) {
	for _, l := range f.links {
		if l.to == g && l.id == id {
			l.toEntry = append(l.toEntry, m)
		}
	}
}

// serve has the service take what waits longest: with "run" it executes and
// answers, with "lose" it executes and the answer is lost, with "miss" the
// call does not reach it.
func (f *fleet) serve(how string) {
	if len(f.calls) == 0 {
		return
	}
	c := f.calls[0]
	f.calls = f.calls[1:]
	if c.status != nil {
		f.tellStatus(c)
		return
	}
	a := c.call.Attempt
	failed := gate.WorkFailed{
		At: f.now, Attempt: a, Phase: message.PhaseCall,
		Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanUnknown,
	}
	if how == "miss" {
		failed.Ran = oriolebend.RanNo
		f.gate(c.from, failed)
		return
	}
	f.execute(c.call)
	if how == "lose" {
		f.gate(c.from, failed)
		return
	}
	f.gate(c.from, gate.ServiceAnswered{At: f.now, Answer: message.CallAnswer{
		Attempt: a, Status: 200, Body: []byte(c.call.Identity),
	}})
}

func (f *fleet) execute(c message.Call) {
	f.executed[c.Identity]++
	f.ranAs[c.Attempt.RequestID]++
	if f.executed[c.Identity] > 1 {
		f.t.Fatalf("%s ran twice", c.Identity)
	}
	if f.toldNotRun[c.Attempt.RequestID] {
		f.t.Fatalf("%s ran after it was told as not run", c.Attempt.RequestID)
	}
}

func (f *fleet) tellStatus(c call) {
	answer := message.CallAnswer{Attempt: c.status.Attempt, Status: 404}
	if f.executed[c.status.Identity] > 0 {
		answer.Status = 200
		answer.Body = []byte(c.status.Identity)
	}
	f.gate(c.from, gate.ServiceAnswered{At: f.now, Answer: answer})
}

// apply lets a command reach the log. Doubled ones come again later; the
// answer of a lost one does not reach its entry, which gets a problem.
func (f *fleet) apply(at int, double, lost bool) {
	if len(f.commands) == 0 {
		return
	}
	c := f.commands[at%len(f.commands)]
	f.commands = append(f.commands[:at%len(f.commands):at%len(f.commands)], f.commands[at%len(f.commands)+1:]...)
	result := f.commit(c.command)
	if double {
		f.commands = append(f.commands, command{p: c.p, command: c.command, doubled: true})
	}
	if c.p == nil || c.doubled {
		return
	}
	for i, m := range c.command.Claim {
		f.claimed(c.p, m, result.Claimed[i], lost)
	}
	for i, m := range c.command.Settle {
		event := entry.Settled{
			At: f.now, RequestID: m.RequestID, Attempt: m.Attempt,
			State: result.Settled[i].State, Accepted: result.Settled[i].Accepted,
		}
		if lost {
			event.Problem = &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown}
		}
		f.entry(c.p, event)
	}
}

// claimed answers a claim as the client does, which closes in the background
// what it gave up on.
func (f *fleet) claimed(p *process, m message.Claim, a message.ClaimAnswer, lost bool) {
	if !lost {
		if a.Outcome == message.ClaimOwned {
			p.held[m.RequestID] = true
		}
		f.entry(p, entry.Claimed{At: f.now, RequestID: m.RequestID, Answer: a})
		return
	}
	if !p.held[m.RequestID] {
		f.commands = append(f.commands, command{command: record.Command{Settle: []message.Settle{{
			RequestID: m.RequestID, Scope: m.Scope, Owner: m.Owner,
			Attempt: message.AnyAttempt, State: message.RecordNotRun,
		}}}})
	}
	f.entry(p, entry.Claimed{At: f.now, RequestID: m.RequestID, Problem: &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown,
	}})
}

func (f *fleet) commit(c record.Command) record.Result {
	f.index++
	c.At = f.now
	return f.records.Apply(f.index, c)
}

// carry moves the next message of a session on, to its gate or its entry.
func (f *fleet) carry(l *link, toGate bool) {
	queue := &l.toEntry
	if toGate {
		queue = &l.toGate
	}
	if len(*queue) == 0 {
		return
	}
	m := (*queue)[0]
	*queue = (*queue)[1:]
	switch {
	case toGate && m == nil:
		f.gate(l.to, gate.Closed{At: f.now, Session: l.id})
	case toGate:
		f.gate(l.to, gate.Received{At: f.now, Session: l.id, Message: m})
	case l.left:
	case m == nil:
		l.left = true
		f.entry(l.from, entry.SessionLost{At: f.now, Session: l.key, Opened: true})
	default:
		f.entry(l.from, entry.Received{At: f.now, Session: l.key, Message: m})
	}
}

// tick passes time for all; entries that are not cut off renew their leases.
func (f *fleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	c := record.Command{Expire: &record.Expire{Limit: 100}}
	for _, p := range f.entries {
		if !p.cut {
			c.Renew = append(c.Renew, message.Renew{Owner: p.owner, LeaseFor: 10 * time.Second})
		}
	}
	f.commit(c)
	for _, l := range f.links {
		if !l.left && !l.from.dead {
			f.gate(l.to, gate.Renewed{At: f.now, Session: l.id})
		}
	}
	for _, g := range f.gates {
		f.gate(g, gate.Ticked{At: f.now})
	}
	for _, p := range f.entries {
		f.entry(p, entry.Ticked{At: f.now})
	}
}

// request has a caller send one of two tips, which may run once, through an
// entry.
// within bounds how long its caller waits, zero does not.
func (f *fleet) request(p *process, key string, status bool, within time.Duration) {
	f.nextID++
	r := entry.Request{
		ID:          fmt.Sprintf("r%d", f.nextID),
		Scope:       message.Scope{Organisation: "asociacion", Operation: "tip", Key: key},
		Fingerprint: "v1:" + key, Urgency: oriolebend.Patient, Once: true, Service: serviceName,
		Call: &message.Call{Method: "POST", Path: "/tips", Identity: key},
	}
	if status {
		r.StatusPath = "/tips/{identity}"
	}
	if within > 0 {
		r.Deadline = f.now.Add(within)
	}
	f.alive[r.ID] = p
	f.entry(p, entry.Arrived{At: f.now, Request: r})
}

// crash replaces an entry; what it sent may still arrive.
func (f *fleet) crash(i int) {
	old := f.entries[i]
	old.dead = true
	for _, l := range f.links {
		if l.from == old {
			l.toGate = append(l.toGate, nil)
		}
	}
	f.entries[i] = f.startEntry(old.name)
}

// restart replaces a gate; what was on its way to it is gone, what it gave the
// service is not.
func (f *fleet) restart(i int) {
	old := f.gates[i]
	old.dead = true
	for _, l := range f.links {
		if l.to == old {
			l.toGate, l.toEntry = nil, append(l.toEntry, nil)
		}
	}
	f.gates[i] = f.startGate(old.name)
}

// lose ends a session in between, for both sides.
func (f *fleet) lose(l *link) {
	l.toEntry = []message.Message{nil}
	l.toGate = append(l.toGate, nil)
}
