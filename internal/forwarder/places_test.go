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

// outdated gives places at the first of its engines that a request has not tried.
type outdated struct {
	engines []message.BackendServer
	mutex   sync.Mutex
	ended   []dispatch.Outcome
}

func (o *outdated) Place(_ context.Context, r PlaceRequest) (dispatch.Effect, bool) {
	for i, e := range o.engines {
		if !slices.Contains(r.Need.Tried, e.Instance) && !slices.Contains(r.Need.Excluded, e.Instance) {
			return dispatch.Granted{Grant: dispatch.Grant{Need: r.Need, Server: e, Remote: uint64(i) + 1}}, true
		}
	}
	return nil, false
}

func (o *outdated) Found(dispatch.Grant) uint64      { return 0 }
func (o *outdated) PromptRead(dispatch.PrefillEnded) {}

func (o *outdated) Ended(e dispatch.Ended) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ended = append(o.ended, e.Outcome)
}

// Symptom: 489 prompts of a day are read and thrown away, as "server left while the
// prompt was read". Sequence: control VMs are cut off from each other; engines tell one
// side that they leave; the other side goes on giving places there. Cause: forwarders,
// who hear both sides, used such a place all the same. They return it before anything is
// read, and tell why.
func TestPlaceAtALeavingEngineIsReturned(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	leaving, unknown, stays := &engine{}, &engine{}, &engine{}
	s.server("a", oriolebend.Decode, leaving.ServeHTTP)
	s.server("a", oriolebend.Decode, unknown.ServeHTTP)
	s.server("a", oriolebend.Decode, stays.ServeHTTP)
	places := &outdated{engines: slices.Clone(s.servers)}
	s.forwarder.config.Places = places
	s.leaves(0)
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

// Symptom: prompts are read for engines that take nothing from the forwarder. Sequence: the
// control VM that gives places does not know what engines say to forwarders; it gives the place
// at an engine that rests, and at one that is at its limit. Cause: what is known to who sends and
// not to who chooses. The forwarder says with each question which engines are closed to it, and
// returns a place at one that has closed since.
func TestPlaceAtAnEngineThatTakesNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	rests, limited, stays := &engine{}, &engine{}, &engine{}
	for _, e := range []*engine{rests, limited, stays} {
		s.server("a", oriolebend.Decode, e.ServeHTTP)
	}
	places := &outdated{engines: slices.Clone(s.servers)}
	s.forwarder.config.Places = places
	said := func(i int, n dispatch.Notice) {
		s.forwarder.reduce(dispatch.NoticeReceived{At: s.forwarder.now(), Server: s.servers[i], Notice: n})
	}
	said(1, dispatch.Notice{Limited: true, PerSecond: 0.1})
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK) // nothing is known of the first one yet
	said(0, dispatch.Notice{Backoff: time.Minute})
	for range 2 {
		status, _ = s.generation("/cut/")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(rests.seen(), "POST /reservations; POST /cut/ reserved=h1")
	is.Equal(limited.seen(), "") // the leader has no permission for it yet
	is.Equal(stays.seen(), "POST /reservations; POST /cut/ reserved=h1; POST /reservations; POST /cut/ reserved=h1")
	places.mutex.Lock()
	defer places.mutex.Unlock()
	is.Equal(places.ended, []dispatch.Outcome{
		dispatch.OutcomeAnswered, dispatch.OutcomeWithheld, dispatch.OutcomeAnswered, dispatch.OutcomeAnswered,
	})
}

// Symptom: in the second after a restart of everything each request asks for a place four
// times, and is then placed by a forwarder that knows a quarter of the engines. Sequence:
// the leader has heard of an engine, the forwarder has not yet. Cause: an engine that was
// never heard of is taken for one that has gone.
func TestPlaceAtAnUnknownEngineIsTaken(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	unknown := &engine{}
	s.server("a", oriolebend.Decode, unknown.ServeHTTP)
	s.forwarder.config.Places = &outdated{engines: slices.Clone(s.servers)}
	s.forwarder.state = dispatch.New(dispatch.Config{FailureDomain: "a", Seed: 1, RetrySlack: 1000}) // as after a start
	s.forwarder.reduce(dispatch.Services{Services: s.forwarder.table.Load().Routing.Services})
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	is.Equal(unknown.seen(), "POST /reservations; POST /cut/ reserved=h1")
}

// Symptom: of the requests that are given a place after two thirds of their target,
// those with long prompts are late all the same, and take the place of others. Sequence:
// a queue for places in a peak; a prompt of 11,000 tokens takes 220 ms to read where the
// usual one takes 100. Cause: one bound for all prompts.
func TestPlaceIsNeededEarlierForALongPrompt(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 100_000)
	by := func(prompt int, age time.Duration) time.Duration {
		w := &work{
			f: s.forwarder, ask: Ask{Prompt: prompt}, service: &oriolebend.RouteService{Name: "s"},
			route: &oriolebend.Route{AnswerWithin: oriolebend.Duration(900 * time.Millisecond)},
		}
		return w.placedBy(age)
	}
	is.Equal(by(2_000, 0), 758*time.Millisecond)
	is.Equal(by(5_000, 0), 680*time.Millisecond)
	is.Equal(by(11_000, 0), 524*time.Millisecond)
	is.Equal(by(5_000, 700*time.Millisecond), -20*time.Millisecond) // late already
}
