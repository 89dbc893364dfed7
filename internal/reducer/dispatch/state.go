// Package dispatch is the reducer that decides, in a forwarder, to which backend
// server a routed request goes, whether it may be sent again, and when it is
// refused instead. It is pure: time comes in events, randomness from a seed.
package dispatch

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Config sets up a State.
type Config struct {
	FailureDomain string
	// Seed makes the choices of forwarders differ.
	Seed uint64
	// RetryShare and RetrySlack bound what all forwarders together may send beyond
	// the first sending of each request, to one service within RetryWindow:
	// RetryShare of the requests and RetrySlack besides. Zero means the
	// defaults.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Overcommit is how many times an engine's KV memory is granted; zero means
	// once. Above one the engine's own reservation is what decides.
	Overcommit float64
}

// Defaults of Config, for a site that states no budget of its own: one retry in
// five requests is the share at which a retry storm still dies out.
const (
	DefaultRetryShare  = 0.2
	DefaultRetrySlack  = 50
	DefaultRetryWindow = 10 * time.Second
)

// State is what a forwarder knows of the backend servers and of its own work at
// them. Only Reduce changes it.
type State struct {
	config   Config
	random   *rand.Rand
	servers  map[string]*server
	services map[string]*service
	// forwarders is how many forwarders share the retry budget.
	forwarders int
}

// service is what is known of one service.
type service struct {
	limits oriolebend.RouteService
	budget budget
	// failures and took are what its servers usually show; one that stands out
	// is avoided.
	failures average
	took     average
	// prefillRate is prompt tokens a millisecond on prefill engines.
	prefillRate average
	// bestRate is the highest of them of late.
	bestRate float64
	// load is what was done since it was told last.
	load message.ServiceLoad
	// heldElsewhere is the memory of places that another process gave.
	heldElsewhere int
}

// server is one backend server as this forwarder sees it.
type server struct {
	message.BackendServer
	// busy is how many requests of this forwarder it works on.
	busy int
	// reading is how many prompt tokens of this forwarder it has yet to read, and
	// held how many tokens of memory this forwarder's requests need there.
	reading int
	held    int
	// failed counts failures in a row; until avoidUntil other servers go first.
	failed     int
	avoidUntil time.Time
	// fullUntil is until when the server is taken to have no room for fullFor
	// tokens.
	fullUntil time.Time
	fullFor   int
	failures  average
	took      average
}

// New returns a state that knows no server.
func New(c Config) *State {
	c.RetryShare = cmp.Or(c.RetryShare, DefaultRetryShare)
	c.RetrySlack = cmp.Or(c.RetrySlack, DefaultRetrySlack)
	c.RetryWindow = cmp.Or(c.RetryWindow, DefaultRetryWindow)
	c.Overcommit = cmp.Or(c.Overcommit, 1)
	return &State{
		config:     c,
		random:     rand.New(rand.NewPCG(c.Seed, 0)),
		servers:    map[string]*server{},
		services:   map[string]*service{},
		forwarders: unknownForwarders,
	}
}

// unknownForwarders stands for the number of forwarders until a control VM tells it:
// more than a site of today has, so that the shared budget is not overdrawn.
const unknownForwarders = 32

// Event changes a State.
type Event interface{ isDispatchEvent() }

// Fleet replaces what is known of the backend servers.
type Fleet struct {
	Servers []message.BackendServer
	// Forwarders is how many forwarders there are; zero leaves the number as it was.
	Forwarders int
}

// Services replaces what is declared of the services.
type Services struct{ Services []oriolebend.RouteService }

// Need is what a request asks of a server.
type Need struct {
	Service string
	// Prompt and Output are the tokens of a generation; zero for other calls.
	Prompt, Output int
	// FirstWithin is the target for the first part of the answer, counted from
	// Arrived.
	FirstWithin time.Duration
	Arrived     time.Time
	// Tried are the instances that the request was sent to before.
	Tried []string
	// Again is set if this sending is beyond the request's first.
	Again bool
	// Late is set if the request has missed its target already.
	Late bool
	// Waited is set if the request has asked before and found no room.
	Waited bool
}

// Asked asks where to send a request.
type Asked struct {
	At   time.Time
	Need Need
}

// Counted counts a request for which another process chooses the server, so
// that repeats of it stay within this forwarder's part of the retry budget.
type Counted struct {
	At      time.Time
	Service string
	// Again is set for a sending beyond the first.
	Again bool
}

// ReadElsewhere tells of a prompt that was read at a place which another process
// gave.
type ReadElsewhere struct {
	Need Need
	Took time.Duration
}

// HeldElsewhere tells that a place which another process gave is in use, or has
// ended.
type HeldElsewhere struct {
	Need  Need
	Ended bool
}

// AskedSame asks whether a request may be sent once more to the server that has
// its place.
type AskedSame struct {
	At    time.Time
	Grant Grant
}

// Outcome is how a sending ended.
type Outcome string

const (
	// OutcomeAnswered is a whole answer of the server, whatever its status.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed is an answer that tells of a failure of the server.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused is an answer that the request was not run for lack of room.
	OutcomeRefused Outcome = "refused"
	// OutcomeFull is a reservation refused for lack of memory; nothing was sent.
	OutcomeFull Outcome = "full"
	// OutcomeBroken is no answer, half of one, or one that can't be believed.
	OutcomeBroken Outcome = "broken"
	// OutcomeMoved means that another instance has the server's address.
	OutcomeMoved Outcome = "moved"
	// OutcomeCancelled says nothing about the server.
	OutcomeCancelled Outcome = "cancelled"
)

// Ended reports how a sending ended. Each Granted is followed by one.
type Ended struct {
	At      time.Time
	Grant   Grant
	Outcome Outcome
	// Took is the time to the first part of the answer, zero if there is none.
	Took time.Duration
}

// PromptRead reports that the prefill engine of a grant is done with it, also if
// it was never asked.
type PromptRead struct {
	At    time.Time
	Grant Grant
	Took  time.Duration
	// Failed is set if the engine brought no result.
	Failed bool
	// Unused is set if it was not asked, or not waited for.
	Unused bool
}

func (Fleet) isDispatchEvent()         {}
func (Services) isDispatchEvent()      {}
func (Asked) isDispatchEvent()         {}
func (AskedSame) isDispatchEvent()     {}
func (Counted) isDispatchEvent()       {}
func (ReadElsewhere) isDispatchEvent() {}
func (HeldElsewhere) isDispatchEvent() {}
func (Ended) isDispatchEvent()         {}
func (PromptRead) isDispatchEvent()    {}

// Effect is what the caller of Reduce has to do.
type Effect interface{ isDispatchEffect() }

// Grant is a place at a server for one sending.
type Grant struct {
	Need   Need
	Server message.BackendServer
	// Prefill is the engine that reads the prompt before; nil if Server does.
	Prefill *message.BackendServer
	// Remote numbers a place that another process gave; zero means that it was
	// granted here.
	Remote uint64
}

// Granted asks to send the request.
type Granted struct{ Grant Grant }

// Refused asks to refuse the request; it was sent nowhere.
type Refused struct {
	Reason oriolebend.Reason
	// RetryAfter is when there is likely to be room.
	RetryAfter time.Duration
}

func (Granted) isDispatchEffect() {}
func (Refused) isDispatchEffect() {}

// Reduce moves the state on. Asked, AskedSame and Counted have exactly one
// effect, other events have none.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Fleet:
		s.fleet(e)
	case Services:
		s.declared(e)
	case Asked:
		return []Effect{s.asked(e)}
	case AskedSame:
		return []Effect{s.askedSame(e)}
	case ReadElsewhere:
		s.readElsewhere(e)
	case HeldElsewhere:
		s.heldElsewhere(e)
	case Counted:
		return []Effect{s.counted(e)}
	case Ended:
		s.ended(e)
	case PromptRead:
		s.promptRead(e)
	}
	return nil
}

func (s *State) fleet(e Fleet) {
	if e.Forwarders > 0 {
		s.forwarders = e.Forwarders
	}
	known := map[string]*server{}
	for _, told := range e.Servers {
		kept := s.servers[told.Instance]
		if kept == nil {
			kept = &server{}
		}
		if kept.Role != told.Role {
			kept.took = average{}
		}
		kept.BackendServer = told
		known[told.Instance] = kept
	}
	// A server that is no longer told of keeps its counts while work is there.
	for name, old := range s.servers {
		if known[name] == nil && old.busy > 0 {
			old.Phase = message.PhaseGone
			known[name] = old
		}
	}
	s.servers = known
}

func (s *State) declared(e Services) {
	services := map[string]*service{}
	for _, limits := range e.Services {
		kept := s.services[limits.Name]
		if kept == nil {
			kept = &service{}
		}
		kept.limits = limits
		services[limits.Name] = kept
	}
	s.services = services
}

// average is an exponentially weighted mean.
type average struct {
	value float64
	count int
}

// averageWeight gives the last ten or so values most of the weight.
const averageWeight = 0.15

func (a *average) add(value float64) {
	a.count++
	// The first values weigh as in a plain mean, so that the start is not
	// remembered for long.
	weight := max(averageWeight, 1/float64(a.count))
	a.value += weight * (value - a.value)
}

// or returns the mean, or a stand-in until there are a few values.
func (a *average) or(standIn float64) float64 {
	const enough = 3
	if a.count < enough {
		return standIn
	}
	return a.value
}
