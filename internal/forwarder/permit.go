package forwarder

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Limits counts, over all forwarders, what is sent to servers that have named a limit.
type Limits interface {
	// Permit asks for the permission to send one request to a server.
	Permit(ctx context.Context, ask LimitAsk) Permission
	// Return gives a permission back that was not used. It must not block.
	Return(server message.BackendServer)
	// Ended tells that a server named no limit in an answer to a request that was sent so
	// long ago. It must not block.
	Ended(server message.BackendServer, age time.Duration)
}

// LimitAsk asks for the permission to send one request to a server.
type LimitAsk struct {
	Server message.BackendServer
	// PerSecond is the limit that the server named, Age how long ago it did.
	PerSecond float64
	Age       time.Duration
}

// Permission is the answer to a LimitAsk.
type Permission struct {
	Granted bool
	// Ended is set if the server is known to have no limit any more; then it is granted.
	Ended bool
	// After is when another one may be asked for, if it is not granted.
	After time.Duration
}

// permissionHolds is for how long a permission may be used. A prompt is read meanwhile; used
// later, permissions of many requests would reach the server at once.
const permissionHolds = time.Second

// permits are the permissions that one sending has, by server.
type permits map[message.ServerStart]time.Time

// fresh reports whether there is a permission for a server that may still be used.
func (p permits) fresh(at time.Time, server message.BackendServer) bool {
	since, has := p[server.Start()]
	return has && at.Sub(since) < permissionHolds
}

// permit takes a permission for a server that has named a limit. True means that the request
// may be sent there: it has a permission, or needs none.
//
// A server that names a limit means it for all forwarders together, and each of them knows its
// own sendings alone. Sent without asking, a hundred forwarders that each keep to the limit
// overrun it a hundred times.
func (w *work) permit(ctx context.Context, p permits, server message.BackendServer) bool {
	f := w.f
	asked := f.now()
	limit, limited := f.limit(server)
	if !limited || p.fresh(asked, server) {
		return true
	}
	answer := f.config.Limits.Permit(ctx, LimitAsk{Server: server, PerSecond: limit.PerSecond, Age: asked.Sub(limit.ReportedAt)})
	switch {
	case answer.Ended:
		f.reduce(dispatch.LimitEnded{At: asked, Server: server})
	case answer.Granted:
		p[server.Start()] = f.now()
	default:
		f.reduce(dispatch.PermissionRefused{At: f.now(), Server: server, After: answer.After})
	}
	return answer.Granted
}

// permitGrant takes permissions for both servers of a grant, or for none of them.
func (w *work) permitGrant(ctx context.Context, p permits, g dispatch.Grant) bool {
	if !w.permit(ctx, p, g.Server) {
		return false
	}
	if g.Prefill == nil || w.permit(ctx, p, *g.Prefill) {
		return true
	}
	w.f.returnPermit(p, g.Server)
	return false
}

// returnPermit gives a permission back that was not used, if there is one.
func (f *Forwarder) returnPermit(p permits, server message.BackendServer) {
	if p.fresh(f.now(), server) {
		f.config.Limits.Return(server)
	}
	delete(p, server.Start())
}

// limit is the limit of a server, false if it has named none.
func (f *Forwarder) limit(server message.BackendServer) (dispatch.Limit, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Limit(server)
}

// closed lists the servers of a service that take nothing from this forwarder now.
func (f *Forwarder) closed(service string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Unavailable(f.now(), service)
}

// allClosed reports whether no server takes the request for what the servers have said of
// themselves, and then why and when the first of them may.
func (w *work) allClosed() (refusal, bool) {
	w.f.mutex.Lock()
	defer w.f.mutex.Unlock()
	refused, closed := w.f.state.AllUnavailable(w.f.now(), w.need())
	return refusal{reason: refused.Reason, after: refused.RetryAfter}, closed
}

// declined is why a server did not run a request, if it has said of itself that it takes
// less; empty if it refused for another reason.
func (f *Forwarder) declined(server message.BackendServer, v Verdict) oriolebend.Reason {
	if v.Ran != oriolebend.RanNo || v.Moved {
		return ""
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if reason := f.state.UnavailableReason(f.now(), server); reason != "" {
		return reason
	}
	if _, limited := f.state.Limit(server); limited {
		return oriolebend.ReasonServerLimit
	}
	return ""
}

// leaveAlone reports whether a server is better not asked for what can be done without: it
// rests, or has named a limit.
func (f *Forwarder) leaveAlone(server message.BackendServer) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, limited := f.state.Limit(server)
	return limited || f.state.UnavailableReason(f.now(), server) == oriolebend.ReasonServerRests
}

// placeCall finds a server for a plain call that may be sent to it.
func (w *work) placeCall(ctx context.Context) (dispatch.Grant, *refusal) {
	need := w.need()
	for {
		grant, refused := w.f.place(need)
		if refused != nil {
			return grant, refused
		}
		if w.permit(ctx, permits{}, grant.Server) {
			return grant, nil
		}
		w.ended(grant, dispatch.OutcomeWithheld, 0)
		need.Excluded = append(need.Excluded, grant.Server.Instance)
		need.Waited = true // it was counted at the first try
		if ctx.Err() != nil {
			return grant, &refusal{reason: backend.ReasonOfEnd(ctx)}
		}
	}
}
