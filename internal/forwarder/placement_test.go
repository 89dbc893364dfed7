package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// outdatedPlaces grants placements at the first of its engines that a request has not tried.
type outdatedPlaces struct {
	engines []message.BackendServer
	mutex   sync.Mutex
	ended   []dispatch.Outcome
	// within is how long each placement request could wait.
	within []time.Duration
}

func (o *outdatedPlaces) Place(_ context.Context, r PlacementRequest) (dispatch.Effect, bool) {
	o.mutex.Lock()
	o.within = append(o.within, r.Within)
	o.mutex.Unlock()
	for i, e := range o.engines {
		if !slices.Contains(r.Need.Tried, e.Instance) && !slices.Contains(r.Need.Excluded, e.Instance) {
			return dispatch.Granted{Grant: dispatch.Grant{Need: r.Need, Server: e, Remote: uint64(i) + 1}}, true
		}
	}
	return nil, false
}

func (o *outdatedPlaces) RegisterLocal(dispatch.Grant) uint64 { return 0 }
func (o *outdatedPlaces) PromptRead(dispatch.PrefillEnded)    {}

func (o *outdatedPlaces) Ended(e dispatch.Ended) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ended = append(o.ended, e.Outcome)
}

// Guards against prompts that are read for a decode engine that has left, 489 in one day. The control
// VMs are partitioned; engines report their leaving to one side, while the other side goes on
// granting placements there. Forwarders receive reports from both sides: they must release such
// placements before any prompt is read, and report the reason.
func TestPlacementAtALeavingEngineIsReleased(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	leaving, unknown, stays := &engine{}, &engine{}, &engine{}
	s.server("a", oriolebend.Decode, leaving.ServeHTTP)
	s.server("a", oriolebend.Decode, unknown.ServeHTTP)
	s.server("a", oriolebend.Decode, stays.ServeHTTP)
	places := &outdatedPlaces{engines: slices.Clone(s.servers)}
	s.forwarder.config.Places = places
	s.drain(0)
	s.forwarder.ChangeServers(registry.Changes{Left: []string{s.servers[1].Instance}}, 1)
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	is.Equal(leaving.seen(), "")
	is.Equal(unknown.seen(), "")
	is.Equal(stays.seen(), "POST /reservations; POST /cut/ reserved=h1")
	places.mutex.Lock()
	defer places.mutex.Unlock()
	is.Equal(places.ended[:2], []dispatch.Outcome{dispatch.OutcomeLeft, dispatch.OutcomeLeft})
}

// Guards against prompts that are read for engines that accept nothing from the forwarder. The
// control VM that grants placements does not know the state that engines report to forwarders, and
// grants a placement at an engine in its backoff period and at one that is at its limit. The
// forwarder lists with each placement request the engines that are closed to it, and releases a
// placement at an engine that has closed since.
func TestPlacementAtAnEngineThatAcceptsNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	backingOff, limited, stays := &engine{}, &engine{}, &engine{}
	for _, e := range []*engine{backingOff, limited, stays} {
		s.server("a", oriolebend.Decode, e.ServeHTTP)
	}
	places := &outdatedPlaces{engines: slices.Clone(s.servers)}
	s.forwarder.config.Places = places
	report := func(i int, n dispatch.Notice) {
		s.forwarder.reduce(dispatch.NoticeReceived{At: s.forwarder.now(), Server: s.servers[i], Notice: n})
	}
	report(1, dispatch.Notice{Limited: true, PerSecond: 0.1})
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK) // the state of the first engine is not known yet
	report(0, dispatch.Notice{Backoff: time.Minute})
	for range 2 {
		status, _ = s.generation("/cut/")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(backingOff.seen(), "POST /reservations; POST /cut/ reserved=h1")
	is.Equal(limited.seen(), "") // the leader has no permission for it yet
	is.Equal(stays.seen(), "POST /reservations; POST /cut/ reserved=h1; POST /reservations; POST /cut/ reserved=h1")
	places.mutex.Lock()
	defer places.mutex.Unlock()
	is.Equal(places.ended, []dispatch.Outcome{
		dispatch.OutcomeAnswered, dispatch.OutcomeWithheld, dispatch.OutcomeAnswered, dispatch.OutcomeAnswered,
	})
}

// Guards against placements that are rejected in the second after a restart of the whole site. The
// leader already knows an engine that the forwarder has not learned of yet. If the forwarder took
// an unknown engine for one that has left, each request would ask for a placement four times and
// then be placed by the forwarder itself, which knows a quarter of the engines.
func TestPlacementAtAnUnknownEngineIsAccepted(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	unknown := &engine{}
	s.server("a", oriolebend.Decode, unknown.ServeHTTP)
	s.forwarder.config.Places = &outdatedPlaces{engines: slices.Clone(s.servers)}
	s.forwarder.state = dispatch.New(dispatch.Config{FailureDomain: "a", Seed: 1, RetrySlack: 1000}) // as after a start
	s.forwarder.reduce(dispatch.Services{Services: s.forwarder.table.Load().Routing.Services})
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	is.Equal(unknown.seen(), "POST /reservations; POST /cut/ reserved=h1")
}

// Guards against requests with long prompts that are granted a placement after two thirds of their
// target, miss it all the same, and occupy memory that others need. In a peak requests queue for
// placements; a prompt of 11,000 tokens takes 220 ms to read, a usual one 100. One bound for all
// prompts is too late for the long ones.
func TestPlacementIsNeededEarlierForALongPrompt(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 100_000)
	by := func(prompt int, age time.Duration) time.Duration {
		w := &work{
			f: s.forwarder, info: RequestInfo{Prompt: prompt}, service: &oriolebend.RouteService{Name: "s"},
			route: &oriolebend.Route{AnswerWithin: oriolebend.Duration(900 * time.Millisecond)},
		}
		return w.placementSlack(age)
	}
	is.Equal(by(2_000, 0), 758*time.Millisecond)
	is.Equal(by(5_000, 0), 680*time.Millisecond)
	is.Equal(by(11_000, 0), 524*time.Millisecond)
	is.Equal(by(5_000, 700*time.Millisecond), -20*time.Millisecond) // late already
}
