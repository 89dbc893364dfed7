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

// Places asks another process for places at model engines: one that knows the
// places of all forwarders.
type Places interface {
	// Place waits for a place. False means that nobody could be asked; the
	// forwarder then looks for one itself.
	Place(ctx context.Context, r PlaceRequest) (dispatch.Effect, bool)
	// Found tells of a place that the forwarder found itself, so that the process
	// which gives places next knows of it. The number names it in what follows.
	Found(g dispatch.Grant) uint64
	// PromptRead and Ended tell what became of a place.
	PromptRead(e dispatch.PrefillEnded)
	Ended(e dispatch.Ended)
}

// PlaceRequest is what a request asks for.
type PlaceRequest struct {
	Need dispatch.Need
	Rank int
	// Call is the same for all tries of a caller at one request.
	Call uint64
	// InTime is how much longer the request can wait and still meet its target,
	// Within how long it may wait at all.
	InTime, Within time.Duration
}

// promptRead tells whoever gave the place that its prefill engine is done.
func (f *Forwarder) promptRead(e dispatch.PrefillEnded) {
	if e.Grant.Remote != 0 || e.Grant.ReportedID != 0 {
		f.config.Places.PromptRead(e)
	}
	if e.Grant.Remote == 0 {
		f.reduce(e)
	}
}

// ended tells whoever gave a place how it was used. This forwarder judges the engine as
// well: while nobody gives places, it looks for them among engines that it knows then.
func (f *Forwarder) ended(e dispatch.Ended) {
	if e.Grant.Remote != 0 || e.Grant.ReportedID != 0 {
		f.config.Places.Ended(e)
	}
	if e.Grant.Remote == 0 {
		f.reduce(e)
		return
	}
	f.reduce(dispatch.OutcomeObserved(e))
}

// placeGeneration waits for a place, from the process that knows all of them or,
// without it, from what this forwarder knows.
func (w *work) placeGeneration(ctx context.Context, waited bool) (dispatch.Grant, *refusal) {
	if w.f.config.Places != nil && w.ask.Prompt > 0 && w.service.Engine != nil {
		if grant, refused, asked := w.placeElsewhere(ctx, waited); asked {
			return grant, refused
		}
	}
	for {
		need := w.need()
		need.Waited = waited
		grant, refused := w.f.place(need)
		if refused == nil && w.f.config.Places != nil && need.Prompt > 0 {
			grant.ReportedID = w.f.config.Places.Found(grant)
		}
		if refused == nil || refused.reason != oriolebend.ReasonNoMemory {
			return grant, refused
		}
		if !w.awaitRoom(ctx, refused.after) {
			return grant, &refusal{reason: refused.reason, after: dispatch.RetryLoaded}
		}
		waited = true
	}
}

const (
	// inTime is the part of the target that may be over when the prompt of a request
	// has been read for its first event to be in time.
	inTime = 0.9
	// prefillSlack is how many times the time of the prompt alone its prefill is
	// allowed: with others before it in the queue and the way there and back.
	prefillSlack = 1.3
)

// placedBy is how much longer a request can wait for its place and still meet its
// target. A prompt of twice the usual length needs its place a tenth of a second
// earlier: one that is given it later holds its memory and is late all the same.
func (w *work) placedBy(age time.Duration) time.Duration {
	prefill := prefillSlack * float64(w.f.readTime(w.service.Name, w.ask.Prompt))
	return time.Duration(inTime*float64(w.route.AnswerWithin)-prefill) - age
}

// placeElsewhere asks the process that knows all places; the last result is false
// if it could not be asked.
func (w *work) placeElsewhere(ctx context.Context, waited bool) (dispatch.Grant, *refusal, bool) {
	need := w.need()
	need.Output = w.ask.expected()
	need.Excluded = w.f.closed(need.Service)
	if !waited {
		effect := w.f.reduce(dispatch.RequestCounted{At: w.f.now(), Service: need.Service, Tried: need.Tried, Retry: need.Retry})[0]
		if r, ok := effect.(dispatch.Refused); ok {
			return dispatch.Grant{}, &refusal{reason: r.Reason, after: r.RetryAfter}, true
		}
	}
	for range mostPlaces {
		effect, asked := w.askElsewhere(ctx, need)
		if ctx.Err() != nil {
			if g, ok := effect.(dispatch.Granted); asked && ok {
				w.f.returnPlace(g.Grant, dispatch.OutcomeCancelled)
			}
			return dispatch.Grant{}, &refusal{reason: backend.ReasonOfEnd(ctx)}, true
		}
		if !asked {
			return dispatch.Grant{}, nil, false
		}
		switch e := effect.(type) {
		case dispatch.Granted:
			if w.acceptPlace(e.Grant) {
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

// mostPlaces is how many places a request is given elsewhere that this forwarder can't
// accept, before it looks for one itself: the two differ too much in what they know.
const mostPlaces = 4

// askElsewhere asks for a place once.
func (w *work) askElsewhere(ctx context.Context, need dispatch.Need) (dispatch.Effect, bool) {
	target := float64(w.route.AnswerWithin)
	age := time.Since(w.request.Received)
	return w.f.config.Places.Place(ctx, PlaceRequest{
		Need: need, Rank: w.rank(), Call: w.ask.Call,
		InTime: w.placedBy(age),
		Within: min(time.Duration(waitTargets*target)-age, w.left()),
	})
}

// acceptPlace reports whether a place given elsewhere is at engines that take new work,
// as far as this forwarder knows. On false it has been given back, and whoever gave it
// knows why.
func (w *work) acceptPlace(g dispatch.Grant) bool {
	if reason := w.f.refusesWork(g.Server); reason != "" {
		outcome := dispatch.OutcomeCancelled
		if reason == oriolebend.ReasonLeaving {
			outcome = dispatch.OutcomeLeft
		}
		w.rejectPlace(g, reason, outcome)
		return false
	}
	if g.Prefill == nil {
		return true
	}
	reason := w.f.refusesWork(*g.Prefill)
	if reason == "" {
		return true
	}
	leaves := reason == oriolebend.ReasonLeaving
	w.f.promptRead(dispatch.PrefillEnded{At: w.f.now(), Grant: g, Failed: leaves, Unused: !leaves})
	w.rejectPlace(g, reason, dispatch.OutcomeCancelled)
	return false
}

// rejectPlace gives back a place that another process gave.
func (w *work) rejectPlace(g dispatch.Grant, reason oriolebend.Reason, outcome dispatch.Outcome) {
	w.f.config.Observer.Count("retry", reason, "")
	w.logSending(g, "place returned", 0, reason, nil)
	w.f.returnPlace(g, outcome)
}

// refusesWork is why a server takes no new work, empty if it does.
func (f *Forwarder) refusesWork(server message.BackendServer) oriolebend.Reason {
	if r, refused := f.reduce(dispatch.PlacementOffered{At: f.now(), Server: server})[0].(dispatch.Refused); refused {
		return r.Reason
	}
	return ""
}

// returnPlace gives a place back that was not used.
func (f *Forwarder) returnPlace(g dispatch.Grant, outcome dispatch.Outcome) {
	f.config.Places.Ended(dispatch.Ended{At: f.now(), Grant: g, Outcome: outcome})
}
