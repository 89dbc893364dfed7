package gate

import (
	"container/list"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// stage is the progress of a reservation.
type stage string

const (
	// stageQueued waits for capacity.
	stageQueued stage = "queued"
	// stageGranted holds capacity, and its work has not arrived yet.
	stageGranted stage = "granted"
	// stageArrived has received its decode before the capacity is actually
	// free.
	stageArrived stage = "arrived"
	// stageWorking has its work at the server.
	stageWorking stage = "working"
	// stagePrefilled has a result that the engine still holds.
	stagePrefilled stage = "prefilled"
	// stageCancelling has ended for its entry, and the server has not confirmed
	// the end yet.
	stageCancelling stage = "cancelling"
	// stageEnded holds nothing any more.
	stageEnded stage = "over"
)

// reservation is one attempt from its Reserve until its capacity is free again.
type reservation struct {
	// sequence numbers reservations by their arrival.
	sequence uint64
	session  SessionID
	reserve  message.Reserve
	stage    stage
	// tokens is the KV memory to hold, uncachedTokens the prompt tokens to
	// compute.
	tokens         int
	uncachedTokens int
	// cachedTokens is the length of the prompt's prefix that the engine has
	// cached.
	cachedTokens int
	// offerSent is true once an Offer informed the entry that the reservation
	// waits.
	offerSent bool
	// cost is what the organisation is charged, in tokens.
	cost float64
	// workTime is the predicted duration of the work itself.
	workTime time.Duration
	// acceptedAt is when the request was accepted, by this gate's clock.
	acceptedAt time.Time
	// deadlineAt is when the first token is due. It is zero without a deadline.
	deadlineAt time.Time
	// leadTime is the time from the grant until the capacity is needed.
	leadTime time.Duration
	// heldFrom is the time from which the capacity is held.
	heldFrom time.Time
	// pausedAtGrant is the value of State.paused at the time of the grant.
	pausedAtGrant time.Duration
	// decode waits for capacity until startBy. promisedAt is the time from
	// which the capacity was promised.
	decode  message.Decode
	startBy time.Time
	// transferBy is when the transfer of that decode is due.
	transferBy time.Time
	promisedAt time.Time
	// startedAt is when the work was sent to the server.
	startedAt time.Time
	// holdsSlot is true while a prefill occupies a slot.
	holdsSlot bool
	// expiresAt is when the gate counts a prefill result as dropped by the
	// engine.
	expiresAt time.Time
	// hasOutput is true once output arrived. lastOutputAt is when the latest
	// part arrived.
	hasOutput    bool
	lastOutputAt time.Time
	outputTokens int
	// cancelledAt is when the cancellation began, cancelSentAt when it was last
	// sent.
	cancelledAt, cancelSentAt time.Time
}

// session is the state of one session, with the reservation that it carries, if
// any.
type session struct {
	id          SessionID
	reservation *reservation
	// renewedAt is the lease clock at the last activity of the peer.
	renewedAt    time.Duration
	leaseElement *list.Element
}

// State is everything that a gate knows. Only Reduce changes it.
type State struct {
	config Config
	now    time.Time
	// started is the time of the first event.
	started time.Time
	// leaseClock is how long the gate has run, without the pauses of its
	// process.
	leaseClock time.Duration
	// paused is the total length of those pauses.
	paused time.Duration
	// urgentPeak is the decaying peak of the memory that urgent reservations
	// held.
	urgentPeak float64

	sessions map[SessionID]*session
	// leases holds the sessions in the order of their last renewal, the oldest
	// first.
	leases       *list.List
	attempts     map[message.Attempt]*reservation
	lastSequence uint64

	queue         queue
	arrived       []*reservation
	closed        closedAttempts
	statusQueries map[message.Attempt][]SessionID

	engine  engineState
	cache   cacheIndex
	memory  memory
	predict predictor
	limit   limit
	drain   drain

	effects []Effect
}

// engineState is what the gate knows of its server.
type engineState struct {
	known bool
	// lost is true while the engine does not answer.
	lost bool
	// workListed is true once the work list was read in this incarnation.
	workListed bool
	info       engine.Info
	// pendingLists holds when each unanswered ListWork was emitted. Answers
	// come in the same order. The first staleLists of them were requested
	// before the engine was reachable again, so their answers are ignored.
	pendingLists []time.Time
	staleLists   int
	// lastListAt is when the latest ListWork was emitted.
	lastListAt time.Time
}

// New returns the state of a gate that knows nothing of its server yet.
func New(c Config) *State {
	c = c.withDefaults()
	s := &State{
		config:        c,
		sessions:      map[SessionID]*session{},
		leases:        list.New(),
		attempts:      map[message.Attempt]*reservation{},
		queue:         newQueue(c),
		closed:        newClosedAttempts(c),
		statusQueries: map[message.Attempt][]SessionID{},
		cache:         newCacheIndex(c),
		predict:       newPredictor(c),
	}
	if c.Role == oriolebend.Service {
		s.engine.known = true
		s.engine.workListed = true
		s.engine.info.Role = oriolebend.Service
	}
	s.limit = s.initialLimit()
	return s
}

// initialLimit returns the initial adaptive limit for a server of this role.
func (s *State) initialLimit() limit {
	if s.engine.info.Role == oriolebend.Service {
		return newLimit(1, s.config.Concurrency)
	}
	return newLimit(minDecodes, s.config.DecodeSlots)
}

// ready reports whether the gate knows enough of its server to grant.
func (s *State) ready() bool {
	return s.engine.known && s.engine.workListed
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *State) count(what string, r oriolebend.Reason) {
	s.emit(Count{What: what, Reason: r})
}
