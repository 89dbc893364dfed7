package entry

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/internal/reducer/retry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// State is everything that an entry knows. It is in memory only and changed by
// Reduce alone; it is not safe for use from several goroutines.
type State struct {
	config   Config
	rng      *rand.Rand
	route    policy.Policy[*server]
	now      time.Time
	seq      uint64
	stopping bool
	drained  bool

	requests map[string]*request
	// settling finds the requests whose settlement is unanswered, by record and
	// attempt: a caller's retry may own the same record before the settlement
	// of its first request is answered.
	settling map[message.Attempt]*request
	sessions map[SessionKey]*probe
	servers  map[string]*server
	pools    map[poolKey]*pool
	lanes    map[laneKey]*lane
	orgs     map[string]*organisation
	timers   timers
	// readyLanes have waiting requests that may go on.
	readyLanes []*lane
	waiting    int
	// waitingBytes counts the prompts of waiting requests.
	waitingBytes int

	effects []Effect
	picked  []*server
}

// New returns the state of an entry that knows no server yet.
func New(c Config) *State {
	c = c.filled()
	return &State{
		config:   c,
		rng:      rand.New(rand.NewPCG(c.Seed, 0x6f72696f6c65)),
		route:    policy.New[*server](c.Route),
		requests: map[string]*request{},
		settling: map[message.Attempt]*request{},
		sessions: map[SessionKey]*probe{},
		servers:  map[string]*server{},
		pools:    map[poolKey]*pool{},
		lanes:    map[laneKey]*lane{},
		orgs:     map[string]*organisation{},
	}
}

// organisation is what the entry keeps for one organisation of callers.
type organisation struct {
	share  float64
	rate   limit.Rate
	budget *retry.Budget
}

func (s *State) organisation(name string) *organisation {
	if o := s.orgs[name]; o != nil {
		return o
	}
	c := s.config.Organisations[name]
	o := &organisation{
		share:  cmp.Or(c.Share, 1),
		rate:   limit.Rate{PerSecond: c.Rate, Burst: c.Burst},
		budget: retry.NewBudget(s.budgetConfig()),
	}
	s.orgs[name] = o
	return o
}

func (s *State) budgetConfig() retry.BudgetConfig {
	return retry.BudgetConfig{
		Share: s.config.RetryShare,
		Floor: s.config.RetryFloor,
		Burst: s.config.RetryBurst,
	}
}

// step is where a request stands.
type step string

const (
	stepClaiming step = "claiming" // the claim is unanswered
	stepWaiting  step = "waiting"  // owned, no session open, waits for its turn
	stepRouting  step = "routing"  // sessions are open or work is dispatched
	stepStarting step = "starting" // the record is to say running before a call
	stepAsking   step = "asking"   // the outcome of a lost call is asked for
	stepSettling step = "settling" // the outcome is known, the record is not settled
)

// request is one request from its arrival until its record is settled and its
// caller has the end of its answer.
type request struct {
	Request
	step    step
	lane    *lane
	org     *organisation
	arrived time.Time
	// accepted is true once the request is not refused any more, but answered:
	// for a patient one when it is admitted, for an urgent one when a gate took
	// it in besides.
	accepted bool
	// late is true once a gate said that the first token would be late: gates
	// are asked without a bound from then on.
	late bool
	// record is the ID of the request's record, under which its work is
	// dispatched: that of the first request under the key.
	record string
	// gone is true once the last caller left.
	gone bool
	// queued is true while the request waits in its lane's queue.
	queued bool
	// counted is true while the request takes a place of its lane's limit.
	counted bool
	due     [alarms]time.Time

	// attempt is the number of the last try; first is the lowest that this
	// ownership of the record may use, and decoded the last number that a
	// decode round used.
	attempt uint32
	first   uint32
	decoded uint32
	prefill *round
	decode  *round
	standby *round
	call    *round
	// result is the prefill's result while it lives, until expires.
	result  *message.Prefilled
	expires time.Time

	output output
	// heard is when the live attempt showed progress last, and lastOutput when
	// the caller got output last.
	heard      time.Time
	lastOutput time.Time
	// dispatched is true once any work was sent that may have run; sentCall is
	// the attempt of the last call that was, and calledAt its server.
	dispatched bool
	sentCall   uint32
	calledAt   string
	// tries counts rounds and attempts that failed since the last progress.
	tries          int
	engineFailures int
	// serversLost counts the servers that were lost while they worked on the request,
	// since its last progress.
	serversLost int
	lastReason  oriolebend.Reason
	// owesRetry is true while a retry is not yet taken off the budgets.
	owesRetry bool

	// unstarted is the request's place among those without output.
	unstarted *list.Element

	outcome outcome
}

// outcome is what is to be recorded and told.
type outcome struct {
	settle *message.Settle
	since  time.Time
	tries  int
	// problem, finish or call is what the caller is told once the record is
	// settled, or when waiting for it took too long.
	problem *oriolebend.Problem
	finish  message.FinishReason
	call    *message.CallAnswer
	told    bool
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) count(what string, reason oriolebend.Reason, r *request) {
	s.emit(Count{
		What: what, Reason: reason, Organisation: r.Scope.Organisation,
		Attempt: message.Attempt{RequestID: r.ID, Number: r.attempt},
	})
}

func (s *State) observe(what string, r *request, value float64) {
	s.emit(Observe{What: what, Urgency: r.Urgency, Value: value})
}

// forget drops a request that has nothing open.
func (s *State) forget(r *request) {
	s.closeAll(r)
	s.leaveQueue(r)
	s.releasePlace(r)
	delete(s.requests, r.ID)
	s.unsettle(r)
	s.dropLane(r.lane)
}
