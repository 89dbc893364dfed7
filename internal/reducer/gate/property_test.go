package gate

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const worldTokens = 10_000

// peer is an entry's side of one session.
type peer struct {
	id      SessionID
	reserve message.Reserve
	// offered and granted tell what the gate said, over that it ended it.
	offered, granted, over bool
}

// world is a gate among entries and a server that behave at random.
type world struct {
	*rapid.T
	is    *is.I
	gate  *State
	now   time.Time
	role  oriolebend.PoolRole
	peers []*peer
	names int
	// held is the true memory of the server, runs what was started.
	held map[message.Attempt]int
	runs map[message.Attempt]int
	// sent holds attempts whose work an entry sent: it is not reserved anew.
	sent map[message.Attempt]bool
	// never holds attempts that the gate said did not and won't run.
	never map[message.Attempt]bool
	// cancels and lists are asked for and not answered.
	cancels     []message.Attempt
	lists       [][]engine.Work
	incarnation uint64
	lost        bool
}

// TestMain has the random tests draw the same on every run; -rapid.seed and
// -rapid.checks on the command line search further.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "600", "rapid.steps": "80", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Symptom: memory held by nobody, a call run twice, an entry that waits for
// ever, a ping behind a brief.
// Sequence: any. Entries, the server, operators and clocks act at random, with
// restarts of the gate and the engine among them.
// Cause: an interleaving that no script thought of.
func TestRandomInterleavings(t *testing.T) {
	for _, role := range []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode, oriolebend.Service} {
		t.Run(string(role), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { runWorld(t, rt, role) })
		})
	}
}

func runWorld(t *testing.T, rt *rapid.T, role oriolebend.PoolRole) {
	w := &world{
		T: rt, is: is.New(t), role: role, now: epoch, incarnation: 1,
		held: map[message.Attempt]int{}, runs: map[message.Attempt]int{},
		sent: map[message.Attempt]bool{}, never: map[message.Attempt]bool{},
	}
	w.startGate()
	rt.Repeat(w.actions())
	w.settle()
}

// actions are what may happen next; rapid draws among the names, so that what
// is to happen more often has several.
func (w *world) actions() map[string]func(*rapid.T) {
	weights := []struct {
		name   string
		weight int
		do     func()
	}{
		{"reserve", 8, w.reserve},
		{"work", 6, w.work},
		{"succeed", 4, w.succeed},
		{"pass", 2, func() { w.pass(rapid.IntRange(1, 12).Draw(w.T, "ticks")) }},
		{"renew", 2, w.renew},
		{"list", 2, w.list},
		{"confirm", 2, w.confirm},
		{"release", 1, w.release},
		{"close", 1, func() { w.close(w.anyPeer()) }},
		{"fail", 1, w.fail},
		{"rogue", 1, w.rogue},
		{"pause", 1, w.pause},
		{"declare", 1, w.declare},
		{"restart", 1, w.restart},
	}
	all := map[string]func(*rapid.T){"": func(*rapid.T) { w.check() }}
	for _, action := range weights {
		for i := range action.weight {
			all[fmt.Sprint(action.name, i)] = func(*rapid.T) { action.do() }
		}
	}
	return all
}

func (w *world) startGate() {
	w.gate = New(Config{Role: serviceOnly(w.role), Concurrency: 2, QueueBound: 6, ClosedFor: 1000 * time.Hour})
	w.cancels, w.lists = nil, nil
	for a := range w.never {
		w.sent[a] = true
	}
	w.known()
	if rapid.IntRange(0, 3).Draw(w.T, "listed") > 0 {
		w.list()
	}
}

func serviceOnly(role oriolebend.PoolRole) oriolebend.PoolRole {
	if role == oriolebend.Service {
		return role
	}
	return ""
}

func (w *world) known() {
	w.lost = false
	w.do(EngineKnown{At: w.now, Info: engine.Info{
		Role: w.role, KVTokens: worldTokens, BlockTokens: 16, Incarnation: w.incarnation,
		Models: []oriolebend.LoadedModel{{Model: "planner"}},
	}})
}

func (w *world) reserve() {
	w.names++
	m := message.Reserve{
		Attempt:      message.Attempt{RequestID: fmt.Sprint("r", w.names), Number: 1},
		Phase:        phaseOf(w.role),
		Organisation: rapid.SampledFrom([]string{"lintang", "bancoA", "bancoB"}).Draw(w.T, "org"),
		Urgency:      rapid.SampledFrom([]oriolebend.Urgency{oriolebend.Urgent, oriolebend.Patient}).Draw(w.T, "urgency"),
		Model:        "planner",
		PromptTokens: rapid.SampledFrom([]int{100, 3000, 8000, 12_000}).Draw(w.T, "prompt"),
		MaxTokens:    rapid.SampledFrom([]int{10, 400}).Draw(w.T, "output"),
		StartIn:      rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}).Draw(w.T, "in"),
		Deadline:     rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(w.T, "deadline"),
		Waited:       rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(w.T, "waited"),
		Hold:         rapid.IntRange(0, 3).Draw(w.T, "hold") > 0,
		Once:         w.role == oriolebend.Service && rapid.Bool().Draw(w.T, "once"),
	}
	if old := w.anyPeer(); old != nil && !w.sent[old.reserve.Attempt] && rapid.IntRange(0, 5).Draw(w.T, "again") == 0 {
		m.Attempt = old.reserve.Attempt
	}
	p := &peer{id: SessionID(fmt.Sprint("s", w.names)), reserve: m}
	w.peers = append(w.peers, p)
	w.send(p, m)
}

func (w *world) anyPeer() *peer {
	if len(w.peers) == 0 {
		return nil
	}
	return rapid.SampledFrom(w.peers).Draw(w.T, "peer")
}

func (w *world) send(p *peer, m message.Message) {
	if !p.over {
		w.do(Received{At: w.now, Session: p.id, Message: m})
	}
}

// work sends the work of a session that holds a grant, at times twice.
func (w *world) work() {
	var granted []*peer
	for _, p := range w.peers {
		if p.granted && !p.over {
			granted = append(granted, p)
		}
	}
	if len(granted) == 0 {
		return
	}
	p := rapid.SampledFrom(granted).Draw(w.T, "granted")
	w.sent[p.reserve.Attempt] = true
	w.send(p, w.workOf(p.reserve.Attempt))
}

func (w *world) workOf(a message.Attempt) message.Message {
	switch w.role {
	case oriolebend.Prefill:
		return message.Prefill{Attempt: a}
	case oriolebend.Decode:
		return message.Decode{Attempt: a, TransferWithin: 500 * time.Millisecond}
	default:
		return message.Call{Attempt: a}
	}
}

// rogue sends work that the session may not hold.
func (w *world) rogue() {
	p, other := w.anyPeer(), w.anyPeer()
	if p == nil {
		return
	}
	if w.gate.sessions[p.id] != nil && !p.reserve.Once && !other.reserve.Once {
		w.sent[other.reserve.Attempt] = true
		w.send(p, w.workOf(other.reserve.Attempt))
	}
}

func (w *world) release() {
	p := w.anyPeer()
	if p == nil {
		return
	}
	w.send(p, message.Release{Attempt: p.reserve.Attempt})
	p.over = true
}

func (w *world) close(p *peer) {
	if p == nil {
		return
	}
	p.over = true
	w.do(Closed{At: w.now, Session: p.id})
}

func (w *world) renew() {
	for _, p := range w.peers {
		if !p.over && rapid.IntRange(0, 9).Draw(w.T, "heard") > 0 {
			w.do(Renewed{At: w.now, Session: p.id})
		}
	}
}

func (w *world) pass(ticks int) {
	for range ticks {
		if len(w.lists) >= mostLists-1 {
			w.list()
		}
		w.now = w.now.Add(w.gate.config.TickEvery)
		w.do(Ticked{At: w.now})
	}
}

func (w *world) pause() {
	if len(w.lists) >= mostLists-1 {
		w.list()
	}
	w.now = w.now.Add(time.Minute)
	w.do(Ticked{At: w.now})
}

// anyHeld returns work at the server, in a fixed order of choice.
func (w *world) anyHeld() (message.Attempt, bool) {
	if len(w.held) == 0 {
		return message.Attempt{}, false
	}
	return rapid.SampledFrom(w.inServer()).Draw(w.T, "held"), true
}

func (w *world) inServer() []message.Attempt {
	var all []message.Attempt
	for a := range w.held {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b message.Attempt) int {
		return slices.Compare([]byte(a.RequestID), []byte(b.RequestID))
	})
	return all
}

func (w *world) succeed() {
	a, found := w.anyHeld()
	if !found || w.lost {
		return
	}
	switch w.role {
	case oriolebend.Prefill:
		w.do(EnginePrefilled{At: w.now, Attempt: a, Result: engine.PrefillResult{Tokens: 100, LivesFor: time.Second}})
	case oriolebend.Decode:
		part := message.Part{Attempt: a, Tokens: 1}
		if rapid.Bool().Draw(w.T, "last") {
			part.Finish = message.FinishStop
			delete(w.held, a)
		}
		w.do(EnginePart{At: w.now, Part: part})
	default:
		delete(w.held, a)
		w.do(ServiceAnswered{At: w.now, Answer: message.CallAnswer{Attempt: a}})
	}
}

func (w *world) fail() {
	a, found := w.anyHeld()
	if !found || w.lost {
		return
	}
	e := WorkFailed{At: w.now, Attempt: a, Phase: phaseOf(w.role), Reason: oriolebend.ReasonEngineFailed}
	switch rapid.IntRange(0, 2).Draw(w.T, "ran") {
	case 0:
		e.Ran = oriolebend.RanNo
		w.runs[a] = 0
		delete(w.held, a)
	case 1:
		e.Reason = oriolebend.ReasonTransferStalled
	}
	if w.role == oriolebend.Service {
		delete(w.held, a)
	}
	w.do(e)
}

func (w *world) confirm() {
	if len(w.cancels) == 0 {
		return
	}
	a := w.cancels[0]
	w.cancels = w.cancels[1:]
	switch rapid.IntRange(0, 3).Draw(w.T, "confirm") {
	case 0:
		w.do(Cancelled{At: w.now, Attempt: a, Failed: true})
	case 1:
		// The cancellation or its answer is lost.
	default:
		delete(w.held, a)
		w.do(Cancelled{At: w.now, Attempt: a})
	}
}

// list answers an earlier ListWork, by what was true when it was asked for.
func (w *world) list() {
	if len(w.lists) == 0 || w.lost {
		return
	}
	work := w.lists[0]
	w.lists = w.lists[1:]
	w.do(WorkListed{At: w.now, Work: work})
}

func (w *world) declare() {
	state := oriolebend.ServerServing
	switch rapid.IntRange(0, 7).Draw(w.T, "state") {
	case 0:
		state = oriolebend.ServerLeaving
	case 1:
		state = oriolebend.ServerLoading
	}
	w.do(Declared{At: w.now, State: state})
}

// restart restarts the gate or the engine, or has the engine be away.
func (w *world) restart() {
	if rapid.IntRange(0, 3).Draw(w.T, "restart") > 0 {
		return
	}
	switch rapid.IntRange(0, 2).Draw(w.T, "which") {
	case 0:
		for _, p := range w.peers {
			p.over = true
		}
		w.startGate()
	case 1:
		clear(w.held)
		w.incarnation++
		w.lists = nil
		w.known()
	default:
		w.lost = true
		w.lists = nil
		w.do(EngineLost{At: w.now})
		w.known()
	}
}

// do takes an event in, carries its effects out and checks them.
func (w *world) do(e Event) {
	waiting := w.urgentWaiting()
	for _, effect := range Reduce(w.gate, e) {
		switch effect := effect.(type) {
		case Reply:
			w.reply(effect, waiting)
		case EndSession:
			if p := w.find(effect.Session); p != nil {
				p.over = true
			}
		case RunPrefill:
			w.run(effect.Request.Attempt)
		case RunDecode:
			w.run(effect.Request.Attempt)
		case RunCall:
			w.run(effect.Call.Attempt)
		case CancelWork:
			w.cancels = append(w.cancels, effect.Attempt)
		case ListWork:
			var work []engine.Work
			for _, a := range w.inServer() {
				work = append(work, engine.Work{Attempt: a, Tokens: w.held[a]})
			}
			w.lists = append(w.lists, work)
		}
	}
}

func (w *world) find(id SessionID) *peer {
	for _, p := range w.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *world) run(a message.Attempt) {
	if w.never[a] {
		w.Fatalf("%v runs after the gate said it never would", a)
	}
	w.runs[a]++
	if w.runs[a] > 1 {
		w.Fatalf("%v runs twice", a)
	}
	w.held[a] = w.gate.attempts[a].tokens
	sum := 0
	for _, tokens := range w.held {
		sum += tokens
	}
	if sum > worldTokens {
		w.Fatalf("the server holds %d tokens", sum)
	}
}

// reply checks what the entry is told.
func (w *world) reply(r Reply, waiting map[*reservation]bool) {
	p := w.find(r.Session)
	if p.over {
		w.Fatalf("%s to %s, which is over", r.Message.Kind(), r.Session)
	}
	granted := false
	switch m := r.Message.(type) {
	case message.Offer:
		granted = m.Granted
		p.offered = true
	case message.Grant:
		granted = true
	case message.Refusal:
		w.refused(p, m)
	}
	if !granted {
		return
	}
	p.granted = true
	w.checkOrder(p, waiting)
}

func (w *world) refused(p *peer, m message.Refusal) {
	p.over = true
	if m.Ran != oriolebend.RanNo {
		return
	}
	if w.runs[m.Attempt] > 0 {
		w.Fatalf("%v ran, and the gate says no", m.Attempt)
	}
	if p.granted {
		w.never[m.Attempt] = true
	}
}

// urgentWaiting returns the urgent reservations that wait.
func (w *world) urgentWaiting() map[*reservation]bool {
	waiting := map[*reservation]bool{}
	for _, r := range w.gate.queue.all() {
		if r.reserve.Urgency == oriolebend.Urgent {
			waiting[r] = true
		}
	}
	return waiting
}

// checkOrder checks that no patient reservation passes an urgent one that
// waits, unless some patient one is old enough. Decode room may be taken from
// behind, where it doesn't delay who is first.
func (w *world) checkOrder(p *peer, waiting map[*reservation]bool) {
	if p.reserve.Urgency == oriolebend.Urgent || w.role == oriolebend.Decode {
		return
	}
	granted := w.gate.attempts[p.reserve.Attempt]
	if granted == nil {
		return
	}
	oldest := granted.acceptedAt
	if w.gate.queue.patient.length > 0 && w.gate.queue.patient.oldest().Before(oldest) {
		oldest = w.gate.queue.patient.oldest()
	}
	for r := range waiting {
		if r.stage == stageQueued && w.now.Sub(oldest) < w.gate.config.AgeAfter {
			w.Fatalf("%v passes %v", p.reserve.Attempt, r.reserve.Attempt)
		}
	}
}

// check holds what is true after every event.
func (w *world) check() {
	g := w.gate
	if g.usedTokens() > worldTokens || g.freeTokens() < 0 {
		w.Fatalf("used %d, free %d", g.usedTokens(), g.freeTokens())
	}
	queued := 0
	for a, r := range g.attempts {
		if r.stage == stageQueued {
			queued++
		}
		known := g.sessions[r.session]
		unowned := r.stage == stageCancelling || (r.stage == stageWorking && r.reserve.Once)
		if known == nil && !unowned {
			w.Fatalf("%v is %s without a session", a, r.stage)
		}
		if known != nil && g.awake-known.heard >= g.config.Lease+longestStep*g.config.TickEvery {
			w.Fatalf("%v outlives its lease", a)
		}
	}
	if queued != g.queue.length || queued != len(g.queue.all()) {
		w.Fatalf("%d queued, queue says %d", queued, g.queue.length)
	}
	for _, p := range w.peers {
		if !p.over && g.sessions[p.id] == nil {
			w.Fatalf("%s was not told its end", p.id)
		}
	}
}

// settle lets everybody fall silent and the server answer: all must be free
// within the lease, a list and a repeated cancellation.
func (w *world) settle() {
	if w.role == oriolebend.Service {
		for _, a := range w.inServer() {
			delete(w.held, a)
			w.do(ServiceAnswered{At: w.now, Answer: message.CallAnswer{Attempt: a}})
		}
	}
	within := w.gate.config.Lease + 2*w.gate.config.ListEvery + w.gate.config.CancelRetry
	for range within/w.gate.config.TickEvery + 2 {
		w.pass(1)
		for len(w.cancels) > 0 {
			a := w.cancels[0]
			w.cancels = w.cancels[1:]
			delete(w.held, a)
			w.do(Cancelled{At: w.now, Attempt: a})
		}
		w.list()
		w.check()
	}
	w.is.Equal(len(w.gate.attempts), 0)
	w.is.Equal(len(w.gate.sessions), 0)
	w.is.Equal(len(w.held), 0)
}
