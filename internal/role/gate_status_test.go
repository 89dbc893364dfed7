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

// Guards against a call that is reported as not run although it ran. The call's server is
// lost, and the gate of another server, which never received the attempt, answers "no".
// Only the gate that received the attempt may report it as not run.
func TestOnlyTheServersOwnGateReportsNotRun(t *testing.T) {
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
		"the server is lost":  {server: "s3", service: "tips", ran: oriolebend.RanUnknown},
		"never announced":     {server: "s9", service: "tips", ran: oriolebend.RanUnknown},
		"no gate of service":  {server: "s9", service: "pings", fails: true},
		"no gate answers":     {server: "stalled", service: "stalled", fails: true},
		"unreachable gate":    {server: "unreachable", service: "unreachable", fails: true},
		"engine of that name": {server: "e1", service: "tips", ran: oriolebend.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				network := peertest.NewNetwork(1)
				for _, s := range servers {
					network.Listen(ctx, s.GateAddress, s.Name, refuseAsNotRun)
				}
				network.Listen(ctx, "stalled:1", "stalled", func(ctx context.Context, s peer.Stream) { <-s.Done() })
				gates := gateStatusClient{dialer: network.Dialer("c1"), members: func() []oriolebend.Server {
					return append(servers,
						oriolebend.Server{Name: "stalled", GateAddress: "stalled:1", Role: oriolebend.Service, Service: "stalled"},
						oriolebend.Server{Name: "unreachable", GateAddress: "unreachable:1", Role: oriolebend.Service, Service: "unreachable"})
				}}
				answer, err := gates.QueryStatus(ctx, row.server, row.service, message.StatusQuery{})
				is.Equal(err != nil, row.fails)
				if !row.fails {
					is.Equal(answer.(message.Refusal).Ran, row.ran)
				}
			})
		})
	}
}

func refuseAsNotRun(_ context.Context, s peer.Stream) {
	if _, err := s.Receive(); err != nil {
		return
	}
	_ = s.Send(message.Refusal{Reason: oriolebend.ReasonAttemptClosed, Ran: oriolebend.RanNo})
	<-s.Done()
}
