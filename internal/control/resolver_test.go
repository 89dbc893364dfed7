package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// fakeGates fails the first status queries, then answers them with the outcome.
type fakeGates struct {
	mu       sync.Mutex
	failures int
	queries  []message.StatusQuery
}

func (g *fakeGates) QueryStatus(_ context.Context, _, _ string, q message.StatusQuery) (message.Message, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queries = append(g.queries, q)
	if len(g.queries) <= g.failures {
		return nil, context.DeadlineExceeded
	}
	return message.CallAnswer{Attempt: q.Attempt, Status: 200, Body: []byte("paid")}, nil
}

// Guards against a tip with a lost answer that stays unknown although its service can tell the
// outcome: the entry ends after the dispatch, the first queries to the gate fail and the leader
// changes in between, and the new leader sends no queries.
func TestResolverQueriesUntilTheServiceAnswers(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var gates []*fakeGates // of c1, c2 and c3
		for _, server := range b.servers {
			gates = append(gates, &fakeGates{failures: 3})
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
		b.group.setLeader("c3")
		time.Sleep(2 * time.Minute)
		found, err = b.clients["e2"].Query(ctx, message.Query{RequestID: "r1", Organisation: "asociacion"})
		is.NoErr(err)
		is.Equal(found.State, message.RecordAnswered)
		is.Equal(string(found.Answer.Body), "paid")
		is.Equal(len(gates[0].queries), 0) // c1 never led
		is.Equal(gates[1].queries[0].Identity, "tip-1")
		is.Equal(len(gates[2].queries), 4)
	})
}
