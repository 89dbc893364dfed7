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
	// FullFor is how long a server that refused for lack of memory is taken to be
	// full unless work ends there; zero means avoidFull. Whoever knows of all work
	// that ends there can wait for it.
	FullFor time.Duration
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
	config  Config
	random  *rand.Rand
	servers map[string]*server
	// inOrder lists the servers of each service by name. It is kept as servers come
	// and go, so that no request pays for sorting, or for the servers of others.
	inOrder  map[string][]*server
	services map[string]*service
	// stated is what starts of servers have said of themselves.
	stated map[message.ServerStart]*stated
	// gone holds the starts that were told of and have gone, and since when.
	gone map[message.ServerStart]time.Time
	// goneLooked is when gone was looked through last.
	goneLooked time.Time
	// forwarders is how many forwarders share the retry budget.
	forwarders int
	scratch    scratch
}

// service is what is known of one service.
type service struct {
	limits oriolebend.RouteService
	budget budget
	// failures and took are what its servers usually show; one that stands out
	// is avoided.
	failures average
	took     average
	// readRate is prompt tokens a millisecond on prefill engines while they read.
	readRate median
	// highRate is what one in ten prompts exceed, with the time that they wait.
	highRate quantile
	// sojourn is the usual time of plain answers, in seconds, as of answered.
	sojourn  median
	answered time.Time
	// load is what was done since it was told last.
	load message.ServiceLoad
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
	// readsUntil is until when it reads a prompt itself, beside its generations.
	readsUntil time.Time
	// failed counts failures in a row; until avoidUntil other servers go first.
	failed     int
	avoidUntil time.Time
	// leaving is since when it is known to take no new work, zero if it does.
	leaving time.Time
	// left is set once the server is no longer told of.
	left bool
	// fullUntil is until when the server is taken to have no room for fullFor
	// tokens. What ends there meanwhile adds to fullFor: the next try is worth its
	// round trip once enough has ended, and not before. refused is set if it had no
	// room at the last try.
	fullUntil time.Time
	fullFor   int
	refused   bool
	failures  average
	took      average
}

// New returns a state that knows no server.
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
		stated:     map[message.ServerStart]*stated{},
		gone:       map[message.ServerStart]time.Time{},
		forwarders: unknownForwarders,
	}
}

// unknownForwarders stands for the number of forwarders until a control VM tells it:
// more than a site of today has, so that the shared budget is not overdrawn.
const unknownForwarders = 32

// Reduce moves the state on. Asked, AskedSame, AskedFresh, AskedStill and Counted have
// exactly one effect, Noticed at most one, other events have none.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Fleet:
		s.fleet(e)
	case FleetChanged:
		s.fleetChanged(e)
	case Services:
		s.declared(e)
	case Asked:
		return []Effect{s.asked(e)}
	case AskedSame:
		return []Effect{s.askedSame(e)}
	case AskedStill:
		return []Effect{s.askedStill(e)}
	case AskedFresh:
		return []Effect{s.askedFresh(e)}
	case Noticed:
		return s.noticed(e)
	case Withheld:
		s.withheld(e)
	case LimitEnded:
		s.limitEnded(e)
	case Read:
		s.read(e)
	case Written:
		s.written(e)
	case Counted:
		return []Effect{s.counted(e)}
	case Judged:
		s.judge(e)
	case Ended:
		s.ended(e)
	case PromptRead:
		s.promptRead(e)
	}
	return nil
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
