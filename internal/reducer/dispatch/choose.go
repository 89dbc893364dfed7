package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// startRate is the prompt tokens a millisecond that prefill engines are
	// assumed to read until some were measured.
	startRate = 50.0
	// otherDomain is what a server in another failure domain is set back by, in
	// requests in progress: a plain call there costs two round trips between
	// failure domains, less than waiting for half a request.
	otherDomain = 0.4
	// standsOut is how many times the usual share of failures a server may have
	// before others go first; failuresFree is allowed in any case.
	standsOut    = 2.0
	failuresFree = 0.15
	// slowOver is how many times the usual time a server may take before others
	// go first.
	slowOver = 2.5
)

// standing orders servers before load is looked at.
type standing int

const (
	standingGood    standing = iota
	standingDoubted          // it fails more, or is slower, than the others
	standingSilent           // it has not announced itself for a while
	standingAvoided          // it failed a moment ago
)

func (s *State) asked(e Asked) Effect {
	service := s.services[e.Need.Service]
	if service == nil {
		return Refused{Reason: oriolebend.ReasonUnknownService, RetryAfter: retryUnknown}
	}
	if !e.Need.Again && !e.Need.Waited {
		service.budget.request(e.At, s.config.RetryWindow)
	}
	if e.Need.Again && !s.mayRepeat(service, e.At) {
		return Refused{Reason: oriolebend.ReasonRetryBudget, RetryAfter: retryBudget}
	}
	grant, refused := s.place(e, service)
	if refused != nil {
		return *refused
	}
	if e.Need.Again {
		service.budget.repeat(e.At, s.config.RetryWindow)
	}
	s.take(grant)
	if grant.Prefill == nil && e.Need.Prompt > 0 {
		c := s.servers[grant.Server.Instance]
		c.readsUntil = e.At.Add(service.readTimeHere(e.Need.Prompt))
	}
	return Granted{Grant: grant}
}

// counted counts a request for which another process chooses the server.
func (s *State) counted(e Counted) Effect {
	service := s.services[e.Service]
	refused, closed := s.AllClosed(e.At, Need{Service: e.Service, Tried: e.Tried})
	switch {
	case service == nil:
		return Refused{Reason: oriolebend.ReasonUnknownService, RetryAfter: retryUnknown}
	case closed:
		return refused
	case !e.Again:
		service.budget.request(e.At, s.config.RetryWindow)
	case !s.mayRepeat(service, e.At):
		return Refused{Reason: oriolebend.ReasonRetryBudget, RetryAfter: retryBudget}
	default:
		service.budget.repeat(e.At, s.config.RetryWindow)
	}
	return Granted{}
}

// askedSame counts one more sending to the same server against the budget.
func (s *State) askedSame(e AskedSame) Effect {
	service := s.services[e.Grant.Need.Service]
	if s.resting(e.At, e.Grant.Server) {
		return Refused{Reason: oriolebend.ReasonServerRests, RetryAfter: retryUnknown}
	}
	if service == nil || !s.mayRepeat(service, e.At) {
		return Refused{Reason: oriolebend.ReasonRetryBudget, RetryAfter: retryBudget}
	}
	service.budget.repeat(e.At, s.config.RetryWindow)
	return Granted{Grant: e.Grant}
}

// leavingFor is for how long after its leaving became known requests that have a place
// at a server are still sent to it. Servers go on for two seconds or more once their
// leaving is acknowledged, and it is acknowledged when forwarders know of it.
const leavingFor = time.Second

// left reports whether a server that leaves since a time is sent nothing any more.
func left(at, leaving time.Time) bool { return !leaving.IsZero() && at.Sub(leaving) >= leavingFor }

// askedStill answers whether the server of a grant may still be sent its request.
//
// A prompt that waits in the queue of its prefill engine can outlast the time in which
// a leaving server serves on. Sent all the same, the request reaches a server that has
// ended, or that its operator believes to be free of work.
func (s *State) askedStill(e AskedStill) Effect {
	c := s.at(e.Grant.Server)
	if c == nil && s.hasGone(e.Grant.Server) || c != nil && left(e.At, c.leaving) {
		return Refused{Reason: oriolebend.ReasonLeaving, RetryAfter: retryUnknown}
	}
	kept := s.stated[e.Grant.Server.Start()]
	switch {
	case kept == nil:
	case left(e.At, kept.leaving):
		return Refused{Reason: oriolebend.ReasonLeaving, RetryAfter: retryUnknown}
	case e.At.Before(kept.restUntil):
		return Refused{Reason: oriolebend.ReasonServerRests, RetryAfter: kept.restUntil.Sub(e.At)}
	}
	return Granted{Grant: e.Grant}
}

// askedFresh answers whether a server of a place given elsewhere takes new work.
//
// A control VM that is cut off from others hears late which engines leave, and gives
// places there meanwhile; forwarders hear of it from those others. Used all the same,
// such a place costs the reading of a prompt, which is then thrown away, or a request
// whose engine ends under it.
//
// A server that was never heard of is another matter: whoever gave the place knows it, and
// this forwarder may have started a moment ago. One that was heard of and has gone is told
// as leaving, so that no more places are given there: taken for unknown, engines that had
// crashed were given to 660 requests within five seconds in which the core was cut, each
// of which came back with nothing learnt.
func (s *State) askedFresh(e AskedFresh) Effect {
	c := s.at(e.Server)
	if c == nil && s.hasGone(e.Server) || c != nil && !c.takesWork() {
		return Refused{Reason: oriolebend.ReasonLeaving, RetryAfter: retryUnknown}
	}
	if until, reason := s.closed(e.At, e.Server); reason != "" {
		return Refused{Reason: reason, RetryAfter: until.Sub(e.At)}
	}
	return Granted{}
}

// Times after which a refused caller may come back.
const (
	// retryUnknown is how long a server that starts takes to announce itself.
	retryUnknown = 500 * time.Millisecond
	// retryBudget lets a tenth of the window of the budget pass.
	retryBudget = time.Second
	// retryFull is about the time of one generation.
	retryFull = 300 * time.Millisecond
	// RetryLoaded is for a request that has waited for memory in vain, until it
	// was of no use to wait on: the engines are overloaded, and bursts last for
	// seconds.
	RetryLoaded = 2 * time.Second
)

// place chooses a server, or two for a generation that is split.
func (s *State) place(e Asked, service *service) (Grant, *Refused) {
	candidates := s.candidates(e)
	if len(candidates) == 0 {
		if refused, closed := s.AllClosed(e.At, e.Need); closed {
			return Grant{}, &refused
		}
		return Grant{}, &Refused{Reason: oriolebend.ReasonNoServer, RetryAfter: retryUnknown}
	}
	defer s.scratch.clear()
	if service.limits.Engine == nil || e.Need.Prompt == 0 {
		if !s.admitted(e, service) {
			refused := s.overloaded()
			return Grant{}, &refused
		}
		best := s.best(e.At, service, candidates)
		chosen := s.least(best, func(c *server) float64 { return s.plainLoad(c) })
		return Grant{Need: e.Need, Server: chosen.BackendServer}, nil
	}
	return s.placeGeneration(e, service, candidates)
}

// candidates are the servers that may take the request.
func (s *State) candidates(e Asked) []*server {
	s.scratch.candidates = s.collect(s.scratch.candidates, e, func(c *server) bool {
		return c.Role != oriolebend.Prefill && !slices.Contains(e.Need.Tried, c.Instance)
	})
	return s.scratch.candidates
}

// collect lists the servers of a service that take work from this forwarder and are wanted.
// The list begins with one that the seed has chosen: among equals the first is taken.
func (s *State) collect(list []*server, e Asked, wanted func(*server) bool) []*server {
	all, list := s.inOrder[e.Need.Service], list[:0]
	if len(all) == 0 {
		return list
	}
	first := s.random.IntN(len(all))
	for _, part := range [][]*server{all[first:], all[:first]} {
		for _, c := range part {
			if c.takesWork() && wanted(c) && s.open(e, c) {
				list = append(list, c)
			}
		}
	}
	return list
}

// open reports whether a server takes something from whoever asks.
func (s *State) open(e Asked, c *server) bool {
	_, reason := s.closed(e.At, c.BackendServer)
	return reason == "" && !slices.Contains(e.Need.Excluded, c.Instance)
}

// scratch holds the lists that a choice goes through. The process that gives places for
// a site makes thousands of choices a second in a peak, each among all its engines; made
// anew each time, the lists cost as much as the choice.
type scratch struct{ candidates, usable, fitting, readers []*server }

// clear keeps no server alive that has left.
func (c *scratch) clear() {
	for _, list := range [][]*server{c.candidates, c.usable, c.fitting, c.readers} {
		clear(list)
	}
}

// takesWork reports whether the server takes new work.
func (c *server) takesWork() bool { return c.Phase == message.PhaseReady && !c.Changing }

// best keeps the servers of the best standing.
func (s *State) best(at time.Time, service *service, list []*server) []*server {
	least := standingAvoided
	for _, c := range list {
		least = min(least, service.standing(at, c))
	}
	return slices.DeleteFunc(list, func(c *server) bool { return service.standing(at, c) > least })
}

// standing judges a server beside the others of its service. A share of
// failures or a time that all servers show is the service's own, and tells
// nothing about one of them.
func (v *service) standing(at time.Time, c *server) standing {
	switch {
	case at.Before(c.avoidUntil):
		return standingAvoided
	case c.Silent:
		return standingSilent
	case c.failures.or(0) > failuresFree+standsOut*v.failures.or(0):
		return standingDoubted
	case c.took.or(0) > slowOver*v.took.or(math.Inf(1)):
		return standingDoubted
	}
	return standingGood
}

// least returns the server with the lowest load; among equals the first, which
// the seed has chosen.
func (s *State) least(list []*server, load func(*server) float64) *server {
	chosen, lowest := list[0], math.Inf(1)
	for _, c := range list {
		if l := load(c); l < lowest {
			chosen, lowest = c, l
		}
	}
	return chosen
}

// plainLoad is the load of a server of plain calls, in requests in progress.
func (s *State) plainLoad(c *server) float64 {
	load := float64(c.busy)
	if c.FailureDomain != s.config.FailureDomain {
		load += otherDomain
	}
	return load
}

// take counts a grant as work in progress.
func (s *State) take(g Grant) {
	c := s.servers[g.Server.Instance]
	c.busy++
	c.held += g.Need.Memory()
	if g.Prefill == nil {
		return
	}
	p := s.servers[g.Prefill.Instance]
	p.busy++
	p.reading += g.Need.Prompt
}
