package agreement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Symptom: after a power loss of everything no request is answered for 0.9 s, a third of
// which the group spends without a leader although a majority could elect one. Sequence:
// the five members come back over 0.4 s, each waits for a lease that it may have granted;
// the first of them ask for votes while the others still wait, and are refused. Cause: who
// was refused asked again only after the time of an election.
//
// Counted is from when the third member may vote. A tick is 25 ms.
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

// Symptom: after all processes were killed no request is answered for 0.5 s, 0.3 s of which
// the group spends without a leader although every member is back. Sequence: each waits for a
// lease that it may have granted before it started; the holder of the lease has started anew
// itself. Cause: nobody asks whether a lease can run at all.
//
// Counted is from when the last of the five started, unless the others led before.
func TestLeaderAtOnceWhenAllHaveStartedAnew(t *testing.T) {
	is := is.New(t)
	var late []uint64
	for seed := range uint64(200) {
		starts, led := losePower(t, seed, tellingStarts)
		late = append(late, max(led, starts[4])-starts[4])
		is.True(led <= starts[2]+2*DefaultElectionTicks+9) // never later than without
	}
	slices.Sort(late)
	t.Logf("ticks until a leader leads: median %d, nine in ten %d, all %d", late[100], late[180], late[199])
	is.True(late[100] <= 4)
	is.True(late[180] <= 4)
}

// losePower kills a group of five, starts it over 0.4 s, and returns when each started, in
// order, and when a leader led.
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

// Guards against two leaders, as a candidate stands on what a voter told of an earlier start:
// between that and now the voter has elected another one, and has forgotten it.
func TestWaivedLeaseIsOfThisStartOnly(t *testing.T) {
	is := is.New(t)
	s := newSim([]string{"a", "b", "c"}, 3, Config{}, tellingStarts)
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
	is.Equal(b.state.Hard.Term, term) // as if it had not come
	vote.Starts["b"] = b.state.Config.Start
	s.feed(b, Received{s.now, vote})
	is.Equal(b.state.Hard.Vote, "a")
}
