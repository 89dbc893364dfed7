package quota

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
