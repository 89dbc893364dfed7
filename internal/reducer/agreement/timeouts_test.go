package agreement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Guards against a second leader within a lease that a member granted before its restart, with longer
// timeouts than the configured ones.
func TestRestartedMemberKeepsItsPromise(t *testing.T) {
	is := is.New(t)
	restored := Restored{Hard: HardState{Term: 3, Vote: "b", TimeoutScale: 4}}
	founders := []message.Member{{Name: "a", Voter: true}, {Name: "b", Voter: true}, {Name: "c", Voter: true}}
	s := New(Config{Name: "a", Group: "g", Founders: founders}, restored, 0)
	vote := message.Vote{Agreement: message.Agreement{Group: "g", Term: 4, From: "c"}}
	Reduce(s, Received{4*DefaultElectionTicks - 1, vote})
	is.Equal(s.Hard.Vote, "b")
	Reduce(s, Received{4 * DefaultElectionTicks, vote})
	is.Equal(s.Hard.Vote, "c")
}

// Guards against a leader that relies on a longer lease than a member of an earlier release grants, which
// knows only the configured timeouts.
func TestLeaseOfAnEarlierRelease(t *testing.T) {
	is := is.New(t)
	for _, stated := range []uint64{0, 1, 2, 4, 8} {
		g := newSim([]string{"a", "b", "c"}, 3, smallConfig())
		g.run(60)
		leader := g.leader()
		s := leader.state
		s.beginRound()
		s.changeTimeouts(4)
		round := s.lead.round
		answer := message.AppendAnswer{Accepted: true, Round: round}
		answer.Agreement = message.Agreement{Group: "g", Term: s.Hard.Term, From: s.lead.other(), TimeoutScale: stated}
		g.feed(leader, Received{g.now, answer})
		is.Equal(s.LeaseEnd(), round.Tick+DefaultLeaseTicks*min(max(1, stated), 4))
	}
}

// other returns the name of one of the other members.
func (l *leadership) other() string {
	for name := range l.progress {
		return name
	}
	return ""
}
