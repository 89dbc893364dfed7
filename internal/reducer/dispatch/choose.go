package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/speed"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// defaultPrefillRate is the prompt tokens per millisecond that prefill engines are
	// assumed to process until enough prefills were measured.
	defaultPrefillRate = 50.0
	// otherDomainLoad is added to the load of a server in another failure domain, in
	// requests in progress. A plain request to another failure domain costs two round trips
	// between failure domains, less than waiting for half a request.
	otherDomainLoad = 0.4
	// failuresFactor is how many times the usual share of failures a server may have
	// before other servers are preferred; failuresAllowed is allowed in any case.
	failuresFactor  = 2.0
	failuresAllowed = 0.15
	// latencyFactor is how many times the usual latency a server may have before other
	// servers are preferred.
	latencyFactor = 2.5
)

// health ranks servers before their load is compared.
type health int

const (
	healthGood    health = iota
	healthSuspect        // it fails more often, or is slower, than the others
	healthSilent         // no announcement was received from it for a while
	healthAvoided        // it failed a moment ago
)

func (s *State) requestPlacement(e PlacementRequested) Effect {
	service := s.services[e.Need.Service]
	if service == nil {
		return Refused{Reason: oriolebend.ReasonUnknownService, RetryAfter: retryUnknown}
	}
	grant, refused := s.choose(e, service)
	if refused != nil {
		return *refused
	}
	s.addWork(grant)
	if grant.Prefill == nil && e.Need.Prompt > 0 {
		c := s.servers[grant.Server.Instance]
		c.prefillsUntil = e.At.Add(service.decodePrefillTime(c.writing.Factor(), e.Need.Prompt))
	}
	return Granted{Grant: grant}
}

// checkResend counts a further send to the same server against the retry budget.
func (s *State) checkResend(e ResendRequested) Effect {
	if s.inBackoff(e.At, e.Grant.Server) {
		return Refused{Reason: oriolebend.ReasonServerRests, RetryAfter: retryUnknown}
	}
	effect := s.requestRepeat(e.At, e.Grant.Need.Service)
	if _, granted := effect.(Granted); granted {
		return Granted{Grant: e.Grant}
	}
	return effect
}

// leavingGrace is for how long requests that have a placement at a server are still sent to
// it after it became known that the server is leaving. Servers keep serving for two seconds or
// more once their leaving is acknowledged, and it is acknowledged when forwarders know of it.
const leavingGrace = time.Second

// graceOver reports whether a server that is leaving since a time must not be sent any
// more requests.
func graceOver(at, leavingSince time.Time) bool {
	return !leavingSince.IsZero() && at.Sub(leavingSince) >= leavingGrace
}

// checkSend decides whether the request of a grant may still be sent to its server.
//
// A prompt can wait in the queue of its prefill engine for longer than a leaving server
// keeps serving. The request would then reach a server that has stopped, or that its
// operator believes to be idle.
func (s *State) checkSend(e SendRequested) Effect {
	c := s.grantedServer(e.Grant.Server)
	if c == nil && s.wasRemoved(e.Grant.Server) || c != nil && graceOver(e.At, c.leavingSince) {
		return Refused{Reason: oriolebend.ReasonLeaving, RetryAfter: retryUnknown}
	}
	if e.Grant.Need.Origin != nil && c != nil && c.exited(e.At) {
		return Refused{Reason: oriolebend.ReasonVersionGone, RetryAfter: retryVersionGone}
	}
	kept := s.reported[e.Grant.Server.Start()]
	switch {
	case kept == nil:
	case graceOver(e.At, kept.leavingSince):
		return Refused{Reason: oriolebend.ReasonLeaving, RetryAfter: retryUnknown}
	case e.At.Before(kept.backoffUntil):
		return Refused{Reason: oriolebend.ReasonServerRests, RetryAfter: kept.backoffUntil.Sub(e.At)}
	}
	return Granted{Grant: e.Grant}
}

// checkOffer decides whether the server of a placement that was granted elsewhere accepts
// new work.
//
// A control VM that is partitioned from the others learns late which engines are leaving, and
// meanwhile grants placements there; forwarders learn it from the other control VMs. Using
// such a placement costs a prefill whose result is thrown away, or a request whose engine
// exits while it runs.
//
// A server that was never listed here is accepted: the allocator knows it, and this forwarder
// may have started a moment ago. A server that was listed and then removed is reported as
// leaving, so that the allocator grants no more placements there. When removed servers were
// treated as unknown, 660 requests received placements at crashed engines during five seconds
// in which the core was partitioned, and the allocator learnt nothing from the placements
// that were returned.
func (s *State) checkOffer(e PlacementOffered) Effect {
	c := s.grantedServer(e.Server)
	if c == nil && s.wasRemoved(e.Server) || c != nil && !c.acceptsWork() {
		return Refused{Reason: oriolebend.ReasonLeaving, RetryAfter: retryUnknown}
	}
	if until, reason := s.unavailableUntil(e.At, e.Server); reason != "" {
		return Refused{Reason: reason, RetryAfter: until.Sub(e.At)}
	}
	return Granted{}
}

// Retry delays for callers whose request was refused.
const (
	// retryUnknown is how long a starting server takes to announce itself.
	retryUnknown = 500 * time.Millisecond
	// retryVersionGone is how long a server that has crashed takes to restart and to announce itself.
	retryVersionGone = 2 * time.Second
	// retryBudget is a tenth of the default window of the retry budget.
	retryBudget = time.Second
	// retryFull is about the time of one generation.
	retryFull = 300 * time.Millisecond
	// RetryLoaded is the retry delay for a request that waited for memory without success,
	// until further waiting was of no use: the engines are overloaded, and bursts last for
	// seconds.
	RetryLoaded = 2 * time.Second
)

// choose chooses a server, or two for a generation that is split.
func (s *State) choose(e PlacementRequested, service *service) (Grant, *Refused) {
	candidates := s.candidates(e)
	if len(candidates) == 0 {
		if refused, closed := s.AllUnavailable(e.At, e.Need); closed {
			return Grant{}, &refused
		}
		if e.Need.Origin != nil {
			refused := s.refuseVersionGone(e.Need)
			return Grant{}, &refused
		}
		return Grant{}, &Refused{Reason: oriolebend.ReasonNoServer, RetryAfter: retryUnknown}
	}
	defer s.scratch.clear()
	s.compareSpeeds(e.At, e.Need.Service, service)
	if service.limits.Engine == nil || e.Need.Prompt == 0 {
		if !s.admitted(e, service) {
			refused := s.refuseOverloaded()
			return Grant{}, &refused
		}
		healthiest := s.healthiest(e.At, service, candidates)
		load := s.plainLoad
		if service.speeds.answers.Uneven() {
			load = s.plainEnd
		}
		chosen := s.leastLoaded(healthiest, load)
		return Grant{Need: e.Need, Server: chosen.BackendServer}, nil
	}
	return s.chooseEngines(e, service, candidates)
}

// refuseVersionGone refuses a stream that no server can continue now. It names a retry delay only if
// the control VMs list a server of the version that is not leaving, such as one that has crashed:
// callers would otherwise come back for nothing.
func (s *State) refuseVersionGone(n Need) Refused {
	refused := Refused{Reason: oriolebend.ReasonVersionGone}
	for _, c := range s.inOrder[n.Service] {
		if n.Origin.Permits(c.BackendServer) && c.Phase == message.PhaseReady {
			refused.RetryAfter = retryVersionGone
		}
	}
	return refused
}

// candidates returns the servers to which the request may be sent.
func (s *State) candidates(e PlacementRequested) []*server {
	s.scratch.candidates = s.collect(s.scratch.candidates, e, func(c *server) bool {
		return c.Role != oriolebend.Prefill && !slices.Contains(e.Need.Tried, c.Instance) && c.continues(e.At, e.Need.Origin)
	})
	return s.scratch.candidates
}

// collect lists the servers of a service that are available to this forwarder and for which
// wanted returns true. The list starts at a random server: among servers of equal load the
// first is chosen.
func (s *State) collect(list []*server, e PlacementRequested, wanted func(*server) bool) []*server {
	all, list := s.inOrder[e.Need.Service], list[:0]
	if len(all) == 0 {
		return list
	}
	first := s.random.IntN(len(all))
	for _, part := range [][]*server{all[first:], all[:first]} {
		for _, c := range part {
			if c.acceptsWork() && wanted(c) && s.available(e, c) {
				list = append(list, c)
			}
		}
	}
	return list
}

// available reports whether a server accepts the request, by the state that the server has
// reported and the exclusions of the request.
func (s *State) available(e PlacementRequested, c *server) bool {
	_, reason := s.unavailableUntil(e.At, c.BackendServer)
	return reason == "" && !slices.Contains(e.Need.Excluded, c.Instance)
}

// scratch holds the lists that a choice uses. The allocator makes thousands of choices a
// second in a peak, each among all engines of a site; allocating the lists each time costs
// as much as the choice itself.
type scratch struct {
	candidates, usable, fitting, prefillEngines []*server
	speeds                                      []*speed.Server
}

// clear drops the pointers, so that no removed server is kept alive.
func (c *scratch) clear() {
	for _, list := range [][]*server{c.candidates, c.usable, c.fitting, c.prefillEngines} {
		clear(list)
	}
}

// acceptsWork reports whether the server accepts new work, as far as control VMs report it.
func (c *server) acceptsWork() bool { return c.Phase == message.PhaseReady && !c.Changing }

// healthiest keeps the servers with the best health in the list.
func (s *State) healthiest(at time.Time, service *service, list []*server) []*server {
	best := healthAvoided
	for _, c := range list {
		best = min(best, service.healthOf(at, c))
	}
	return slices.DeleteFunc(list, func(c *server) bool { return service.healthOf(at, c) > best })
}

// healthOf compares a server with the others of its service. A share of failures or
// a latency that all servers have is a property of the service, and says nothing
// about a single server. A server whose speed differs from the others for long is
// compared with its own speed: it is chosen less often, but it does not fail.
func (v *service) healthOf(at time.Time, c *server) health {
	switch {
	case at.Before(c.avoidUntil):
		return healthAvoided
	case c.Silent:
		return healthSilent
	case c.failures.valueOr(0) > failuresAllowed+failuresFactor*v.failures.valueOr(0):
		return healthSuspect
	case c.latency.valueOr(0) > latencyFactor*v.latency.valueOr(math.Inf(1)):
		if c.latency.value > latencyFactor*v.latency.value*c.answers.Factor() {
			return healthSuspect
		}
	case c.slowed:
		return healthSuspect
	}
	return healthGood
}

// leastLoaded returns the server with the lowest load; among servers of equal load the
// first one.
func (s *State) leastLoaded(list []*server, load func(*server) float64) *server {
	chosen, lowest := list[0], math.Inf(1)
	for _, c := range list {
		if l := load(c); l < lowest {
			chosen, lowest = c, l
		}
	}
	return chosen
}

// plainLoad is the load of a server of plain requests, in requests in progress.
func (s *State) plainLoad(c *server) float64 {
	load := float64(c.inProgress)
	if c.FailureDomain != s.config.FailureDomain {
		load += otherDomainLoad
	}
	return load
}

// plainEnd is when a further request would end at a server of plain requests that differ in speed,
// relative to the others.
//
// Other forwarders send to the same servers, and most have no request in progress at any. If all
// of them chose the fastest server, its queue would be the longest. The random part represents the
// requests of others. The least of several exponential times is distributed by their rates, so that
// servers without requests from here are chosen in proportion to their speeds.
func (s *State) plainEnd(c *server) float64 {
	return (s.plainLoad(c) + s.random.ExpFloat64()) * c.answers.Factor()
}

// addWork counts a grant as work in progress.
func (s *State) addWork(g Grant) {
	c := s.servers[g.Server.Instance]
	c.inProgress++
	c.heldMemory += g.Need.Memory()
	if g.Prefill == nil {
		return
	}
	p := s.servers[g.Prefill.Instance]
	p.inProgress++
	p.pendingPrompt += g.Need.Prompt
}
