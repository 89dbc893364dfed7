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

const serverTokens = 10_000

// entrySession is an entry's side of one session.
type entrySession struct {
	id      SessionID
	reserve message.Reserve
	// offered and granted record the gate's answers. ended is true once either
	// side ended the session.
	offered, granted, ended bool
}

// simulation is a gate with entries and a server that behave at random.
type simulation struct {
	*rapid.T
	is       *is.I
	gate     *State
	now      time.Time
	role     oriolebend.PoolRole
	sessions []*entrySession
	lastID   int
	// held is the memory that the server actually holds, runs counts the starts
	// of each attempt.
	held map[message.Attempt]int
	runs map[message.Attempt]int
	// sent holds the attempts whose work an entry sent. They are not reserved
	// again.
	sent map[message.Attempt]bool
	// neverRun holds the attempts of which the gate reported that they did not
	// run and never will.
	neverRun map[message.Attempt]bool
	// pendingCancels and pendingLists are requested and not answered.
	pendingCancels []message.Attempt
	pendingLists   [][]engine.Work
	incarnation    uint64
	lost           bool
}

// TestMain makes the random tests draw the same values on every run. With
// -rapid.seed and -rapid.checks on the command line they search further.
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

// Symptom: memory held by nobody, a call that runs twice, an entry that waits
// for ever, a ping that waits behind a brief.
// Sequence: any. Entries, the server, operators and clocks act at random,
// including restarts of the gate and the engine.
// Cause: an interleaving that no script covers.
func TestRandomInterleavings(t *testing.T) {
	for _, role := range []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode, oriolebend.Service} {
		t.Run(string(role), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { runSimulation(t, rt, role) })
		})
	}
}

func runSimulation(t *testing.T, rt *rapid.T, role oriolebend.PoolRole) {
	w := &simulation{
		T: rt, is: is.New(t), role: role, now: epoch, incarnation: 1,
		held: map[message.Attempt]int{}, runs: map[message.Attempt]int{},
		sent: map[message.Attempt]bool{}, neverRun: map[message.Attempt]bool{},
	}
	w.startGate()
	rt.Repeat(w.actions())
	w.settle()
}

// actions returns the possible next actions. rapid draws among the names, so an
// action with a higher weight has several.
func (w *simulation) actions() map[string]func(*rapid.T) {
	weights := []struct {
		name   string
		weight int
		do     func()
	}{
		{"reserve", 8, w.reserve},
		{"work", 6, w.work},
		{"succeed", 4, w.succeed},
		{"pass", 2, func() { w.advance(rapid.IntRange(1, 12).Draw(w.T, "ticks")) }},
		{"renew", 2, w.renew},
		{"list", 2, w.list},
		{"confirm", 2, w.confirm},
		{"release", 1, w.release},
		{"close", 1, func() { w.close(w.anySession()) }},
		{"fail", 1, w.fail},
		{"rogue", 1, w.sendUnowned},
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

func (w *simulation) startGate() {
	w.gate = New(Config{Role: serviceOnly(w.role), Concurrency: 2, QueueBound: 6, ClosedFor: 1000 * time.Hour})
	w.pendingCancels, w.pendingLists = nil, nil
	for a := range w.neverRun {
		w.sent[a] = true
	}
	w.reportEngine()
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

func (w *simulation) reportEngine() {
	w.lost = false
	w.apply(EngineKnown{At: w.now, Info: engine.Info{
		Role: w.role, KVTokens: serverTokens, BlockTokens: 16, Incarnation: w.incarnation,
		Models: []oriolebend.LoadedModel{{Model: "planner"}},
	}})
}

func (w *simulation) reserve() {
	w.lastID++
	m := message.Reserve{
		Attempt:      message.Attempt{RequestID: fmt.Sprint("r", w.lastID), Number: 1},
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
	if old := w.anySession(); old != nil && !w.sent[old.reserve.Attempt] && rapid.IntRange(0, 5).Draw(w.T, "again") == 0 {
		m.Attempt = old.reserve.Attempt
	}
	p := &entrySession{id: SessionID(fmt.Sprint("s", w.lastID)), reserve: m}
	w.sessions = append(w.sessions, p)
	w.send(p, m)
}

func (w *simulation) anySession() *entrySession {
	if len(w.sessions) == 0 {
		return nil
	}
	return rapid.SampledFrom(w.sessions).Draw(w.T, "peer")
}

func (w *simulation) send(p *entrySession, m message.Message) {
	if !p.ended {
		w.apply(Received{At: w.now, Session: p.id, Message: m})
	}
}

// work sends the work of a session that holds a grant, sometimes twice.
func (w *simulation) work() {
	var granted []*entrySession
	for _, p := range w.sessions {
		if p.granted && !p.ended {
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

func (w *simulation) workOf(a message.Attempt) message.Message {
	switch w.role {
	case oriolebend.Prefill:
		return message.Prefill{Attempt: a}
	case oriolebend.Decode:
		return message.Decode{Attempt: a, TransferWithin: 500 * time.Millisecond}
	default:
		return message.Call{Attempt: a}
	}
}

// sendUnowned sends work over a session that may hold no reservation for it.
func (w *simulation) sendUnowned() {
	p, other := w.anySession(), w.anySession()
	if p == nil {
		return
	}
	if w.gate.sessions[p.id] != nil && !p.reserve.Once && !other.reserve.Once {
		w.sent[other.reserve.Attempt] = true
		w.send(p, w.workOf(other.reserve.Attempt))
	}
}

func (w *simulation) release() {
	p := w.anySession()
	if p == nil {
		return
	}
	w.send(p, message.Release{Attempt: p.reserve.Attempt})
	p.ended = true
}

func (w *simulation) close(p *entrySession) {
	if p == nil {
		return
	}
	p.ended = true
	w.apply(Closed{At: w.now, Session: p.id})
}

func (w *simulation) renew() {
	for _, p := range w.sessions {
		if !p.ended && rapid.IntRange(0, 9).Draw(w.T, "heard") > 0 {
			w.apply(Renewed{At: w.now, Session: p.id})
		}
	}
}

func (w *simulation) advance(ticks int) {
	for range ticks {
		if len(w.pendingLists) >= maxPendingLists-1 {
			w.list()
		}
		w.now = w.now.Add(w.gate.config.TickEvery)
		w.apply(Ticked{At: w.now})
	}
}

func (w *simulation) pause() {
	if len(w.pendingLists) >= maxPendingLists-1 {
		w.list()
	}
	w.now = w.now.Add(time.Minute)
	w.apply(Ticked{At: w.now})
}

// anyWork returns an attempt whose work is at the server, drawn from a fixed
// order.
func (w *simulation) anyWork() (message.Attempt, bool) {
	if len(w.held) == 0 {
		return message.Attempt{}, false
	}
	return rapid.SampledFrom(w.serverWork()).Draw(w.T, "held"), true
}

func (w *simulation) serverWork() []message.Attempt {
	var all []message.Attempt
	for a := range w.held {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b message.Attempt) int {
		return slices.Compare([]byte(a.RequestID), []byte(b.RequestID))
	})
	return all
}

func (w *simulation) succeed() {
	a, found := w.anyWork()
	if !found || w.lost {
		return
	}
	switch w.role {
	case oriolebend.Prefill:
		w.apply(EnginePrefilled{At: w.now, Attempt: a, Result: engine.PrefillResult{Tokens: 100, LivesFor: time.Second}})
	case oriolebend.Decode:
		part := message.Part{Attempt: a, Tokens: 1}
		if rapid.Bool().Draw(w.T, "last") {
			part.Finish = message.FinishStop
			delete(w.held, a)
		}
		w.apply(EnginePart{At: w.now, Part: part})
	default:
		delete(w.held, a)
		w.apply(ServiceAnswered{At: w.now, Answer: message.CallAnswer{Attempt: a}})
	}
}

func (w *simulation) fail() {
	a, found := w.anyWork()
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
	w.apply(e)
}

func (w *simulation) confirm() {
	if len(w.pendingCancels) == 0 {
		return
	}
	a := w.pendingCancels[0]
	w.pendingCancels = w.pendingCancels[1:]
	switch rapid.IntRange(0, 3).Draw(w.T, "confirm") {
	case 0:
		w.apply(Cancelled{At: w.now, Attempt: a, Failed: true})
	case 1:
		// The cancellation or its answer is lost.
	default:
		delete(w.held, a)
		w.apply(Cancelled{At: w.now, Attempt: a})
	}
}

// list answers the oldest ListWork with the state at the time of the request.
func (w *simulation) list() {
	if len(w.pendingLists) == 0 || w.lost {
		return
	}
	work := w.pendingLists[0]
	w.pendingLists = w.pendingLists[1:]
	w.apply(WorkListed{At: w.now, Work: work})
}

func (w *simulation) declare() {
	state := oriolebend.ServerServing
	switch rapid.IntRange(0, 7).Draw(w.T, "state") {
	case 0:
		state = oriolebend.ServerLeaving
	case 1:
		state = oriolebend.ServerLoading
	}
	w.apply(Declared{At: w.now, State: state})
}

// restart restarts the gate or the engine, or makes the engine unreachable for
// a moment.
func (w *simulation) restart() {
	if rapid.IntRange(0, 3).Draw(w.T, "restart") > 0 {
		return
	}
	switch rapid.IntRange(0, 2).Draw(w.T, "which") {
	case 0:
		for _, p := range w.sessions {
			p.ended = true
		}
		w.startGate()
	case 1:
		clear(w.held)
		w.incarnation++
		w.pendingLists = nil
		w.reportEngine()
	default:
		w.lost = true
		w.pendingLists = nil
		w.apply(EngineLost{At: w.now})
		w.reportEngine()
	}
}

// apply applies an event, carries out its effects and checks them.
func (w *simulation) apply(e Event) {
	waiting := w.urgentWaiting()
	for _, effect := range Reduce(w.gate, e) {
		switch effect := effect.(type) {
		case Reply:
			w.reply(effect, waiting)
		case EndSession:
			if p := w.find(effect.Session); p != nil {
				p.ended = true
			}
		case RunPrefill:
			w.run(effect.Request.Attempt)
		case RunDecode:
			w.run(effect.Request.Attempt)
		case RunCall:
			w.run(effect.Call.Attempt)
		case CancelWork:
			w.pendingCancels = append(w.pendingCancels, effect.Attempt)
		case ListWork:
			var work []engine.Work
			for _, a := range w.serverWork() {
				work = append(work, engine.Work{Attempt: a, Tokens: w.held[a]})
			}
			w.pendingLists = append(w.pendingLists, work)
		}
	}
}

func (w *simulation) find(id SessionID) *entrySession {
	for _, p := range w.sessions {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *simulation) run(a message.Attempt) {
	if w.neverRun[a] {
		w.Fatalf("attempt %v runs after the gate reported that it never would", a)
	}
	w.runs[a]++
	if w.runs[a] > 1 {
		w.Fatalf("attempt %v runs twice", a)
	}
	w.held[a] = w.gate.attempts[a].tokens
	sum := 0
	for _, tokens := range w.held {
		sum += tokens
	}
	if sum > serverTokens {
		w.Fatalf("the server holds %d tokens, more than its memory", sum)
	}
}

// reply checks the message that an entry receives.
func (w *simulation) reply(r Reply, waiting map[*reservation]bool) {
	p := w.find(r.Session)
	if p.ended {
		w.Fatalf("%s sent over session %s, which has ended", r.Message.Kind(), r.Session)
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

func (w *simulation) refused(p *entrySession, m message.Refusal) {
	p.ended = true
	if m.Ran != oriolebend.RanNo {
		return
	}
	if w.runs[m.Attempt] > 0 {
		w.Fatalf("attempt %v ran, but the gate reported that it did not", m.Attempt)
	}
	if p.granted {
		w.neverRun[m.Attempt] = true
	}
}

// urgentWaiting returns the urgent reservations that wait.
func (w *simulation) urgentWaiting() map[*reservation]bool {
	waiting := map[*reservation]bool{}
	for _, r := range w.gate.queue.all() {
		if r.reserve.Urgency == oriolebend.Urgent {
			waiting[r] = true
		}
	}
	return waiting
}

// checkOrder checks that no patient reservation passes a waiting urgent one,
// unless a patient one is old enough. Decodes are exempt: a later one may be
// granted where it doesn't delay the first.
func (w *simulation) checkOrder(p *entrySession, waiting map[*reservation]bool) {
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
			w.Fatalf("patient attempt %v passes urgent attempt %v", p.reserve.Attempt, r.reserve.Attempt)
		}
	}
}

// check checks the invariants that hold after every event.
func (w *simulation) check() {
	g := w.gate
	if g.usedTokens() > serverTokens || g.freeTokens() < 0 {
		w.Fatalf("%d tokens used, %d tokens free", g.usedTokens(), g.freeTokens())
	}
	queued := 0
	for a, r := range g.attempts {
		if r.stage == stageQueued {
			queued++
		}
		known := g.sessions[r.session]
		unowned := r.stage == stageCancelling || (r.stage == stageWorking && r.reserve.Once)
		if known == nil && !unowned {
			w.Fatalf("attempt %v is %s without a session", a, r.stage)
		}
		if known != nil && g.leaseClock-known.renewedAt >= g.config.Lease+maxLeaseTicks*g.config.TickEvery {
			w.Fatalf("attempt %v outlives its lease", a)
		}
	}
	if queued != g.queue.length || queued != len(g.queue.all()) {
		w.Fatalf("%d attempts queued, queue length is %d", queued, g.queue.length)
	}
	for _, p := range w.sessions {
		if !p.ended && g.sessions[p.id] == nil {
			w.Fatalf("session %s ended without an EndSession", p.id)
		}
	}
}

// settle stops all renewals and lets the server answer. Everything must be
// freed within the lease, two list periods and one cancellation retry.
func (w *simulation) settle() {
	if w.role == oriolebend.Service {
		for _, a := range w.serverWork() {
			delete(w.held, a)
			w.apply(ServiceAnswered{At: w.now, Answer: message.CallAnswer{Attempt: a}})
		}
	}
	within := w.gate.config.Lease + 2*w.gate.config.ListEvery + w.gate.config.CancelRetry
	for range within/w.gate.config.TickEvery + 2 {
		w.advance(1)
		for len(w.pendingCancels) > 0 {
			a := w.pendingCancels[0]
			w.pendingCancels = w.pendingCancels[1:]
			delete(w.held, a)
			w.apply(Cancelled{At: w.now, Attempt: a})
		}
		w.list()
		w.check()
	}
	w.is.Equal(len(w.gate.attempts), 0)
	w.is.Equal(len(w.gate.sessions), 0)
	w.is.Equal(len(w.held), 0)
}
