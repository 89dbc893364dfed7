package agreement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// TestLeaderSoonAfterAPowerLoss guards against a group that has no leader although a majority
// could elect one: after a power loss no request was answered for 0.9 s, a third of it for this
// reason. Five members restart over 0.4 s, and each waits for a lease that it may have granted.
// The first ones request pre-votes while the others still wait, and are refused; a refused member
// must ask again before a whole election timeout has passed.
//
// The time counts from when the third member may vote. A tick is 25 ms.
func TestLeaderSoonAfterAPowerLoss(t *testing.T) {
	is := is.New(t)
	var late []uint64
	for seed := range uint64(200) {
		starts, led := losePower(t, seed)
		late = append(late, led-starts[2]-DefaultElectionTicks)
	}
	slices.Sort(late)
	t.Logf("ticks until a leader leads: median %d, nine in ten %d, all %d", late[100], late[180], late[199])
	is.True(late[100] <= 2)
	is.True(late[180] <= 9)
}

// TestLeaderAtOnceWhenAllHaveRestarted guards against a group that has no leader for 0.3 s
// although every member is back, out of 0.5 s in which no request is answered. After all
// processes were killed, each member waits for a lease that it may have granted before it
// restarted, while the holder of the lease has restarted too. The members must find out that no
// lease can be in force.
//
// The time counts from when the last of the five has started, or is zero if a leader was elected
// before.
func TestLeaderAtOnceWhenAllHaveRestarted(t *testing.T) {
	is := is.New(t)
	var late []uint64
	for seed := range uint64(200) {
		starts, led := losePower(t, seed, withStarts)
		late = append(late, max(led, starts[4])-starts[4])
		is.True(led <= starts[2]+2*DefaultElectionTicks+9) // never later than without the exchange of starts
	}
	slices.Sort(late)
	t.Logf("ticks until a leader leads: median %d, nine in ten %d, all %d", late[100], late[180], late[199])
	is.True(late[100] <= 4)
	is.True(late[180] <= 4)
}

// losePower kills a group of five and restarts it over 0.4 s. It returns the sorted start times
// of the members, and when a leader led.
func losePower(t *testing.T, seed uint64, options ...func(*sim)) ([]uint64, uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	s := newSim([]string{"a", "b", "c", "d", "e"}, 5, Config{Seed: seed}, options...)
	s.run(60)
	for _, v := range s.vms {
		s.crash(v, 0)
	}
	began := s.now
	starts := make([]uint64, len(s.vms))
	for i := range starts {
		starts[i] = began + random.Uint64N(17)
	}
	for s.leader() == nil && s.now < began+200 {
		for i, v := range s.vms {
			if !v.alive && s.now >= starts[i] {
				s.start(v)
			}
		}
		s.run(1)
	}
	is.New(t).Equal(s.failure, "")
	slices.Sort(starts)
	return starts, s.now
}

// TestWaivedLeaseIsOfThisStartOnly guards against two leaders: a candidate relies on a start that
// a voter reported before its latest restart, while the voter has elected another leader in
// between and has forgotten it.
func TestWaivedLeaseIsOfThisStartOnly(t *testing.T) {
	is := is.New(t)
	s := newSim([]string{"a", "b", "c"}, 3, Config{}, withStarts)
	s.run(60)
	for _, v := range s.vms {
		s.crash(v, 0)
	}
	for _, v := range s.vms {
		s.start(v)
	}
	a, b := s.vm("a"), s.vm("b")
	earlier := b.state.Config.Start
	vote := message.Vote{
		Agreement: message.Agreement{Term: a.state.Hard.Term + 1, From: "a"},
		Starts:    map[string]uint64{"b": earlier}, LastIndex: a.state.Last(), LastTerm: a.state.log.lastTerm(),
	}
	s.crash(b, 0)
	s.start(b)
	term := b.state.Hard.Term
	s.feed(b, Received{s.now, vote})
	is.Equal(b.state.Hard.Term, term) // the vote request was ignored
	vote.Starts["b"] = b.state.Config.Start
	s.feed(b, Received{s.now, vote})
	is.Equal(b.state.Hard.Vote, "a")
}
