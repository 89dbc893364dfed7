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

// State is the complete state of an entry. It is kept in memory only and
// changed by Reduce alone; it is not safe for use from several goroutines.
type State struct {
	config   Config
	rng      *rand.Rand
	route    policy.Policy[*server]
	now      time.Time
	timerSeq uint64
	stopping bool
	drained  bool

	requests map[string]*request
	// settling holds the requests whose settlement is unanswered, by record and
	// attempt: a caller's retry may own the same record before the settlement
	// of its first request is answered.
	settling map[message.Attempt]*request
	sessions map[SessionKey]*probe
	servers  map[string]*server
	pools    map[poolKey]*pool
	lanes    map[laneKey]*lane
	orgs     map[string]*organisation
	timers   timers
	// readyLanes are the lanes whose queues are to be checked for requests that
	// can start.
	readyLanes []*lane
	waiting    int
	// waitingBytes is the total size of the prompts of waiting requests.
	waitingBytes int

	effects    []Effect
	candidates []*server
}

// New returns the state of an entry that has no servers yet.
func New(c Config) *State {
	c = c.withDefaults()
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

// organisation is the entry's state for one organisation of callers.
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

// step is the stage that a request has reached.
type step string

const (
	stepClaiming step = "claiming" // the claim is unanswered
	stepWaiting  step = "waiting"  // the key is owned, no session is open, the request waits for its turn
	stepRouting  step = "routing"  // sessions are open or work is dispatched
	stepStarting step = "starting" // a call waits for its record to be running
	stepQuerying step = "asking"   // the outcome of a lost call is queried
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
	// claimed is when the entry's claim was answered, from which on the request waits for servers.
	claimed time.Time
	// accepted is true once the request must be answered and is no longer
	// refused. A patient request is accepted on admission, an urgent one when
	// in addition the offer of a gate was chosen for it.
	accepted bool
	// expectedLate is true once a gate reported that the first token would be
	// late: from then on reservations carry no deadline.
	expectedLate bool
	// record is the ID of the request's record, under which its work is
	// dispatched: the ID of the first request with the same key.
	record string
	// detached is true once no caller waits for the request: the last one left
	// or was refused.
	detached bool
	// queued is true while the request is in its lane's queue.
	queued bool
	// holdsSlot is true while the request counts towards its lane's limit.
	holdsSlot bool
	due       [alarmCount]time.Time

	// chosenVersion is the version of the model's weights that was chosen for a
	// request whose caller names none; empty until then.
	chosenVersion string

	// attempt is the number of the last attempt, firstAttempt the lowest number
	// that this ownership of the record may use, and decodeAttempt the last
	// number that a decode round used.
	attempt       uint32
	firstAttempt  uint32
	decodeAttempt uint32
	prefill       *round
	decode        *round
	standby       *round
	call          *round
	// result is the prefill's result while it can be fetched, until
	// resultExpires.
	result        *message.Prefilled
	resultExpires time.Time

	output output
	// lastProgress is when the current attempt last showed progress, and
	// lastOutput when the caller last got output.
	lastProgress time.Time
	lastOutput   time.Time
	// dispatched is true once any work was sent that may have run. callAttempt
	// is the attempt of the last call that was sent, and callServer its server.
	dispatched  bool
	callAttempt uint32
	callServer  string
	// tries counts the rounds and attempts that failed since the last progress.
	tries          int
	engineFailures int
	// serversLost counts the servers that were lost while they worked on the
	// request, since its last progress.
	serversLost int
	lastReason  oriolebend.Reason
	// needsRetryToken is true while a retry is not yet taken off the budgets.
	needsRetryToken bool

	// unstarted is the request's element in its lane's list of requests without
	// output.
	unstarted *list.Element

	outcome outcome
}

// outcome is the end of a request that is recorded and reported to its caller.
type outcome struct {
	settle *message.Settle
	since  time.Time
	tries  int
	// problem, finish or call is reported to the caller once the record is
	// settled, or when waiting for the record took too long.
	problem  *oriolebend.Problem
	finish   message.FinishReason
	call     *message.CallAnswer
	reported bool
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) count(name string, reason oriolebend.Reason, r *request) {
	s.emit(Count{
		Name: name, Reason: reason, Organisation: r.Scope.Organisation,
		Attempt: message.Attempt{RequestID: r.ID, Number: r.attempt},
	})
}

func (s *State) observe(name string, r *request, value float64) {
	s.emit(Observe{Name: name, Urgency: r.Urgency, Value: value})
}

// removeRequest removes a request from the state and closes its sessions.
func (s *State) removeRequest(r *request) {
	s.closeAll(r)
	s.leaveQueue(r)
	s.releaseSlot(r)
	delete(s.requests, r.ID)
	s.dropSettlement(r)
	s.dropLane(r.lane)
}
