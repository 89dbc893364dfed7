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

// Guards against memory that no reservation owns, a call that runs twice, an
// entry that waits forever, and a ping that waits behind a brief, in
// interleavings that no script covers. Entries, the server, operators and clocks
// act at random, including restarts of the gate and the engine.
func TestRandomInterleavings(t *testing.T) {
	for _, role := range []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode, oriolebend.Service} {
		t.Run(string(role), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { runSimulation(t, rt, role) })
		})
	}
}

func runSimulation(t *testing.T, rt *rapid.T, role oriolebend.PoolRole) {
	sm := &simulation{
		T: rt, is: is.New(t), role: role, now: epoch, incarnation: 1,
		held: map[message.Attempt]int{}, runs: map[message.Attempt]int{},
		sent: map[message.Attempt]bool{}, neverRun: map[message.Attempt]bool{},
	}
	sm.startGate()
	rt.Repeat(sm.actions())
	sm.settle()
}

// actions returns the possible next actions. rapid draws among the names, so an
// action with a higher weight has several.
func (sm *simulation) actions() map[string]func(*rapid.T) {
	weights := []struct {
		name   string
		weight int
		do     func()
	}{
		{"reserve", 8, sm.reserve},
		{"work", 6, sm.work},
		{"succeed", 4, sm.succeed},
		{"pass", 2, func() { sm.advance(rapid.IntRange(1, 12).Draw(sm.T, "ticks")) }},
		{"renew", 2, sm.renew},
		{"list", 2, sm.list},
		{"confirm", 2, sm.confirm},
		{"release", 1, sm.release},
		{"close", 1, func() { sm.close(sm.anySession()) }},
		{"fail", 1, sm.fail},
		{"rogue", 1, sm.sendUnowned},
		{"pause", 1, sm.pause},
		{"declare", 1, sm.declare},
		{"restart", 1, sm.restart},
	}
	all := map[string]func(*rapid.T){"": func(*rapid.T) { sm.check() }}
	for _, action := range weights {
		for i := range action.weight {
			all[fmt.Sprint(action.name, i)] = func(*rapid.T) { action.do() }
		}
	}
	return all
}

func (sm *simulation) startGate() {
	sm.gate = New(Config{Role: serviceOnly(sm.role), Concurrency: 2, QueueBound: 6, ClosedFor: 1000 * time.Hour})
	sm.pendingCancels, sm.pendingLists = nil, nil
	for a := range sm.neverRun {
		sm.sent[a] = true
	}
	sm.reportEngine()
	if rapid.IntRange(0, 3).Draw(sm.T, "listed") > 0 {
		sm.list()
	}
}

func serviceOnly(role oriolebend.PoolRole) oriolebend.PoolRole {
	if role == oriolebend.Service {
		return role
	}
	return ""
}

func (sm *simulation) reportEngine() {
	sm.lost = false
	sm.apply(EngineKnown{At: sm.now, Info: engine.Info{
		Role: sm.role, KVTokens: serverTokens, BlockTokens: 16, Incarnation: sm.incarnation,
		Models: []oriolebend.LoadedModel{{Model: "planner"}},
	}})
}

func (sm *simulation) reserve() {
	sm.lastID++
	m := message.Reserve{
		Attempt:      message.Attempt{RequestID: fmt.Sprint("r", sm.lastID), Number: 1},
		Phase:        phaseOf(sm.role),
		Organisation: rapid.SampledFrom([]string{"lintang", "bancoA", "bancoB"}).Draw(sm.T, "org"),
		Urgency:      rapid.SampledFrom([]oriolebend.Urgency{oriolebend.Urgent, oriolebend.Patient}).Draw(sm.T, "urgency"),
		Model:        "planner",
		PromptTokens: rapid.SampledFrom([]int{100, 3000, 8000, 12_000}).Draw(sm.T, "prompt"),
		MaxTokens:    rapid.SampledFrom([]int{10, 400}).Draw(sm.T, "output"),
		StartIn:      rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}).Draw(sm.T, "in"),
		Deadline:     rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(sm.T, "deadline"),
		Waited:       rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(sm.T, "waited"),
		Hold:         rapid.IntRange(0, 3).Draw(sm.T, "hold") > 0,
		Once:         sm.role == oriolebend.Service && rapid.Bool().Draw(sm.T, "once"),
	}
	if old := sm.anySession(); old != nil && !sm.sent[old.reserve.Attempt] && rapid.IntRange(0, 5).Draw(sm.T, "again") == 0 {
		m.Attempt = old.reserve.Attempt
	}
	es := &entrySession{id: SessionID(fmt.Sprint("s", sm.lastID)), reserve: m}
	sm.sessions = append(sm.sessions, es)
	sm.send(es, m)
}

func (sm *simulation) anySession() *entrySession {
	if len(sm.sessions) == 0 {
		return nil
	}
	return rapid.SampledFrom(sm.sessions).Draw(sm.T, "peer")
}

func (sm *simulation) send(es *entrySession, m message.Message) {
	if !es.ended {
		sm.apply(Received{At: sm.now, Session: es.id, Message: m})
	}
}

// work sends the work of a session that holds a grant, sometimes twice.
func (sm *simulation) work() {
	var granted []*entrySession
	for _, es := range sm.sessions {
		if es.granted && !es.ended {
			granted = append(granted, es)
		}
	}
	if len(granted) == 0 {
		return
	}
	es := rapid.SampledFrom(granted).Draw(sm.T, "granted")
	sm.sent[es.reserve.Attempt] = true
	sm.send(es, sm.workOf(es.reserve.Attempt))
}

func (sm *simulation) workOf(a message.Attempt) message.Message {
	switch sm.role {
	case oriolebend.Prefill:
		return message.Prefill{Attempt: a}
	case oriolebend.Decode:
		return message.Decode{Attempt: a, TransferWithin: 500 * time.Millisecond}
	default:
		return message.Call{Attempt: a}
	}
}

// sendUnowned sends work over a session that may hold no reservation for it.
func (sm *simulation) sendUnowned() {
	es, other := sm.anySession(), sm.anySession()
	if es == nil {
		return
	}
	if sm.gate.sessions[es.id] != nil && !es.reserve.Once && !other.reserve.Once {
		sm.sent[other.reserve.Attempt] = true
		sm.send(es, sm.workOf(other.reserve.Attempt))
	}
}

func (sm *simulation) release() {
	es := sm.anySession()
	if es == nil {
		return
	}
	sm.send(es, message.Release{Attempt: es.reserve.Attempt})
	es.ended = true
}

func (sm *simulation) close(es *entrySession) {
	if es == nil {
		return
	}
	es.ended = true
	sm.apply(Closed{At: sm.now, Session: es.id})
}

func (sm *simulation) renew() {
	for _, es := range sm.sessions {
		if !es.ended && rapid.IntRange(0, 9).Draw(sm.T, "heard") > 0 {
			sm.apply(Renewed{At: sm.now, Session: es.id})
		}
	}
}

func (sm *simulation) advance(ticks int) {
	for range ticks {
		if len(sm.pendingLists) >= maxPendingLists-1 {
			sm.list()
		}
		sm.now = sm.now.Add(sm.gate.config.TickEvery)
		sm.apply(Ticked{At: sm.now})
	}
}

func (sm *simulation) pause() {
	if len(sm.pendingLists) >= maxPendingLists-1 {
		sm.list()
	}
	sm.now = sm.now.Add(time.Minute)
	sm.apply(Ticked{At: sm.now})
}

// anyWork returns an attempt whose work is at the server, drawn from a fixed
// order.
func (sm *simulation) anyWork() (message.Attempt, bool) {
	if len(sm.held) == 0 {
		return message.Attempt{}, false
	}
	return rapid.SampledFrom(sm.serverWork()).Draw(sm.T, "held"), true
}

func (sm *simulation) serverWork() []message.Attempt {
	var all []message.Attempt
	for a := range sm.held {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b message.Attempt) int {
		return slices.Compare([]byte(a.RequestID), []byte(b.RequestID))
	})
	return all
}

func (sm *simulation) succeed() {
	a, found := sm.anyWork()
	if !found || sm.lost {
		return
	}
	switch sm.role {
	case oriolebend.Prefill:
		sm.apply(EnginePrefilled{At: sm.now, Attempt: a, Result: engine.PrefillResult{Tokens: 100, LivesFor: time.Second}})
	case oriolebend.Decode:
		part := message.Part{Attempt: a, Tokens: 1}
		if rapid.Bool().Draw(sm.T, "last") {
			part.Finish = message.FinishStop
			delete(sm.held, a)
		}
		sm.apply(EnginePart{At: sm.now, Part: part})
	default:
		delete(sm.held, a)
		sm.apply(ServiceAnswered{At: sm.now, Answer: message.CallAnswer{Attempt: a}})
	}
}

func (sm *simulation) fail() {
	a, found := sm.anyWork()
	if !found || sm.lost {
		return
	}
	e := WorkFailed{At: sm.now, Attempt: a, Phase: phaseOf(sm.role), Reason: oriolebend.ReasonEngineFailed}
	switch rapid.IntRange(0, 2).Draw(sm.T, "ran") {
	case 0:
		e.Ran = oriolebend.RanNo
		sm.runs[a] = 0
		delete(sm.held, a)
	case 1:
		e.Reason = oriolebend.ReasonTransferStalled
	}
	if sm.role == oriolebend.Service {
		delete(sm.held, a)
	}
	sm.apply(e)
}

func (sm *simulation) confirm() {
	if len(sm.pendingCancels) == 0 {
		return
	}
	a := sm.pendingCancels[0]
	sm.pendingCancels = sm.pendingCancels[1:]
	switch rapid.IntRange(0, 3).Draw(sm.T, "confirm") {
	case 0:
		sm.apply(Cancelled{At: sm.now, Attempt: a, Failed: true})
	case 1:
		// The cancellation or its answer is lost.
	default:
		delete(sm.held, a)
		sm.apply(Cancelled{At: sm.now, Attempt: a})
	}
}

// list answers the oldest ListWork with the state at the time of the request.
func (sm *simulation) list() {
	if len(sm.pendingLists) == 0 || sm.lost {
		return
	}
	work := sm.pendingLists[0]
	sm.pendingLists = sm.pendingLists[1:]
	sm.apply(WorkListed{At: sm.now, Work: work})
}

func (sm *simulation) declare() {
	state := oriolebend.ServerServing
	switch rapid.IntRange(0, 7).Draw(sm.T, "state") {
	case 0:
		state = oriolebend.ServerLeaving
	case 1:
		state = oriolebend.ServerLoading
	}
	sm.apply(Declared{At: sm.now, State: state})
}

// restart restarts the gate or the engine, or makes the engine unreachable for
// a moment.
func (sm *simulation) restart() {
	if rapid.IntRange(0, 3).Draw(sm.T, "restart") > 0 {
		return
	}
	switch rapid.IntRange(0, 2).Draw(sm.T, "which") {
	case 0:
		for _, es := range sm.sessions {
			es.ended = true
		}
		sm.startGate()
	case 1:
		clear(sm.held)
		sm.incarnation++
		sm.pendingLists = nil
		sm.reportEngine()
	default:
		sm.lost = true
		sm.pendingLists = nil
		sm.apply(EngineLost{At: sm.now})
		sm.reportEngine()
	}
}

// apply applies an event, carries out its effects and checks them.
func (sm *simulation) apply(e Event) {
	waiting := sm.urgentWaiting()
	for _, effect := range Reduce(sm.gate, e) {
		switch effect := effect.(type) {
		case Reply:
			sm.reply(effect, waiting)
		case EndSession:
			if es := sm.find(effect.Session); es != nil {
				es.ended = true
			}
		case RunPrefill:
			sm.run(effect.Request.Attempt)
		case RunDecode:
			sm.run(effect.Request.Attempt)
		case RunCall:
			sm.run(effect.Call.Attempt)
		case CancelWork:
			sm.pendingCancels = append(sm.pendingCancels, effect.Attempt)
		case ListWork:
			var work []engine.Work
			for _, a := range sm.serverWork() {
				work = append(work, engine.Work{Attempt: a, Tokens: sm.held[a]})
			}
			sm.pendingLists = append(sm.pendingLists, work)
		}
	}
}

func (sm *simulation) find(id SessionID) *entrySession {
	for _, es := range sm.sessions {
		if es.id == id {
			return es
		}
	}
	return nil
}

func (sm *simulation) run(a message.Attempt) {
	if sm.neverRun[a] {
		sm.Fatalf("attempt %v runs after the gate reported that it never would", a)
	}
	sm.runs[a]++
	if sm.runs[a] > 1 {
		sm.Fatalf("attempt %v runs twice", a)
	}
	sm.held[a] = sm.gate.attempts[a].tokens
	sum := 0
	for _, tokens := range sm.held {
		sum += tokens
	}
	if sum > serverTokens {
		sm.Fatalf("the server holds %d tokens, more than its memory", sum)
	}
}

// reply checks the message that an entry receives.
func (sm *simulation) reply(r Reply, waiting map[*reservation]bool) {
	es := sm.find(r.Session)
	if es.ended {
		sm.Fatalf("%s sent over session %s, which has ended", r.Message.Kind(), r.Session)
	}
	granted := false
	switch m := r.Message.(type) {
	case message.Offer:
		granted = m.Granted
		es.offered = true
	case message.Grant:
		granted = true
	case message.Refusal:
		sm.refused(es, m)
	}
	if !granted {
		return
	}
	es.granted = true
	sm.checkOrder(es, waiting)
}

func (sm *simulation) refused(es *entrySession, m message.Refusal) {
	es.ended = true
	if m.Ran != oriolebend.RanNo {
		return
	}
	if sm.runs[m.Attempt] > 0 {
		sm.Fatalf("attempt %v ran, but the gate reported that it did not", m.Attempt)
	}
	if es.granted {
		sm.neverRun[m.Attempt] = true
	}
}

// urgentWaiting returns the urgent reservations that wait.
func (sm *simulation) urgentWaiting() map[*reservation]bool {
	waiting := map[*reservation]bool{}
	for _, r := range sm.gate.queue.all() {
		if r.reserve.Urgency == oriolebend.Urgent {
			waiting[r] = true
		}
	}
	return waiting
}

// checkOrder checks that no patient reservation passes a waiting urgent one,
// unless a patient one is old enough. Decodes are exempt: a later one may be
// granted where it doesn't delay the first.
func (sm *simulation) checkOrder(es *entrySession, waiting map[*reservation]bool) {
	if es.reserve.Urgency == oriolebend.Urgent || sm.role == oriolebend.Decode {
		return
	}
	granted := sm.gate.attempts[es.reserve.Attempt]
	if granted == nil {
		return
	}
	oldest := granted.acceptedAt
	if sm.gate.queue.patient.length > 0 && sm.gate.queue.patient.oldest().Before(oldest) {
		oldest = sm.gate.queue.patient.oldest()
	}
	for r := range waiting {
		if r.stage == stageQueued && sm.now.Sub(oldest) < sm.gate.config.AgeAfter {
			sm.Fatalf("patient attempt %v passes urgent attempt %v", es.reserve.Attempt, r.reserve.Attempt)
		}
	}
}

// check checks the invariants that hold after every event.
func (sm *simulation) check() {
	g := sm.gate
	if g.usedTokens() > serverTokens || g.freeTokens() < 0 {
		sm.Fatalf("%d tokens used, %d tokens free", g.usedTokens(), g.freeTokens())
	}
	queued := 0
	for a, r := range g.attempts {
		if r.stage == stageQueued {
			queued++
		}
		sess := g.sessions[r.session]
		unowned := r.stage == stageCancelling || (r.stage == stageWorking && r.reserve.Once)
		if sess == nil && !unowned {
			sm.Fatalf("attempt %v is %s without a session", a, r.stage)
		}
		if sess != nil && g.leaseClock-sess.renewedAt >= g.config.Lease+maxLeaseTicks*g.config.TickEvery {
			sm.Fatalf("attempt %v outlives its lease", a)
		}
	}
	if queued != g.queue.length || queued != len(g.queue.all()) {
		sm.Fatalf("%d attempts queued, queue length is %d", queued, g.queue.length)
	}
	for _, es := range sm.sessions {
		if !es.ended && g.sessions[es.id] == nil {
			sm.Fatalf("session %s ended without an EndSession", es.id)
		}
	}
}

// settle stops all renewals and lets the server answer. Everything must be
// freed within the lease, two list periods and one cancellation retry.
func (sm *simulation) settle() {
	if sm.role == oriolebend.Service {
		for _, a := range sm.serverWork() {
			delete(sm.held, a)
			sm.apply(ServiceAnswered{At: sm.now, Answer: message.CallAnswer{Attempt: a}})
		}
	}
	within := sm.gate.config.Lease + 2*sm.gate.config.ListEvery + sm.gate.config.CancelRetry
	for range within/sm.gate.config.TickEvery + 2 {
		sm.advance(1)
		for len(sm.pendingCancels) > 0 {
			a := sm.pendingCancels[0]
			sm.pendingCancels = sm.pendingCancels[1:]
			delete(sm.held, a)
			sm.apply(Cancelled{At: sm.now, Attempt: a})
		}
		sm.list()
		sm.check()
	}
	sm.is.Equal(len(sm.gate.attempts), 0)
	sm.is.Equal(len(sm.gate.sessions), 0)
	sm.is.Equal(len(sm.held), 0)
}
