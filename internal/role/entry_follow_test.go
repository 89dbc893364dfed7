package role

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// awayRecords are records that can't be read: no control VM leads.
type awayRecords struct{ Records }

func (awayRecords) Query(context.Context, message.Query) (message.ClaimAnswer, error) {
	return message.ClaimAnswer{}, &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Detail: "notLeader",
	}
}

// Symptom: a caller is told that its call did not run, and it ran. Sequence: the entry
// that runs the call dies; the caller sends it again to another entry, which learns who
// claimed it and follows; its owner is gone, and no control VM leads at that moment, so
// that the record can't be read. Cause: "not run" of the reading told as that of the
// call.
func TestRecordThatCannotBeReadTellsNothing(t *testing.T) {
	is := is.New(t)
	e := &Entry{config: EntryConfig{Records: awayRecords{}}, answers: map[string]*answerLog{}}
	var told []caller.Chunk
	e.follow(t.Context(), followedRequest{organisation: "o", requestID: "r"}, func(c caller.Chunk) { told = append(told, c) })
	is.Equal(len(told), 1)
	is.Equal(told[0].Problem.Reason, oriolebend.ReasonControlAway)
	is.Equal(told[0].Problem.Ran, oriolebend.RanUnknown)
}
