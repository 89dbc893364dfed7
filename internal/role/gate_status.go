package role

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// statusTimeout bounds one query to a gate; the resolver repeats it later.
const statusTimeout = 8 * time.Second

// gateStatusClient queries gates for the outcome of lost calls on behalf of a
// control VM. It implements the Gates interface of package control.
type gateStatusClient struct {
	dialer peer.Dialer
	// members lists the servers that are currently announced.
	members func() []oriolebend.Server
}

// QueryStatus queries the gate of the server to which the call was sent or, if that
// server is not announced, any gate of the service. A refusal by another gate is
// returned with Ran unknown: that gate never received the attempt, so its "not
// run" proves nothing.
func (g gateStatusClient) QueryStatus(ctx context.Context, server, service string, q message.StatusQuery) (message.Message, error) {
	target, found := g.selectServer(server, service)
	if !found {
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonNoServer, Ran: oriolebend.RanUnknown}
	}
	answer, err := g.query(ctx, target.GateAddress, q)
	if err != nil {
		return nil, err
	}
	if refusal, refused := answer.(message.Refusal); refused && target.Name != server {
		refusal.Ran = oriolebend.RanUnknown
		return refusal, nil
	}
	return answer, nil
}

// selectServer returns the named server if it is announced, or else another server
// of the service.
func (g gateStatusClient) selectServer(server, service string) (oriolebend.Server, bool) {
	var other oriolebend.Server
	for _, s := range g.members() {
		if s.State == oriolebend.ServerGone || s.Role != oriolebend.Service || s.Service != service {
			continue
		}
		if s.Name == server {
			return s, true
		}
		if other.Name == "" {
			other = s
		}
	}
	return other, other.Name != ""
}

func (g gateStatusClient) query(ctx context.Context, address string, q message.StatusQuery) (message.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	stream, err := g.dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	if err := stream.Send(q); err != nil {
		return nil, err
	}
	return stream.Receive()
}
