// Package dispatch is the reducer that decides, in a forwarder, to which backend
// server a routed request is sent, whether it may be retried, and when it is
// refused instead. Package placement runs it too, in the allocator: the process that
// grants placements at model engines to all forwarders. The reducer is pure: time
// comes in events, randomness from a seed.
package dispatch

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/peak"
	"github.com/oriolebend/oriolebend/internal/reducer/speed"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Config configures a State.
type Config struct {
	FailureDomain string
	// Seed makes the random choices of forwarders differ.
	Seed uint64
	// RetryShare and RetrySlack limit the retries that all forwarders together may
	// send to one service within RetryWindow: RetryShare times the number of requests,
	// plus RetrySlack. Zero selects the defaults.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Started is when the process started. Within RetryWindow after it, this forwarder has no part
	// of RetrySlack; zero means that it has run for longer.
	Started time.Time
	// FullFor is how long a server that refused for lack of memory counts as full
	// unless work ends there; zero selects avoidFull. A process that knows all work
	// ending at the server can use a longer time.
	FullFor time.Duration
	// Overcommit is the factor by which an engine's KV memory is granted; zero selects
	// one. Above one, the engine's own reservation decides.
	Overcommit float64
	// IgnoreSpeeds makes no difference between fast and slow servers.
	IgnoreSpeeds bool
}

// Defaults of Config for a site that sets no retry budget. One retry in five requests
// is the share at which a retry storm still dies out.
const (
	DefaultRetryShare  = 0.2
	DefaultRetrySlack  = 50
	DefaultRetryWindow = 10 * time.Second
)

// State holds what a forwarder knows about the backend servers and about its own
// work on them. Only Reduce changes it.
type State struct {
	config  Config
	random  *rand.Rand
	servers map[string]*server
	// inOrder lists the servers of each service, sorted by instance. It is updated when
	// servers are added or removed, so that no request pays for sorting or for
	// scanning the servers of other services.
	inOrder  map[string][]*server
	services map[string]*service
	// reported is the state that each incarnation of a server has reported.
	reported map[message.ServerStart]*reportedState
	// removed maps each known incarnation that was removed to the time of its removal.
	removed map[message.ServerStart]time.Time
	// removedPruned is when removed was last pruned.
	removedPruned time.Time
	// forwarders is how many forwarders share the retry budget, as control VMs reported.
	forwarders peak.Peak[int]
	scratch    scratch
}

// service is what is known about one service.
type service struct {
	limits oriolebend.RouteService
	budget budget
	// failures and latency are the averages over all servers of the service. A server
	// that is clearly worse is avoided.
	failures average
	latency  average
	// prefillRate is the prompt tokens per millisecond of a prefill engine, without
	// the time that prompts wait in its queue.
	prefillRate median
	// highRate is the prefill rate, including the time in the queue, that one in ten
	// prompts exceeds.
	highRate quantile
	// sojourn is the usual time to the answer of a plain request in seconds, as of lastAnswer.
	sojourn    median
	lastAnswer time.Time
	// answeredIn is when a server of each failure domain last answered.
	answeredIn map[string]time.Time
	speeds     serviceSpeeds
	// load is the work done since the last call of Loads.
	load message.ServiceLoad
}

// server is one backend server as this forwarder sees it.
type server struct {
	message.BackendServer
	// inProgress is how many requests of this forwarder the server works on.
	inProgress int
	// pendingPrompt is how many prompt tokens of this forwarder the server has yet to
	// prefill, and heldMemory how many tokens of memory this forwarder's requests need
	// there.
	pendingPrompt int
	heldMemory    int
	// weight is speedWeight of the engine's factor, and slowed is set while it is much slower than its
	// own factor. They are kept here because each choice reads them for each engine.
	weight float64
	slowed bool
	// prefillsUntil is when a decode engine finishes prefilling a prompt itself, between the
	// tokens of its generations.
	prefillsUntil time.Time
	// failedInRow counts consecutive failures. Until avoidUntil other servers are preferred.
	failedInRow int
	avoidUntil  time.Time
	// leavingSince is when the server was first known to accept no new work, zero if it
	// accepts new work.
	leavingSince time.Time
	// exitedUntil is until when the process counts as exited, unless a later start is announced.
	exitedUntil time.Time
	// removed is set once the server is no longer in the list of servers.
	removed bool
	// fullUntil is until when the server counts as having no room for fullAt tokens or
	// more. Work that ends there in the meantime adds its memory to fullAt, so that the
	// next attempt is made only once enough memory has been freed to be worth a round trip.
	// refusedLast is set if the server had no room at the last attempt.
	fullUntil   time.Time
	fullAt      int
	refusedLast bool
	failures    average
	latency     average
	// serverSpeeds is allocated separately: a choice reads each server, but not these.
	*serverSpeeds
}

// New returns a state without any server.
func New(c Config) *State {
	c.RetryShare = cmp.Or(c.RetryShare, DefaultRetryShare)
	c.RetrySlack = cmp.Or(c.RetrySlack, DefaultRetrySlack)
	c.RetryWindow = cmp.Or(c.RetryWindow, DefaultRetryWindow)
	c.Overcommit = cmp.Or(c.Overcommit, 1)
	c.FullFor = cmp.Or(c.FullFor, avoidFull)
	return &State{
		config:     c,
		random:     rand.New(rand.NewPCG(c.Seed, 0)),
		servers:    map[string]*server{},
		inOrder:    map[string][]*server{},
		services:   map[string]*service{},
		reported:   map[message.ServerStart]*reportedState{},
		removed:    map[message.ServerStart]time.Time{},
		forwarders: peak.Peak[int]{Period: message.ForwardersPeriod},
	}
}

// Reduce applies an event to the state. PlacementRequested, ResendRequested, SendRequested,
// PlacementOffered, RepeatRequested and PromptRequested have exactly one effect, NoticeReceived at most one, other
// events have none.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Fleet:
		s.replaceServers(e)
	case FleetChanged:
		s.applyServerChanges(e)
	case Services:
		s.replaceServices(e)
	case PlacementRequested:
		return []Effect{s.requestPlacement(e)}
	case ResendRequested:
		return []Effect{s.checkResend(e)}
	case ServerExited:
		s.recordExit(e)
	case SendRequested:
		return []Effect{s.checkSend(e)}
	case PlacementOffered:
		return []Effect{s.checkOffer(e)}
	case NoticeReceived:
		return s.applyNotice(e)
	case PermissionRefused:
		s.delayPermission(e)
	case LimitEnded:
		s.clearLimit(e)
	case PrefillMeasured:
		s.countPrefill(e)
	case GenerationMeasured:
		s.countGeneration(e)
	case SpeedsReported:
		s.mergeSpeeds(e)
	case RequestCounted:
		s.countRequest(e)
	case RepeatRequested:
		return []Effect{s.requestRepeat(e.At, e.Service)}
	case RepeatWithdrawn:
		s.withdrawRepeat(e)
	case PromptRequested:
		return []Effect{s.requestPrompt(e)}
	case PromptRejected:
		s.countRejectedPrompt(e)
	case OutcomeObserved:
		s.applyOutcome(e)
	case Ended:
		s.releasePlacement(e)
	case PrefillEnded:
		s.releasePrefill(e)
	}
	return nil
}

func (s *State) replaceServices(e Services) {
	services := map[string]*service{}
	for _, limits := range e.Services {
		kept := s.services[limits.Name]
		if kept == nil {
			kept = &service{speeds: serviceSpeeds{answers: speed.Service{Independent: true}}, answeredIn: map[string]time.Time{}}
		}
		kept.limits = limits
		services[limits.Name] = kept
	}
	s.services = services
}
