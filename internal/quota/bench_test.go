package quota

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/reducer/quota"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// benchServer returns a leading server that counts for one organisation with a quota.
func benchServer(perSecond float64) *Server {
	s := &Server{
		Routing: routing.NewStore(), Logger: slog.New(slog.DiscardHandler),
		Self: "c", Leader: func() string { return "c" }, Members: func() int { return 3 },
		Leases: &Leases{
			Members: func() []message.Member { return []message.Member{{Name: "c"}} },
			Lost:    func() time.Time { return time.Time{} },
		},
	}
	s.Prepare()
	s.Leases.checkMembers(time.Now())
	s.reduce(quota.Declared{At: time.Now(), Organisations: []oriolebend.Organisation{{
		Name: "o", Quota: oriolebend.Quota{PerSecond: perSecond, Burst: perSecond},
	}}})
	return s
}

// BenchmarkAnswer measures one request at the control VM that counts: a granted request, and a
// refused request while the retry times of a thousand callers are kept.
func BenchmarkAnswer(b *testing.B) {
	for name, perSecond := range map[string]float64{"granted": 1e15, "refused": 1000} {
		b.Run(name, func(b *testing.B) {
			s := benchServer(perSecond)
			b.ReportAllocs()
			call := uint64(0)
			for b.Loop() {
				call++
				s.answer(message.QuotaAsk{Organisation: "o", Cost: 5000, Call: call})
			}
		})
	}
}

// BenchmarkTake measures one request with its session, over an in-memory network.
func BenchmarkTake(b *testing.B) {
	s := benchServer(1e15)
	network := peertest.NewNetwork(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network.Listen(ctx, "c:1", "c", peer.Handler(s.Serve))
	c := &Client{
		Dialer: network.Dialer("f"), Logger: slog.New(slog.DiscardHandler),
		Leader: func() string { return "c:1" }, Controls: func() []string { return []string{"c:1"} },
	}
	c.Prepare()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := c.Take(ctx, forwarder.Charge{Organisation: "o", Cost: 5000, Call: 1}); err != nil {
			b.Fatal(err)
		}
	}
}
