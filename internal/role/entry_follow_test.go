package role

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// unreachableRecords are records that can't be read, because no control VM leads.
type unreachableRecords struct{ Records }

func (unreachableRecords) Query(context.Context, message.Query) (message.ClaimAnswer, error) {
	return message.ClaimAnswer{}, &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Detail: "notLeader",
	}
}

// Guards against a caller that receives "not run" for a call that ran. The entry that
// runs the call crashes, and the caller sends it again to another entry, which learns the
// call's owner and follows it. The owner is unreachable, and no control VM leads, so the
// record can't be read. The "not run" of the query for the record must not be returned as
// the outcome of the call.
func TestUnreadableRecordLeavesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	e := &Entry{config: EntryConfig{Records: unreachableRecords{}}, answers: map[string]*answerLog{}}
	var chunks []caller.Chunk
	e.follow(t.Context(), followedRequest{organisation: "o", requestID: "r"}, func(c caller.Chunk) { chunks = append(chunks, c) })
	is.Equal(len(chunks), 1)
	is.Equal(chunks[0].Problem.Reason, oriolebend.ReasonControlAway)
	is.Equal(chunks[0].Problem.Ran, oriolebend.RanUnknown)
}
