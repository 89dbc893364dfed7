package atmostonce

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

// fleet is two entries and two gates with one log of records. Their messages to
// each other are in lists, from which the test delivers them.
type fleet struct {
	t       *rapid.T
	now     time.Time
	index   uint64
	records *record.State

	entries  []*entryProcess
	gates    []*gateProcess
	sessions []*session
	commands []command
	calls    []call
	nextID   int

	// executed counts executions by identity, executedAs by request.
	executed   map[string]int
	executedAs map[string]int
	// reportedNotRun and answerCount are by request.
	reportedNotRun map[string]bool
	answerCount    map[string]int
	callers        map[string]*entryProcess
}

// entryProcess is one incarnation of an entry.
type entryProcess struct {
	name  string
	owner string
	state *entry.State
	owned map[string]bool
	dead  bool
	// partitioned is true while the entry can't renew its lease.
	partitioned bool
}

// gateProcess is one incarnation of a gate.
type gateProcess struct {
	name  string
	state *gate.State
	dead  bool
}

// session is one session between an entry and a gate. A nil message in a list
// stands for the end of the session, as the receiver sees it.
type session struct {
	key             entry.SessionKey
	id              gate.SessionID
	from            *entryProcess
	to              *gateProcess
	toGate, toEntry []message.Message
	closed          bool
}

// command is a command that the log has not applied yet. Its result goes to p,
// unless p has crashed.
type command struct {
	p       *entryProcess
	command record.Command
	// duplicate is true for the copy of a command that was applied before.
	duplicate bool
}

// call is a call or status query that a gate has sent to the service.
type call struct {
	from   *gateProcess
	call   message.Call
	status *message.StatusQuery
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC), records: record.New(),
		executed: map[string]int{}, executedAs: map[string]int{}, reportedNotRun: map[string]bool{},
		answerCount: map[string]int{}, callers: map[string]*entryProcess{},
	}
	for _, name := range []string{"s1", "s2"} {
		f.gates = append(f.gates, f.startGate(name))
	}
	for _, name := range []string{"e1", "e2"} {
		f.entries = append(f.entries, f.startEntry(name))
	}
	return f
}

func (f *fleet) startEntry(name string) *entryProcess {
	f.nextID++
	p := &entryProcess{name: name, owner: fmt.Sprintf("%s/%d", name, f.nextID), owned: map[string]bool{}}
	p.state = entry.New(entry.Config{Name: name, Owner: p.owner, Seed: uint64(f.nextID)})
	servers := make([]oriolebend.Server, 0, len(f.gates))
	for _, g := range f.gates {
		servers = append(servers, oriolebend.Server{
			Name: g.name, GateAddress: g.name, Role: oriolebend.Service, Service: serviceName,
			State: oriolebend.ServerServing, Incarnation: 1,
		})
	}
	f.reduceEntry(p, entry.ServersChanged{At: f.now, Servers: servers, Complete: true})
	return p
}

func (f *fleet) startGate(name string) *gateProcess {
	g := &gateProcess{name: name, state: gate.New(gate.Config{Role: oriolebend.Service, Service: serviceName})}
	f.reduceGate(g, gate.Ticked{At: f.now})
	return g
}

// reduceEntry passes an event to an entry and applies its effects.
func (f *fleet) reduceEntry(p *entryProcess, e entry.Event) {
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
				delete(p.owned, x.Settle.RequestID)
			}
		case entry.OpenSession:
			f.openSession(p, x)
		case entry.Send:
			if s := f.findSession(p, x.Session); s != nil {
				s.toGate = append(s.toGate, x.Message)
			}
		case entry.CloseSession:
			if s := f.findSession(p, x.Session); s != nil {
				s.closed = true
				s.toGate = append(s.toGate, nil)
			}
		default:
			f.checkEffect(effect)
		}
	}
}

func (f *fleet) openSession(p *entryProcess, x entry.OpenSession) {
	f.nextID++
	var first message.Message = x.Reserve
	if x.Status != nil {
		first = *x.Status
	}
	for _, g := range f.gates {
		if g.name == x.Address {
			f.sessions = append(f.sessions, &session{
				key: x.Session, id: gate.SessionID(fmt.Sprint(f.nextID)), from: p, to: g,
				toGate: []message.Message{first},
			})
		}
	}
}

func (f *fleet) findSession(p *entryProcess, key entry.SessionKey) *session {
	for _, s := range f.sessions {
		if s.from == p && s.key == key && !s.closed {
			return s
		}
	}
	return nil
}

// checkEffect checks the answer that a caller gets.
func (f *fleet) checkEffect(effect entry.Effect) {
	switch x := effect.(type) {
	case entry.AnswerCall:
		f.countAnswer(x.RequestID)
		f.checkExecutedOnce(string(x.Answer.Body))
	case entry.AnswerReplay:
		f.countAnswer(x.RequestID)
		if x.Answer.Reason == "" {
			f.checkExecutedOnce(string(x.Answer.Body))
		}
	case entry.AnswerAttach:
		f.countAnswer(x.RequestID)
	case entry.AnswerProblem:
		f.countAnswer(x.RequestID)
		if x.Problem.Ran == oriolebend.RanNo {
			f.noteNotRun(x.RequestID)
		}
	}
}

func (f *fleet) countAnswer(id string) {
	f.answerCount[id]++
	if f.answerCount[id] > 1 {
		f.t.Fatalf("%s was answered twice", id)
	}
}

func (f *fleet) checkExecutedOnce(identity string) {
	if f.executed[identity] != 1 {
		f.t.Fatalf("%q was reported as answered after %d executions", identity, f.executed[identity])
	}
}

func (f *fleet) noteNotRun(id string) {
	f.reportedNotRun[id] = true
	if f.executedAs[id] > 0 {
		f.t.Fatalf("%s was reported as not run, but it ran", id)
	}
}

// reduceGate passes an event to a gate and applies its effects.
func (f *fleet) reduceGate(g *gateProcess, e gate.Event) {
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

func (f *fleet) reply(g *gateProcess, id gate.SessionID, m message.Message) {
	for _, s := range f.sessions {
		if s.to == g && s.id == id {
			s.toEntry = append(s.toEntry, m)
		}
	}
}

// runService processes the oldest call to the service. With "run" the service
// executes the call and answers; with "lose" it executes the call and the answer
// is lost; with "miss" the call does not reach the service.
func (f *fleet) runService(how string) {
	if len(f.calls) == 0 {
		return
	}
	c := f.calls[0]
	f.calls = f.calls[1:]
	if c.status != nil {
		f.answerStatus(c)
		return
	}
	a := c.call.Attempt
	failed := gate.WorkFailed{
		At: f.now, Attempt: a, Phase: message.PhaseCall,
		Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanUnknown,
	}
	if how == "miss" {
		failed.Ran = oriolebend.RanNo
		f.reduceGate(c.from, failed)
		return
	}
	f.execute(c.call)
	if how == "lose" {
		f.reduceGate(c.from, failed)
		return
	}
	f.reduceGate(c.from, gate.ServiceAnswered{At: f.now, Answer: message.CallAnswer{
		Attempt: a, Status: 200, Body: []byte(c.call.Identity),
	}})
}

func (f *fleet) execute(c message.Call) {
	f.executed[c.Identity]++
	f.executedAs[c.Attempt.RequestID]++
	if f.executed[c.Identity] > 1 {
		f.t.Fatalf("%s ran twice", c.Identity)
	}
	if f.reportedNotRun[c.Attempt.RequestID] {
		f.t.Fatalf("%s ran after it was reported as not run", c.Attempt.RequestID)
	}
}

func (f *fleet) answerStatus(c call) {
	answer := message.CallAnswer{Attempt: c.status.Attempt, Status: 404}
	if f.executed[c.status.Identity] > 0 {
		answer.Status = 200
		answer.Body = []byte(c.status.Identity)
	}
	f.reduceGate(c.from, gate.ServiceAnswered{At: f.now, Answer: answer})
}

// applyCommand applies the command at an index of the list. With double a copy
// of the command is applied again later. With lost the entry gets a problem
// instead of the result.
func (f *fleet) applyCommand(at int, double, lost bool) {
	if len(f.commands) == 0 {
		return
	}
	c := f.commands[at%len(f.commands)]
	f.commands = append(f.commands[:at%len(f.commands):at%len(f.commands)], f.commands[at%len(f.commands)+1:]...)
	result := f.commit(c.command)
	if double {
		f.commands = append(f.commands, command{p: c.p, command: c.command, duplicate: true})
	}
	if c.p == nil || c.duplicate {
		return
	}
	for i, m := range c.command.Claim {
		f.answerClaim(c.p, m, result.Claimed[i], lost)
	}
	for i, m := range c.command.Settle {
		event := entry.Settled{
			At: f.now, RequestID: m.RequestID, Attempt: m.Attempt,
			State: result.Settled[i].State, Accepted: result.Settled[i].Accepted,
		}
		if lost {
			event.Problem = &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown}
		}
		f.reduceEntry(c.p, event)
	}
}

// answerClaim answers a claim as the client does: if the answer is lost, the
// client closes the claim in the background.
func (f *fleet) answerClaim(p *entryProcess, m message.Claim, a message.ClaimAnswer, lost bool) {
	if !lost {
		if a.Outcome == message.ClaimOwned {
			p.owned[m.RequestID] = true
		}
		f.reduceEntry(p, entry.Claimed{At: f.now, RequestID: m.RequestID, Answer: a})
		return
	}
	if !p.owned[m.RequestID] {
		f.commands = append(f.commands, command{command: record.Command{Settle: []message.Settle{{
			RequestID: m.RequestID, Scope: m.Scope, Owner: m.Owner,
			Attempt: message.AnyAttempt, State: message.RecordNotRun,
		}}}})
	}
	f.reduceEntry(p, entry.Claimed{At: f.now, RequestID: m.RequestID, Problem: &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown,
	}})
}

func (f *fleet) commit(c record.Command) record.Result {
	f.index++
	c.At = f.now
	return f.records.Apply(f.index, c)
}

// deliver delivers the next message of a session to its gate or its entry.
func (f *fleet) deliver(s *session, toGate bool) {
	queue := &s.toEntry
	if toGate {
		queue = &s.toGate
	}
	if len(*queue) == 0 {
		return
	}
	m := (*queue)[0]
	*queue = (*queue)[1:]
	switch {
	case toGate && m == nil:
		f.reduceGate(s.to, gate.Closed{At: f.now, Session: s.id})
	case toGate:
		f.reduceGate(s.to, gate.Received{At: f.now, Session: s.id, Message: m})
	case s.closed:
	case m == nil:
		s.closed = true
		f.reduceEntry(s.from, entry.SessionLost{At: f.now, Session: s.key, Opened: true})
	default:
		f.reduceEntry(s.from, entry.Received{At: f.now, Session: s.key, Message: m})
	}
}

// tick advances the time of all processes. Entries that are not partitioned
// renew their leases.
func (f *fleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	c := record.Command{Expire: &record.Expire{Limit: 100}}
	for _, p := range f.entries {
		if !p.partitioned {
			c.Renew = append(c.Renew, message.Renew{Owner: p.owner, LeaseFor: 10 * time.Second})
		}
	}
	f.commit(c)
	for _, s := range f.sessions {
		if !s.closed && !s.from.dead {
			f.reduceGate(s.to, gate.Renewed{At: f.now, Session: s.id})
		}
	}
	for _, g := range f.gates {
		f.reduceGate(g, gate.Ticked{At: f.now})
	}
	for _, p := range f.entries {
		f.reduceEntry(p, entry.Ticked{At: f.now})
	}
}

// sendRequest sends a call that may run at most once through an entry. within is
// the deadline of the call; zero means none.
func (f *fleet) sendRequest(p *entryProcess, key string, status bool, within time.Duration) {
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
	f.callers[r.ID] = p
	f.reduceEntry(p, entry.Arrived{At: f.now, Request: r})
}

// crashEntry replaces an entry. Messages that it has sent may still arrive.
func (f *fleet) crashEntry(i int) {
	old := f.entries[i]
	old.dead = true
	for _, s := range f.sessions {
		if s.from == old {
			s.toGate = append(s.toGate, nil)
		}
	}
	f.entries[i] = f.startEntry(old.name)
}

// restartGate replaces a gate. Messages to the old gate are lost; its calls to
// the service are not.
func (f *fleet) restartGate(i int) {
	old := f.gates[i]
	old.dead = true
	for _, s := range f.sessions {
		if s.to == old {
			s.toGate, s.toEntry = nil, append(s.toEntry, nil)
		}
	}
	f.gates[i] = f.startGate(old.name)
}

// loseSession ends a session for both sides, as a broken connection does. The
// messages to the entry that were not delivered are lost.
func (f *fleet) loseSession(s *session) {
	s.toEntry = []message.Message{nil}
	s.toGate = append(s.toGate, nil)
}
