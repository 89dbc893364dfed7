package role

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: a tip is told as not run, and it ran. Sequence: its server is gone,
// and the gate of another server, which never had the attempt, says "no".
// Cause: that word is taken for the word of the gate that had it.
func TestStatusIsAskedOfTheServersGate(t *testing.T) {
	servers := []oriolebend.Server{
		{Name: "s1", GateAddress: "s1:1", Role: oriolebend.Service, Service: "tips"},
		{Name: "s2", GateAddress: "s2:1", Role: oriolebend.Service, Service: "tips"},
		{Name: "s3", GateAddress: "s3:1", Role: oriolebend.Service, Service: "tips", State: oriolebend.ServerGone},
		{Name: "e1", GateAddress: "e1:1", Role: oriolebend.Decode},
	}
	for name, row := range map[string]struct {
		server, service string
		ran             oriolebend.Ran
		fails           bool
	}{
		"its own gate":        {server: "s2", service: "tips", ran: oriolebend.RanNo},
		"the server is gone":  {server: "s3", service: "tips", ran: oriolebend.RanUnknown},
		"never announced":     {server: "s9", service: "tips", ran: oriolebend.RanUnknown},
		"no gate of service":  {server: "s9", service: "pings", fails: true},
		"no gate answers":     {server: "mute", service: "mute", fails: true},
		"not reached at all":  {server: "away", service: "away", fails: true},
		"engine of that name": {server: "e1", service: "tips", ran: oriolebend.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				network := peertest.NewNetwork(1)
				for _, s := range servers {
					network.Listen(ctx, s.GateAddress, s.Name, refuseNo)
				}
				network.Listen(ctx, "mute:1", "mute", func(ctx context.Context, s peer.Stream) { <-s.Done() })
				gates := gateStatusClient{dialer: network.Dialer("c1"), members: func() []oriolebend.Server {
					return append(servers,
						oriolebend.Server{Name: "mute", GateAddress: "mute:1", Role: oriolebend.Service, Service: "mute"},
						oriolebend.Server{Name: "away", GateAddress: "away:1", Role: oriolebend.Service, Service: "away"})
				}}
				answer, err := gates.AskStatus(ctx, row.server, row.service, message.StatusQuery{})
				is.Equal(err != nil, row.fails)
				if !row.fails {
					is.Equal(answer.(message.Refusal).Ran, row.ran)
				}
			})
		})
	}
}

func refuseNo(_ context.Context, s peer.Stream) {
	if _, err := s.Receive(); err != nil {
		return
	}
	_ = s.Send(message.Refusal{Reason: oriolebend.ReasonAttemptClosed, Ran: oriolebend.RanNo})
	<-s.Done()
}
