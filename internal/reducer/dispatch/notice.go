package dispatch

import (
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Notice is the state that a server reports in the headers of a response, whatever the
// response is.
type Notice struct {
	// Leaving is set if the server accepts no new work.
	Leaving bool
	// Backoff is the backoff period for which the server wants no request from this VM; zero
	// means that it reports none.
	Backoff time.Duration
	// Limited is set if the server reports a rate limit. PerSecond is the requests per second
	// that it accepts from all VMs together for as long as it reports the limit.
	Limited   bool
	PerSecond float64
}

// NoticeReceived reports the notice that came with a response.
type NoticeReceived struct {
	At time.Time
	// Sent is when the request of the response was sent.
	Sent   time.Time
	Server message.BackendServer
	Notice Notice
	// Served is set if the request was served and the complete notice could be read: other
	// responses may lack a part of the notice.
	Served bool
}

func (NoticeReceived) isDispatchEvent() {}

// NoticeChanges reports what a notice changed. It is meant for the log.
type NoticeChanges struct {
	// Leaving is set if the server had not reported before that it is leaving.
	Leaving bool
	// Backoff is the backoff period of the server from now on; zero means that it ends no later
	// than the backoff period known before.
	Backoff time.Duration
	// Limited is set if the server reports a limit for the first time or a different one,
	// Ended if the server no longer reports a limit.
	Limited, Ended bool
	PerSecond      float64
}

func (NoticeChanges) isDispatchEffect() {}

// reportedState is the state that one incarnation of a server has reported. It is kept apart
// from what control VMs report about the server: it stays valid for a server that control VMs
// remove from the list and add again.
type reportedState struct {
	// leavingSince is when the server reported that it is leaving, zero if it did not.
	leavingSince time.Time
	backoffUntil time.Time
	limited      bool
	perSecond    float64
	// limitReported is when a response last reported the limit, nextPermission from when on a
	// permission to send is worth requesting.
	limitReported, nextPermission time.Time
}

// PermissionRefused reports that a permission to send to a server with a rate limit was refused.
type PermissionRefused struct {
	At     time.Time
	Server message.BackendServer
	// After is when another permission may be requested.
	After time.Duration
}

// LimitEnded reports that a server is known to have reported no limit since At.
type LimitEnded struct {
	At     time.Time
	Server message.BackendServer
}

func (PermissionRefused) isDispatchEvent() {}

func (LimitEnded) isDispatchEvent() {}

// applyNotice applies the notice of a server and returns what it changed.
func (s *State) applyNotice(e NoticeReceived) []Effect {
	kept := s.reported[e.Server.Start()]
	if kept == nil {
		if e.Notice == (Notice{}) {
			return nil
		}
		kept = &reportedState{}
		s.reported[e.Server.Start()] = kept
	}
	changes := kept.apply(e)
	if changes == (NoticeChanges{}) {
		return nil
	}
	return []Effect{changes}
}

func (r *reportedState) apply(e NoticeReceived) NoticeChanges {
	var changes NoticeChanges
	if e.Notice.Leaving && r.leavingSince.IsZero() {
		r.leavingSince, changes.Leaving = e.At, true
	}
	if until := e.At.Add(e.Notice.Backoff); e.Notice.Backoff > 0 && until.After(r.backoffUntil) {
		r.backoffUntil, changes.Backoff = until, e.Notice.Backoff
	}
	switch {
	case e.Notice.Limited:
		if !r.limited || r.perSecond != e.Notice.PerSecond {
			changes.Limited, changes.PerSecond = true, e.Notice.PerSecond
		}
		r.limited, r.perSecond, r.limitReported = true, e.Notice.PerSecond, e.At
	case r.limited && e.Served && e.Sent.After(r.limitReported):
		// A response that was in flight when the limit was reported does not end the limit.
		r.limited, changes.Ended = false, true
	}
	return changes
}

func (s *State) delayPermission(e PermissionRefused) {
	if kept := s.reported[e.Server.Start()]; kept != nil {
		kept.nextPermission = e.At.Add(e.After)
	}
}

func (s *State) clearLimit(e LimitEnded) {
	if kept := s.reported[e.Server.Start()]; kept != nil && !kept.limitReported.After(e.At) {
		kept.limited = false
	}
}

// Limit is the rate limit that a server has reported.
type Limit struct {
	PerSecond float64
	// ReportedAt is when a response last reported the limit.
	ReportedAt time.Time
}

// Limit returns the limit of a server, false if no limit is known.
func (s *State) Limit(server message.BackendServer) (Limit, bool) {
	kept := s.reported[server.Start()]
	if kept == nil || !kept.limited {
		return Limit{}, false
	}
	return Limit{PerSecond: kept.perSecond, ReportedAt: kept.limitReported}, true
}

// UnavailableReason returns why a server currently accepts nothing from this forwarder, empty if
// the server accepts requests.
func (s *State) UnavailableReason(at time.Time, server message.BackendServer) oriolebend.Reason {
	_, reason := s.unavailableUntil(at, server)
	return reason
}

// unavailableUntil returns until when and why a server accepts nothing from this forwarder, by the
// state that the server has reported. The reason is empty if the server accepts requests.
func (s *State) unavailableUntil(at time.Time, server message.BackendServer) (time.Time, oriolebend.Reason) {
	if len(s.reported) == 0 {
		return time.Time{}, ""
	}
	kept := s.reported[server.Start()]
	if kept == nil {
		return time.Time{}, ""
	}
	return kept.unavailableUntil(at)
}

func (r *reportedState) unavailableUntil(at time.Time) (time.Time, oriolebend.Reason) {
	switch {
	case !r.leavingSince.IsZero():
		return at.Add(retryUnknown), oriolebend.ReasonLeaving
	case at.Before(r.backoffUntil):
		return r.backoffUntil, oriolebend.ReasonServerRests
	case r.limited && at.Before(r.nextPermission):
		return r.nextPermission, oriolebend.ReasonServerLimit
	}
	return time.Time{}, ""
}

// inBackoff reports whether a server is within a backoff period that it has requested.
func (s *State) inBackoff(at time.Time, server message.BackendServer) bool {
	kept := s.reported[server.Start()]
	return kept != nil && at.Before(kept.backoffUntil)
}

// Unavailable lists the servers of a service that currently accept nothing from this forwarder, and those
// that have exited if a stream with an origin is to be continued.
func (s *State) Unavailable(at time.Time, name string, origin *message.StreamOrigin) []string {
	if len(s.reported) == 0 && origin == nil {
		return nil
	}
	var list []string
	for _, c := range s.inOrder[name] {
		_, reason := s.unavailableUntil(at, c.BackendServer)
		if reason != "" || origin != nil && c.exited(at) {
			list = append(list, c.Instance)
		}
	}
	return list
}

// retryClosed is the shortest retry delay for a caller whose request no server accepts.
const retryClosed = 50 * time.Millisecond

// AllUnavailable reports whether every server of a service rejects a request because of the state
// that the servers have reported. If so, the result says why, and when the first of them may
// accept one.
func (s *State) AllUnavailable(at time.Time, n Need) (Refused, bool) {
	var first time.Time
	var refused Refused
	for _, c := range s.inOrder[n.Service] {
		if !c.acceptsWork() || c.Role == oriolebend.Prefill || slices.Contains(n.Tried, c.Instance) || !c.continues(at, n.Origin) {
			continue
		}
		until, reason := s.unavailableUntil(at, c.BackendServer)
		switch reason {
		case "":
			return Refused{}, false
		case oriolebend.ReasonLeaving:
			continue // it never accepts requests again
		}
		if refused.Reason == "" || until.Before(first) {
			first, refused.Reason = until, reason
		}
	}
	refused.RetryAfter = max(retryClosed, first.Sub(at))
	return refused, refused.Reason != ""
}
