package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Places requests placements at model engines from another process, which knows the placements of
// all forwarders.
type Places interface {
	// Place waits for a placement. It returns false if no process could be asked; the forwarder
	// then chooses engines itself.
	Place(ctx context.Context, r PlacementRequest) (dispatch.Effect, bool)
	// RegisterLocal reports a placement that the forwarder chose itself, so that the next allocator
	// knows of it. The returned number identifies the placement in later calls.
	RegisterLocal(g dispatch.Grant) uint64
	// PromptRead and Ended report the progress and the end of a placement.
	PromptRead(e dispatch.PrefillEnded)
	Ended(e dispatch.Ended)
}

// PlacementRequest describes the placement that a request needs.
type PlacementRequest struct {
	Need dispatch.Need
	// Rank is the rank of the organisation, or that of the route if the organisation has none.
	Rank int
	// RouteRank orders requests of one Rank.
	RouteRank int
	// Call is the same for all tries of a caller at one request.
	Call uint64
	// InTime is how much longer the request can wait and still meet its target, Within how long it
	// may wait at all.
	InTime, Within time.Duration
	// Remaining is for how long the caller still waits for the end of the response, zero if a part of
	// it may have been delivered.
	Remaining time.Duration
}

// reportPromptRead reports that the prefill engine of a placement is done: to the allocator if it
// knows the placement, and to the reducer if this forwarder chose the placement itself.
func (f *Forwarder) reportPromptRead(e dispatch.PrefillEnded) {
	if e.Grant.Remote != 0 || e.Grant.ReportedID != 0 {
		f.config.Places.PromptRead(e)
	}
	if e.Grant.Remote == 0 {
		f.reduce(e)
	}
}

// ownDelayPeriod is for how long after the process was near the capacity of its VM the times of answers
// may still include its own delays.
const ownDelayPeriod = time.Second

// reportEnded reports to the allocator, if it knows the placement, how the placement was used. The
// outcome also updates this forwarder's view of the engine: while there is no allocator, the
// forwarder chooses engines from that view.
//
// The times that a process near its capacity measures are left out: they include its own delays, and it
// would refuse requests for an overload of servers that are not overloaded.
func (f *Forwarder) reportEnded(e dispatch.Ended) {
	if f.config.Pool.Meter.NearCapacityWithin(ownDelayPeriod) {
		e.Took, e.Writing, e.Events = 0, 0, 0
	}
	if e.Grant.Remote != 0 || e.Grant.ReportedID != 0 {
		f.config.Places.Ended(e)
	}
	if e.Grant.Remote == 0 {
		f.reduce(e)
		return
	}
	f.reduce(dispatch.OutcomeObserved(e))
}

// placeGeneration waits for a placement, from the allocator or, if no allocator can be asked, from
// this forwarder's own view.
func (w *work) placeGeneration(ctx context.Context) (dispatch.Grant, *refusal) {
	if w.f.config.Places != nil && w.info.Prompt > 0 && w.service.Engine != nil {
		if grant, refused, asked := w.requestPlacement(ctx); asked {
			return grant, refused
		}
	}
	for {
		need := w.need()
		grant, refused := w.f.choose(need)
		if refused == nil && w.f.config.Places != nil && need.Prompt > 0 {
			grant.ReportedID = w.f.config.Places.RegisterLocal(grant)
		}
		if refused == nil || refused.reason != oriolebend.ReasonNoMemory {
			return grant, refused
		}
		if !w.awaitMemory(ctx, refused.after) {
			return grant, &refusal{reason: refused.reason, after: dispatch.RetryLoaded}
		}
	}
}

const (
	// firstEventShare is the share of the target that may have passed when the prompt of a request
	// has been read, for its first event to be in time.
	firstEventShare = 0.9
	// prefillSlack is the allowed time of a prefill as a multiple of the time for the prompt alone.
	// It covers prompts that are queued before it and the network round trip.
	prefillSlack = 1.3
)

// placementSlack returns how much longer a request can wait for its placement and still meet its
// target. A prompt of twice the usual length needs its placement a tenth of a second earlier: if
// its placement comes later, it occupies memory and still misses its target.
func (w *work) placementSlack(age time.Duration) time.Duration {
	prefill := prefillSlack * float64(w.f.prefillTime(w.service.Name, w.info.Prompt))
	return time.Duration(firstEventShare*float64(w.route.AnswerWithin)-prefill) - age
}

// requestPlacement requests a placement from the allocator; the last result is false if no
// allocator could be asked.
func (w *work) requestPlacement(ctx context.Context) (dispatch.Grant, *refusal, bool) {
	need := w.need()
	need.Output = w.info.expected()
	need.Excluded = w.f.closedServers(need)
	if refused, closed := w.allClosed(); closed {
		return dispatch.Grant{}, &refused, true
	}
	for range maxSkippedServers {
		effect, asked := w.sendPlacementRequest(ctx, need)
		if ctx.Err() != nil {
			if g, ok := effect.(dispatch.Granted); asked && ok {
				w.f.releasePlacement(g.Grant, dispatch.OutcomeCancelled)
			}
			return dispatch.Grant{}, &refusal{reason: backend.ContextReason(ctx)}, true
		}
		if !asked {
			return dispatch.Grant{}, nil, false
		}
		switch e := effect.(type) {
		case dispatch.Granted:
			if w.acceptPlacement(e.Grant) {
				return e.Grant, nil, true
			}
			need.Tried = append(slices.Clone(need.Tried), e.Grant.Server.Instance)
		case dispatch.Refused:
			if refused, closed := w.allClosed(); closed {
				return dispatch.Grant{}, &refused, true
			}
			return dispatch.Grant{}, &refusal{reason: e.Reason, after: e.RetryAfter}, true
		}
	}
	return dispatch.Grant{}, nil, false
}

// maxSkippedServers is the number of placements granted by the allocator that this forwarder
// rejects before it chooses engines itself: the views of the two differ too much then. It also
// bounds the servers that are skipped without counting as a send.
const maxSkippedServers = 4

// sendPlacementRequest requests a placement once.
func (w *work) sendPlacementRequest(ctx context.Context, need dispatch.Need) (dispatch.Effect, bool) {
	target := float64(w.route.AnswerWithin)
	age := w.waited()
	remaining := w.remaining()
	if need.Retry {
		remaining = 0
	}
	return w.f.config.Places.Place(ctx, PlacementRequest{
		Need: need, Rank: w.rank(), RouteRank: w.route.Rank, Call: w.info.Call, Remaining: remaining,
		InTime: w.placementSlack(age),
		Within: min(time.Duration(maxWaitFactor*target)-age, w.remaining()),
	})
}

// acceptPlacement reports whether the engines of a placement that the allocator granted accept new
// work, as far as this forwarder knows. If it returns false, the placement has been released and
// the allocator knows the reason.
func (w *work) acceptPlacement(g dispatch.Grant) bool {
	// The allocator may be of an earlier release, or the server has exited since.
	if !w.origin.Permits(g.Server) || (w.origin != nil && w.f.exited(g.Server)) {
		w.rejectPlacement(g, oriolebend.ReasonVersionGone, dispatch.OutcomeCancelled)
		return false
	}
	if reason := w.f.refusalForNewWork(g.Server); reason != "" {
		outcome := dispatch.OutcomeCancelled
		if reason == oriolebend.ReasonLeaving {
			outcome = dispatch.OutcomeLeft
		}
		w.rejectPlacement(g, reason, outcome)
		return false
	}
	if g.Prefill == nil {
		return true
	}
	reason := w.f.refusalForNewWork(*g.Prefill)
	if reason == "" {
		return true
	}
	leaves := reason == oriolebend.ReasonLeaving
	w.f.reportPromptRead(dispatch.PrefillEnded{At: w.f.now(), Grant: g, Failed: leaves, Unused: !leaves})
	w.rejectPlacement(g, reason, dispatch.OutcomeCancelled)
	return false
}

// rejectPlacement releases a placement that the allocator granted.
func (w *work) rejectPlacement(g dispatch.Grant, reason oriolebend.Reason, outcome dispatch.Outcome) {
	w.f.config.Observer.Count("retry", reason, "")
	w.logSend(g, "place returned", 0, reason, nil)
	w.f.releasePlacement(g, outcome)
}

// refusalForNewWork returns the reason why a server accepts no new work, empty if it does.
func (f *Forwarder) refusalForNewWork(server message.BackendServer) oriolebend.Reason {
	if r, refused := f.reduce(dispatch.PlacementOffered{At: f.now(), Server: server})[0].(dispatch.Refused); refused {
		return r.Reason
	}
	return ""
}

// releasePlacement releases a placement that was not used.
func (f *Forwarder) releasePlacement(g dispatch.Grant, outcome dispatch.Outcome) {
	f.config.Places.Ended(dispatch.Ended{At: f.now(), Grant: g, Outcome: outcome})
}
