package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// waitTargets is how many times the target for the first event a stream
	// waits for memory: its caller leaves when nothing comes for about that
	// long, and a refusal is then worth more than a late answer.
	waitTargets = 3.0
	// lateAsks is how many times longer a request waits between two tries once
	// it has missed its target: one that can still be in time goes first.
	lateAsks = 6
	// lateMost bounds the pause of late requests: a quarter of a second on average
	// leaves each a few tries before it is refused.
	lateMost = 400 * time.Millisecond
	// holdWithin bounds one call for a reservation, several round trips between
	// failure domains.
	holdWithin = 300 * time.Millisecond
	// cleanupWithin bounds the calls that give memory back.
	cleanupWithin = time.Second
)

// reserve finds a place for a stream: memory at a decode engine is reserved
// before a prefill is paid for, so that its result is never computed in vain.
// While no engine has memory the request waits.
func (w *work) reserve(ctx context.Context) (*sending, *refusal) {
	waited := false
	for {
		grant, refused := w.placeGeneration(ctx, waited)
		if refused != nil {
			return nil, refused
		}
		waited = true
		s := &sending{work: w, grant: grant, permits: permits{}}
		if !w.permitGrant(ctx, s.permits, grant) {
			s.withheld()
		} else if s.takeHold(ctx) {
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, &refusal{reason: backend.ReasonOfEnd(ctx)}
		}
	}
}

// awaitRoom waits until another try for memory is worthwhile; false means that
// the request has waited for long enough.
func (w *work) awaitRoom(ctx context.Context, gap time.Duration) bool {
	// Forwarders that wait for the same engine must not all ask at once.
	spread := 0.5 + rand.Float64()
	gap, worthwhile := nextTry(time.Since(w.request.Received), time.Duration(w.route.AnswerWithin), gap, spread)
	if !worthwhile || w.left() < gap {
		return false
	}
	return pause.For(ctx, gap)
}

// nextTry is how long a request of an age waits until its next try, where gap is the
// usual pause and spread a factor on it. False means that the try would come too late: a
// request that waits for it anyway is refused up to twice as late as it need be.
func nextTry(age, target, gap time.Duration, spread float64) (time.Duration, bool) {
	if age > target {
		gap = min(lateAsks*gap, lateMost)
	}
	gap = time.Duration(spread * float64(gap))
	return gap, float64(age+gap) <= waitTargets*float64(target)
}

// withheld gives back a place at a server that has no room for the request by its limit.
func (s *sending) withheld() {
	s.unusedPrefill()
	s.ended(s.grant, dispatch.OutcomeWithheld, 0)
}

// takeHold reserves memory at the grant's server, if its engine takes
// reservations. On false the grant has been given back.
func (s *sending) takeHold(ctx context.Context) bool {
	limits := s.service.Engine
	if limits == nil || limits.HoldWithin <= 0 || s.ask.Prompt == 0 {
		return true
	}
	if s.f.leaveAlone(s.grant.Server) {
		return true // the reservation would be one more request
	}
	calling, cancel := context.WithTimeout(ctx, holdWithin)
	defer cancel()
	output := s.ask.output()
	if s.grant.Remote != 0 {
		output = s.ask.reserved(placedMargin)
	}
	call := s.f.config.Dialect.Hold(s.ask.Prompt+output, time.Duration(limits.HoldWithin))
	call.Freshness = freshForRepeat
	status, body, err := s.f.callEngine(calling, s.grant.Server, call)
	if err == nil && status == http.StatusOK {
		s.hold, err = s.f.config.Dialect.HoldResult(body)
	}
	if s.hold != "" {
		return true
	}
	s.unusedPrefill()
	outcome := dispatch.OutcomeFull
	switch {
	case err != nil:
		outcome = dispatch.OutcomeBroken
		s.logSending(s.grant, "memory not reserved", status, oriolebend.ReasonServerLost, err)
	case s.f.leaveAlone(s.grant.Server):
		outcome = dispatch.OutcomeWithheld // it has said so just now, and not that it is full
	}
	s.ended(s.grant, outcome, 0)
	return false
}

// unusedPrefill tells the reducer that the grant's prefill engine is not asked.
func (s *sending) unusedPrefill() {
	if s.grant.Prefill != nil {
		s.f.promptRead(dispatch.PrefillEnded{At: s.f.now(), Grant: s.grant, Unused: true})
	}
}

// prefill has the grant's prefill engine read the prompt. If that fails, the
// decode engine reads it itself.
func (s *sending) prefill(ctx context.Context) (*PrefillResult, error) {
	if s.grant.Prefill == nil {
		return nil, nil
	}
	engine := *s.grant.Prefill
	s.prompted = true
	request := s.outgoing(Sending{Instance: engine.Instance, PrefillOnly: true})
	began := s.f.now()
	result, err := s.f.readPrompt(ctx, engine, request)
	took := s.f.now().Sub(began)
	s.f.promptRead(dispatch.PrefillEnded{
		At: s.f.now(), Grant: s.grant, Took: took,
		Failed: err != nil && ctx.Err() == nil, Unused: ctx.Err() != nil,
	})
	if err != nil {
		s.logSending(s.grant, "prefill brought no result", 0, reasonOf(err), err)
		s.brokeEarly(engine, err)
		return nil, err
	}
	s.f.reduce(dispatch.PrefillMeasured{Need: s.expectedNeed(), Took: took, Ahead: s.grant.Ahead})
	return &result, nil
}

// expectedNeed is the need with the output that is likely, not with what is
// reserved for it.
func (s *sending) expectedNeed() dispatch.Need {
	need := s.grant.Need
	need.Output = s.ask.expected()
	return need
}

// maxSmallBytes bounds the answers of an engine's own interface.
const maxSmallBytes = 64 << 10

// PrefillError is an answer to a prefill that names no result.
type PrefillError struct{ Status int }

// Error implements error.
func (e *PrefillError) Error() string {
	return fmt.Sprintf("prefill answered with status %d", e.Status)
}

func (f *Forwarder) readPrompt(ctx context.Context, engine message.BackendServer, request backend.Request) (PrefillResult, error) {
	response, err := f.send(ctx, engine, request)
	if err != nil {
		return PrefillResult{}, err
	}
	body, err := response.Whole(maxSmallBytes)
	if err != nil {
		return PrefillResult{}, err
	}
	if response.Status != http.StatusOK {
		return PrefillResult{}, &PrefillError{Status: response.Status}
	}
	return f.config.Dialect.PrefillResult(body)
}

// dropHold gives the reservation back, if there is one.
func (s *sending) dropHold() {
	if s.hold != "" {
		s.f.cleanUp(s.grant.Server, s.f.config.Dialect.Drop(s.hold))
		s.hold = ""
	}
}

// freeResult frees a prefill result that was not taken.
func (s *sending) freeResult(r *PrefillResult) {
	if r != nil {
		s.f.cleanUp(*s.grant.Prefill, s.f.config.Dialect.Free(*r))
	}
}

// cleanUp sends a call that gives memory back, behind the request that it was
// taken for. The engine frees the memory by itself a little later if the call is
// lost, or if it wants to be left alone.
func (f *Forwarder) cleanUp(engine message.BackendServer, call backend.Request) {
	if f.leaveAlone(engine) {
		return
	}
	call.Freshness = freshForRepeat
	f.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupWithin)
		defer cancel()
		if status, _, err := f.callEngine(ctx, engine, call); err != nil || status >= http.StatusBadRequest {
			f.config.Logger.Info("memory not given back", "address", engine.Address, "target", call.Target, "status", status, "error", err)
		}
	})
}
