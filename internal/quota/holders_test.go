package quota

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a request that waits twice for a holder that has failed: once because another
// control VM still names it, and once because it is among the control VMs to query.
func TestFailedHolderIsQueriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		controls := []string{"c0:1", "c1:1", "c2:1"}
		network := peertest.NewNetwork(1)
		failed := policy.Nearest("o", controls, maxFollowers)[2]
		var queried atomic.Int32
		for _, address := range controls {
			network.Listen(ctx, address, address, func(ctx context.Context, stream peer.Stream) {
				peer.ServeRequests(ctx, stream, func(request message.QuotaAsk) (message.QuotaAnswer, bool) {
					if address == failed {
						queried.Add(1)
						return message.QuotaAnswer{}, false
					}
					return message.QuotaAnswer{ID: request.ID, Holder: failed}, true
				})
			})
		}
		c := &Client{
			Dialer: network.Dialer(client), Logger: slog.New(slog.DiscardHandler),
			Leader: func() string { return "" }, Controls: func() []string { return append([]string{}, controls...) },
		}
		c.Prepare()
		defer c.Close()
		_, reason, took := take(t, c, 1)
		is.Equal(reason, oriolebend.ReasonControlAway)
		is.Equal(queried.Load(), int32(1))
		is.True(took < 2*followerTimeout)
		cancel()
		time.Sleep(time.Second) // sessions end
	})
}

// Guards against a caller that waits longer than it has to: of two holders of half that refuse its
// request, the one that can serve it first decides.
func TestSoonestHolderDecidesTheRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		retries := map[string]time.Duration{"c0:1": 100 * time.Millisecond, "c1:1": 2 * time.Second}
		network := peertest.NewNetwork(1)
		for address, after := range retries {
			network.Listen(ctx, address, address, func(ctx context.Context, stream peer.Stream) {
				peer.ServeRequests(ctx, stream, func(request message.QuotaAsk) (message.QuotaAnswer, bool) {
					return message.QuotaAnswer{ID: request.ID, Known: true, Share: 0.5, RetryAfter: after}, true
				})
			})
		}
		for first := range retries {
			c := &Client{
				Dialer: network.Dialer(client), Logger: slog.New(slog.DiscardHandler),
				Leader: func() string { return first }, Controls: func() []string { return []string{"c0:1", "c1:1"} },
			}
			c.Prepare()
			_, _, err := c.Take(ctx, forwarder.Charge{Organisation: "o", Cost: 1, Call: 1})
			is.Equal(err.(*oriolebend.Problem).RetryAfter, 100*time.Millisecond)
			c.Close()
		}
		cancel()
		time.Sleep(time.Second) // sessions end
	})
}
