package agreement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// TestEarlierTermIsNotCommittedByCounting guards against an applied command that is replaced by
// another. A leader of term 3 copies an entry of term 1 to a quorum and commits it by counting
// alone; then a member whose log differs and ends with a higher term is elected.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	founders := []message.Member{{Name: "a", Voter: true}, {Name: "b", Voter: true}, {Name: "c", Voter: true}}
	s := New(Config{Name: "a", Founders: founders}, Restored{
		Hard: HardState{Term: 2},
		Entries: []message.LogEntry{
			{Index: 1, Term: 1, Type: message.EntryNone},
			{Index: 2, Term: 1, Type: message.EntryNone},
		},
	}, 0)
	from := func(term uint64) message.Agreement { return message.Agreement{Term: term, From: "b"} }
	Reduce(s, Ticked{100})
	Reduce(s, Received{100, message.VoteAnswer{Agreement: from(3), Pre: true, Granted: true}})
	Reduce(s, Persisted{100, 1})
	Reduce(s, Received{100, message.VoteAnswer{Agreement: from(3), Granted: true}})
	is.Equal(s.Role, Leader)
	is.Equal(s.Last(), uint64(3))
	Reduce(s, Persisted{100, 2})
	answer := message.AppendAnswer{Agreement: from(3), Accepted: true, Match: 2}
	Reduce(s, Received{101, answer})
	is.Equal(s.Commit, uint64(0)) // a quorum holds entry 2, of term 1
	answer.Match = 3
	Reduce(s, Received{101, answer})
	is.Equal(s.Commit, uint64(3)) // entry 3 is of term 3
}
