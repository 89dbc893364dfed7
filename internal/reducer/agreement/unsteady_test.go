package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// unsteadyGroup delivers messages late, in another order and twice, cuts links, restarts members, and
// makes members believe that their timeouts are too short or too long, or that an election is due.
type unsteadyGroup struct {
	*slowGroup
	random *rand.Rand
	// slow is set while all messages are late.
	slow bool
}

// oneIn returns true once in n draws on average.
func (g *unsteadyGroup) oneIn(n int) bool { return g.random.IntN(n) == 0 }

func (g *unsteadyGroup) tick() {
	g.now++
	for _, v := range g.vms {
		g.feed(v, Ticked{g.now})
		if !g.oneIn(3) {
			g.sync(v, len(v.pending))
		}
	}
	v := g.vms[g.random.IntN(len(g.vms))]
	switch {
	case !v.alive && g.oneIn(4):
		g.start(v)
	case g.oneIn(100):
		g.crash(v, g.random.IntN(3))
	case g.oneIn(30):
		v.state.pace.failedTerms = failedTermsToSlow
	case !v.state.inLease() && g.oneIn(4):
		v.state.electionDue = g.now
	case g.oneIn(60):
		g.cut[[2]string{v.name, g.vms[g.random.IntN(len(g.vms))].name}] = true
	case g.oneIn(60):
		clear(g.cut)
	}
	if g.oneIn(40) {
		g.slow = !g.slow
	}
	if leader := g.leader(); leader != nil {
		g.troubleLeader(leader)
	}
	g.delayNew()
	g.deliverDue()
}

// troubleLeader makes a leader believe that its timeouts are too long, or isolates it.
func (g *unsteadyGroup) troubleLeader(leader *vm) {
	switch {
	case g.oneIn(30):
		leader.state.pace.calmSince, leader.state.pace.oldestAck = 0, 0
	case g.oneIn(80):
		g.isolate(leader)
	}
}

// isolate cuts all links of a member.
func (g *unsteadyGroup) isolate(v *vm) {
	for _, other := range g.vms {
		g.cut[[2]string{v.name, other.name}] = true
		g.cut[[2]string{other.name, v.name}] = true
	}
}

// delayNew draws when the messages arrive that were sent since the last call.
func (g *unsteadyGroup) delayNew() {
	for _, w := range g.inFlight {
		for range 1 + g.random.IntN(6)/5 {
			delay := g.random.Uint64N(3)
			if g.slow {
				delay += 6
			}
			if g.oneIn(10) {
				delay += g.random.Uint64N(60)
			}
			g.sent = append(g.sent, delayed{w, g.now + delay})
		}
	}
	g.inFlight = nil
	slices.SortStableFunc(g.sent, func(a, b delayed) int { return int(a.arrives) - int(b.arrives) })
}

// Guards against two members that answer as leader at the same time, since one of them relies on a vote
// of the other, or on longer timeouts than those that its voters keep to.
func TestUnsteadyGroupHasOneLeader(t *testing.T) {
	const (
		groups = 200
		ticks  = 1500
	)
	terms, scales := uint64(0), map[uint64]int{}
	for seed := range uint64(groups) {
		names := []string{"a", "b", "c", "d", "e"}[:3+2*(seed%2)]
		g := &unsteadyGroup{
			slowGroup: &slowGroup{sim: newSim(names, len(names), smallConfig())},
			random:    rand.New(rand.NewPCG(seed, 1)),
		}
		g.exchangeStarts, g.outlives = seed%4 >= 2, true
		for range ticks {
			g.tick()
			if leader := g.leader(); leader != nil && leader.state.leads() {
				scales[leader.state.TimeoutScale()]++
			}
		}
		is.New(t).Equal(fmt.Sprint("seed ", seed, ": ", g.failure), fmt.Sprint("seed ", seed, ": "))
		terms += g.vms[0].state.Hard.Term
	}
	t.Logf("terms %d, ticks with a lease by factor %v", terms, scales)
}
