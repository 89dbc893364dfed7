package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// placementEnd is when a generation ends.
type placementEnd struct {
	key Key
	at  time.Time
}

// fairSite has sixteen organisations, of which three are large, and engines that can handle
// two thirds of their combined load.
type fairSite struct {
	random *rand.Rand
	state  *State
	now    time.Time
	lastID uint64
	owner  map[Key]int
	ends   []placementEnd
	// requested and served count the requests of each organisation.
	requested [16]int
	served    [16]int
}

func newFairSite() *fairSite {
	s := &fairSite{
		random: rand.New(rand.NewPCG(1, 0)), state: New(1), now: scriptStart,
		owner: map[Key]int{},
	}
	var engines []message.BackendServer
	for i := range 12 {
		role := oriolebend.Decode
		if i < 3 {
			role = oriolebend.Prefill
		}
		engines = append(engines, message.BackendServer{Instance: fmt.Sprint("e", i), Service: "s", Phase: message.PhaseReady, Role: role})
	}
	limits := &oriolebend.EngineLimits{KVTokens: 27000}
	Reduce(s.state, Fleet{
		Services: dispatch.Services{Services: []oriolebend.RouteService{{Name: "s", Engine: limits}}},
		Servers:  dispatch.Fleet{Servers: engines, Forwarders: 1},
	})
	return s
}

// weight is the relative load of an organisation.
func weight(organisation int) int {
	if organisation < 3 {
		return 8
	}
	return 1
}

// request requests a placement for a random organisation, drawn by weight, with a prompt of any
// usual size.
func (s *fairSite) request() {
	organisation, draw := 0, s.random.IntN(3*8+13)
	for draw >= weight(organisation) {
		draw -= weight(organisation)
		organisation++
	}
	s.lastID++
	key := Key{Session: 1, ID: s.lastID}
	s.owner[key] = organisation
	s.requested[organisation]++
	s.apply(Reduce(s.state, Requested{
		At: s.now, Key: key, Need: dispatch.Need{Service: "s", Prompt: 1000 + s.random.IntN(4000), Output: 800},
		Call: s.lastID, InTime: s.now.Add(600 * time.Millisecond), Until: s.now.Add(2700 * time.Millisecond),
	}))
}

// apply counts the organisations that were served; a generation holds its memory for about three
// seconds.
func (s *fairSite) apply(list []Answer) {
	for _, a := range list {
		if a.Grant == nil {
			continue
		}
		s.served[s.owner[a.Key]]++
		held := time.Duration(2000+s.random.IntN(2000)) * time.Millisecond
		s.ends = append(s.ends, placementEnd{a.Key, s.now.Add(held)})
	}
}

// pass advances the time by a step and ends the generations that are due.
func (s *fairSite) pass(step time.Duration) {
	s.now = s.now.Add(step)
	all := s.ends
	s.ends = nil
	for _, end := range all {
		if end.at.After(s.now) {
			s.ends = append(s.ends, end)
			continue
		}
		Reduce(s.state, PrefillEnded{At: s.now, Key: end.key, Took: 100 * time.Millisecond})
		s.apply(Reduce(s.state, Ended{At: s.now, Key: end.key, Outcome: dispatch.OutcomeAnswered}))
	}
	s.apply(Reduce(s.state, Ticked{At: s.now}))
}

// TestNoOrganisationIsStarvedByOthers guards against a small organisation that is hardly served
// while large ones send most of the load. Memory is short for minutes, and three of sixteen
// organisations send two thirds of the load, each within its quota. In the queue, an organisation
// with more requests has more entries. Each request must have the same chance, whatever its
// organisation, so that each organisation is served as often as all together.
func TestNoOrganisationIsStarvedByOthers(t *testing.T) {
	is := is.New(t)
	s := newFairSite()
	for range 10 * 60 * 20 { // ten minutes, so that the result of small organisations is not random
		s.pass(50 * time.Millisecond)
		for range s.random.IntN(4) {
			s.request()
		}
	}
	requested, served := 0, 0
	for o := range s.requested {
		requested += s.requested[o]
		served += s.served[o]
	}
	all := float64(served) / float64(requested)
	is.True(all > 0.5 && all < 0.9) // there is a shortage
	for o := range s.requested {
		is.True(float64(s.served[o])/float64(s.requested[o]) >= 0.8*all)
	}
}
