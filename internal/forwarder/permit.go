package forwarder

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Limits counts, over all forwarders, the requests that are sent to servers with a reported
// limit.
type Limits interface {
	// Permit requests the permission to send one request to a server.
	Permit(ctx context.Context, request PermissionRequest) Permission
	// Return returns a permission that was not used. It must not block.
	Return(server message.BackendServer)
	// Ended reports that a server reported no limit in an answer to a request that was sent age
	// ago. It must not block.
	Ended(server message.BackendServer, age time.Duration)
}

// PermissionRequest requests the permission to send one request to a server.
type PermissionRequest struct {
	Server message.BackendServer
	// PerSecond is the limit that the server reported, Age the time since its last
	// report.
	PerSecond float64
	Age       time.Duration
}

// Permission is the answer to a PermissionRequest.
type Permission struct {
	Granted bool
	// Ended is set if the server is known to have no limit any more; Granted is then set as well.
	Ended bool
	// After is the time after which another permission may be requested, if this one is not
	// granted.
	After time.Duration
}

// permissionLifetime is how long a permission may be used; the prompt is read in the meantime. If
// permissions were valid for longer, many requests could reach the server at once.
const permissionLifetime = time.Second

// permissions holds the permissions of one send, by server.
type permissions map[message.ServerStart]time.Time

// valid reports whether there is a permission for a server that may still be used.
func (p permissions) valid(at time.Time, server message.BackendServer) bool {
	since, has := p[server.Start()]
	return has && at.Sub(since) < permissionLifetime
}

// acquirePermission requests a permission if the server has reported a limit. It returns true if
// the request may be sent there, with a permission or because none is needed.
//
// A server reports a limit for all forwarders together, and each forwarder knows only its own
// sends. Without permissions, a hundred forwarders that each keep to the limit would exceed it a
// hundredfold.
func (w *work) acquirePermission(ctx context.Context, p permissions, server message.BackendServer) bool {
	f := w.f
	requested := f.now()
	limit, limited := f.limit(server)
	if !limited || p.valid(requested, server) {
		return true
	}
	answer := f.config.Limits.Permit(ctx, PermissionRequest{Server: server, PerSecond: limit.PerSecond, Age: requested.Sub(limit.ReportedAt)})
	switch {
	case answer.Ended:
		f.reduce(dispatch.LimitEnded{At: requested, Server: server})
	case answer.Granted:
		p[server.Start()] = f.now()
	default:
		f.reduce(dispatch.PermissionRefused{At: f.now(), Server: server, After: answer.After})
	}
	return answer.Granted
}

// acquirePermissions acquires permissions for both servers of a grant, or for neither.
func (w *work) acquirePermissions(ctx context.Context, p permissions, g dispatch.Grant) bool {
	if !w.acquirePermission(ctx, p, g.Server) {
		return false
	}
	if g.Prefill == nil || w.acquirePermission(ctx, p, *g.Prefill) {
		return true
	}
	w.f.returnPermission(p, g.Server)
	return false
}

// returnPermission returns a permission that was not used, if there is one.
func (f *Forwarder) returnPermission(p permissions, server message.BackendServer) {
	if p.valid(f.now(), server) {
		f.config.Limits.Return(server)
	}
	delete(p, server.Start())
}

// limit returns the reported limit of a server, false if there is none.
func (f *Forwarder) limit(server message.BackendServer) (dispatch.Limit, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Limit(server)
}

// closedServers lists the servers that accept nothing from this forwarder now, or can't continue the
// stream of the request.
func (f *Forwarder) closedServers(n dispatch.Need) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Unavailable(f.now(), n.Service, n.Origin)
}

// exited reports whether the process of a server has exited, and no later start has been announced.
func (f *Forwarder) exited(server message.BackendServer) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Exited(f.now(), server)
}

// allClosed reports whether the state that the servers report leaves no server for the request. The
// refusal then holds the reason and the time until the first server may accept it.
func (w *work) allClosed() (refusal, bool) {
	w.f.mutex.Lock()
	defer w.f.mutex.Unlock()
	refused, closed := w.f.state.AllUnavailable(w.f.now(), w.need())
	return refusal{reason: refused.Reason, after: refused.RetryAfter}, closed
}

// declineReason returns the reason why a server did not run a request, if its limit, its backoff
// period or its leaving explains that; empty if the server refused for another reason.
func (f *Forwarder) declineReason(server message.BackendServer, v Verdict) oriolebend.Reason {
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

// avoidsOptionalCalls reports whether calls that can be omitted should not be sent to a server,
// because it is in a backoff period or has reported a limit.
func (f *Forwarder) avoidsOptionalCalls(server message.BackendServer) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, limited := f.state.Limit(server)
	return limited || f.state.UnavailableReason(f.now(), server) == oriolebend.ReasonServerRests
}

// placeCall chooses a server for a plain call that may be sent to it.
func (w *work) placeCall(ctx context.Context) (dispatch.Grant, *refusal) {
	need := w.need()
	for {
		grant, refused := w.f.choose(need)
		if refused != nil {
			return grant, refused
		}
		if w.acquirePermission(ctx, permissions{}, grant.Server) {
			return grant, nil
		}
		w.reportEnded(grant, dispatch.OutcomeWithheld, 0)
		need.Excluded = append(need.Excluded, grant.Server.Instance)
		if ctx.Err() != nil {
			return grant, &refusal{reason: backend.ContextReason(ctx)}
		}
	}
}
