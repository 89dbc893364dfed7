package gate

import (
	"container/list"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// stage is how far a reservation has come.
type stage string

const (
	// stageQueued waits for room.
	stageQueued stage = "queued"
	// stageGranted holds room; its work has not come yet.
	stageGranted stage = "granted"
	// stageArrived has its decode here before the room is really free.
	stageArrived stage = "arrived"
	// stageWorking has its work at the server.
	stageWorking stage = "working"
	// stagePrefilled has a result that the engine still holds.
	stagePrefilled stage = "prefilled"
	// stageCancelling is over for its entry; the server has not confirmed.
	stageCancelling stage = "cancelling"
	// stageOver holds nothing any more.
	stageOver stage = "over"
)

// reservation is one attempt from its Reserve until its room is free again.
type reservation struct {
	// order numbers reservations by their arrival.
	order   uint64
	session SessionID
	reserve message.Reserve
	stage   stage
	// tokens is the KV memory to hold, compute the uncached prompt tokens.
	tokens  int
	compute int
	// cached is how much of the prompt the engine held, in tokens.
	cached int
	// offered is true once the entry was told that it waits.
	offered bool
	// cost is what the organisation is charged for, in tokens.
	cost float64
	// took is the predicted time of the work itself.
	took time.Duration
	// acceptedAt is when the request was accepted, by this gate's clock.
	acceptedAt time.Time
	// deadlineAt is when the first token is due; zero if it isn't bound.
	deadlineAt time.Time
	// lead is the time from the grant until the room is needed.
	lead time.Duration
	// from is when on the room is held.
	from time.Time
	// paused is how long the gate had paused at the time of the grant.
	paused time.Duration
	// decode waits for room, until startBy; promisedAt is when it was due.
	decode  message.Decode
	startBy time.Time
	// endBy is when the transfer of that decode is due.
	endBy      time.Time
	promisedAt time.Time
	// startedAt is when the work went to the server.
	startedAt time.Time
	// computing is true while a prefill takes a slot.
	computing bool
	// expiresAt is when the engine drops a prefill result.
	expiresAt time.Time
	// firstPart is true once output came; lastPart is when the latest came.
	firstPart bool
	lastPart  time.Time
	output    int
	// cancelledAt is when the cancellation began, askedAt when it was asked
	// for last.
	cancelledAt, askedAt time.Time
}

// session is one session and the reservation that it carries, if any.
type session struct {
	id   SessionID
	held *reservation
	// heard is the awake time at which the peer was heard of last.
	heard   time.Duration
	element *list.Element
}

// State is all that a gate knows. It is changed by Reduce only.
type State struct {
	config Config
	now    time.Time
	// started is the time of the first event.
	started time.Time
	// awake is how long the gate has run, without pauses of its process.
	awake time.Duration
	// paused is how long those pauses were.
	paused time.Duration
	// urgentPeak is the most memory that urgent reservations held of late.
	urgentPeak float64

	sessions map[SessionID]*session
	// leases holds the sessions, the one heard of longest ago first.
	leases   *list.List
	attempts map[message.Attempt]*reservation
	orders   uint64

	queue   queue
	arrived []*reservation
	closed  closedMemory
	status  map[message.Attempt][]SessionID

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
	// listed is true once the work list was read in this incarnation.
	listed bool
	info   engine.Info
	// listsAsked holds when each ListWork went that wasn't answered; answers
	// come in the same order. The next listsStale of them were asked for
	// before the engine came back and are of no use.
	listsAsked []time.Time
	listsStale int
	// listAskedAt is when the latest ListWork went.
	listAskedAt time.Time
}

// New returns the state of a gate that knows nothing of its server yet.
func New(c Config) *State {
	c = c.filled()
	s := &State{
		config:   c,
		sessions: map[SessionID]*session{},
		leases:   list.New(),
		attempts: map[message.Attempt]*reservation{},
		queue:    newQueue(c),
		closed:   newClosedMemory(c),
		status:   map[message.Attempt][]SessionID{},
		cache:    newCacheIndex(c),
		predict:  newPredictor(c),
	}
	if c.Role == oriolebend.Service {
		s.engine.known = true
		s.engine.listed = true
		s.engine.info.Role = oriolebend.Service
	}
	s.limit = s.freshLimit()
	return s
}

// freshLimit is the adaptive limit for a server of this role.
func (s *State) freshLimit() limit {
	if s.engine.info.Role == oriolebend.Service {
		return newLimit(1, s.config.Concurrency)
	}
	return newLimit(leastDecodes, s.config.DecodeSlots)
}

// ready reports whether the gate knows enough of its server to grant.
func (s *State) ready() bool {
	return s.engine.known && s.engine.listed
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *State) count(what string, r oriolebend.Reason) {
	s.emit(Count{What: what, Reason: r})
}
