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

// placeEnd is when a generation ends.
type placeEnd struct {
	key Key
	at  time.Time
}

// fairSite is sixteen organisations, of which three are large, before engines that can carry
// two thirds of what they ask for together.
type fairSite struct {
	random *rand.Rand
	state  *State
	now    time.Time
	keys   uint64
	owner  map[Key]int
	ends   []placeEnd
	asked  [16]int
	served [16]int
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

// weight is how much of the work an organisation asks for.
func weight(organisation int) int {
	if organisation < 3 {
		return 8
	}
	return 1
}

// ask asks for an organisation, drawn by weight, with a prompt of any usual size.
func (s *fairSite) ask() {
	organisation, draw := 0, s.random.IntN(3*8+13)
	for draw >= weight(organisation) {
		draw -= weight(organisation)
		organisation++
	}
	s.keys++
	key := Key{Session: 1, ID: s.keys}
	s.owner[key] = organisation
	s.asked[organisation]++
	s.answers(Reduce(s.state, Asked{
		At: s.now, Key: key, Need: dispatch.Need{Service: "s", Prompt: 1000 + s.random.IntN(4000), Output: 800},
		Call: s.keys, InTime: s.now.Add(600 * time.Millisecond), Until: s.now.Add(2700 * time.Millisecond),
	}))
}

// answers notes who was served; a generation holds its memory for some three seconds.
func (s *fairSite) answers(list []Answer) {
	for _, a := range list {
		if a.Grant == nil {
			continue
		}
		s.served[s.owner[a.Key]]++
		held := time.Duration(2000+s.random.IntN(2000)) * time.Millisecond
		s.ends = append(s.ends, placeEnd{a.Key, s.now.Add(held)})
	}
}

// pass passes a time step, in which generations end.
func (s *fairSite) pass(step time.Duration) {
	s.now = s.now.Add(step)
	all := s.ends
	s.ends = nil
	for _, end := range all {
		if end.at.After(s.now) {
			s.ends = append(s.ends, end)
			continue
		}
		Reduce(s.state, PromptRead{At: s.now, Key: end.key, Took: 100 * time.Millisecond})
		s.answers(Reduce(s.state, Ended{At: s.now, Key: end.key, Outcome: dispatch.OutcomeAnswered}))
	}
	s.answers(Reduce(s.state, Ticked{At: s.now}))
}

// Symptom: a small organisation is hardly served while a large one asks for most of what there
// is. Sequence: memory is short for minutes; three of sixteen organisations ask for two thirds
// of the work, each within its quota. Cause: a queue in which who asks most stands most often.
// Each request has the same chance here, whoever asks, so that each organisation is served as
// often as all.
func TestNoOrganisationIsStarvedByOthers(t *testing.T) {
	is := is.New(t)
	s := newFairSite()
	for range 10 * 60 * 20 { // ten minutes, so that chance does not decide for the small ones
		s.pass(50 * time.Millisecond)
		for range s.random.IntN(4) {
			s.ask()
		}
	}
	asked, served := 0, 0
	for o := range s.asked {
		asked += s.asked[o]
		served += s.served[o]
	}
	all := float64(served) / float64(asked)
	is.True(all > 0.5 && all < 0.9) // there is a shortage
	for o := range s.asked {
		is.True(float64(s.served[o])/float64(s.asked[o]) >= 0.8*all)
	}
}
