package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// fakeGates answers status questions: away at first, then the outcome.
type fakeGates struct {
	mu    sync.Mutex
	away  int
	asked []message.StatusQuery
}

func (g *fakeGates) QueryStatus(_ context.Context, _, _ string, q message.StatusQuery) (message.Message, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = append(g.asked, q)
	if len(g.asked) <= g.away {
		return nil, context.DeadlineExceeded
	}
	return message.CallAnswer{Attempt: q.Attempt, Status: 200, Body: []byte("paid")}, nil
}

// Symptom: a tip whose answer was lost stays unknown although the service can
// tell. Sequence: the entry dies after the dispatch, the gate is away for the
// first questions, the leader changes in between. Cause: nobody asks, or only
// the old leader did.
func TestResolverAsksUntilTheServiceTells(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var gates []*fakeGates // of c1, c2 and c3
		for _, server := range b.servers {
			gates = append(gates, &fakeGates{away: 3})
			go NewResolver(ResolverConfig{Server: server, Gates: gates[len(gates)-1]}).Run(ctx)
		}
		c := tip("k1", "r1")
		c.Status = &message.StatusCall{Service: "liquidacion", Path: "/tips/{identity}", Identity: "tip-1"}
		first, err := b.clients["e1"].Claim(ctx, c)
		is.NoErr(err)
		_, err = b.clients["e1"].Settle(ctx, outcome(c, first, message.RecordRunning))
		is.NoErr(err)
		b.stops["e1"]()
		time.Sleep(5 * time.Second)
		found, err := b.clients["e2"].Query(ctx, message.Query{RequestID: "r1", Organisation: "asociacion"})
		is.NoErr(err)
		is.Equal(found.Outcome, message.ClaimUnknown)
		b.group.lead("c3")
		time.Sleep(2 * time.Minute)
		found, err = b.clients["e2"].Query(ctx, message.Query{RequestID: "r1", Organisation: "asociacion"})
		is.NoErr(err)
		is.Equal(found.State, message.RecordAnswered)
		is.Equal(string(found.Answer.Body), "paid")
		is.Equal(len(gates[0].asked), 0) // c1 never led
		is.Equal(gates[1].asked[0].Identity, "tip-1")
		is.Equal(len(gates[2].asked), 4)
	})
}
