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
	// maxWaitFactor is how long a stream waits for memory at most, as a multiple of the target for
	// the first event: its caller gives up when nothing arrives for about that long, and a refusal
	// is then worth more than a late answer.
	maxWaitFactor = 3.0
	// lateRetryFactor multiplies the retry delay of a request that has missed its target: requests
	// that can still be in time go first.
	lateRetryFactor = 6
	// maxLateRetryDelay bounds the retry delay of late requests: a quarter of a second on average
	// leaves each a few tries before it is refused.
	maxLateRetryDelay = 400 * time.Millisecond
	// maxLostEngines is the number of engines in a row that a request tries without a pause if they
	// can't be reached. After the crash of all engines there is none to go to for seconds, and the
	// allocator grants placements at them all the same.
	maxLostEngines = 2
	// lostRetryDelay is the delay until the next try after that.
	lostRetryDelay = 60 * time.Millisecond
	// retryEnginesLost is the retry delay of a request whose engines can't be reached: a server that
	// has crashed takes about that long to start again.
	retryEnginesLost = 2 * time.Second
	// reserveTimeout bounds one call for a reservation to several round trips between failure
	// domains.
	reserveTimeout = 300 * time.Millisecond
	// cleanupTimeout bounds the calls that release memory.
	cleanupTimeout = time.Second
)

// reserve finds a placement for a stream and reserves memory at its decode engine. It does so before
// the prefill, so that no prefill result is computed for which there is no memory. While no engine
// has memory, the request waits.
func (w *work) reserve(ctx context.Context) (*streamSend, *refusal) {
	if refused := w.requestSend(); refused != nil {
		return nil, refused
	}
	s, refused := w.awaitReservation(ctx)
	if refused != nil {
		w.withdrawRepeats()
	}
	return s, refused
}

// awaitReservation is reserve without the retry budget.
func (w *work) awaitReservation(ctx context.Context) (*streamSend, *refusal) {
	lost := 0 // engines that could not be reached, in a row
	for {
		grant, refused := w.placeGeneration(ctx)
		if refused != nil {
			return nil, refused
		}
		s := &streamSend{work: w, grant: grant, permissions: permissions{}}
		outcome := dispatch.OutcomeWithheld
		if !w.acquirePermissions(ctx, s.permissions, grant) {
			s.releaseWithheld()
		} else if outcome = s.reserveMemory(ctx); outcome == "" {
			return s, nil
		}
		if lost++; outcome != dispatch.OutcomeBroken {
			lost = 0
		}
		if lost > maxLostEngines && !w.awaitMemory(ctx, lostRetryDelay) && ctx.Err() == nil {
			return nil, &refusal{reason: oriolebend.ReasonNoServer, after: retryEnginesLost}
		}
		if ctx.Err() != nil {
			return nil, &refusal{reason: backend.ContextReason(ctx)}
		}
	}
}

// awaitMemory waits for the delay until the next try for memory. It returns false if the request
// has waited for long enough.
func (w *work) awaitMemory(ctx context.Context, gap time.Duration) bool {
	// Forwarders that wait for the same engine must not all retry at the same time.
	spread := 0.5 + rand.Float64()
	gap, worthwhile := retryDelay(w.waited(), time.Duration(w.route.AnswerWithin), gap, spread)
	if !worthwhile || w.remaining() < gap {
		return false
	}
	return pause.For(ctx, gap)
}

// retryDelay returns the delay until the next try of a request of the given age, where gap is the
// usual delay and spread a factor on it. It returns false if the next try would come too late: a
// request that waits for it would be refused up to twice as late as necessary.
func retryDelay(age, target, gap time.Duration, spread float64) (time.Duration, bool) {
	if age > target {
		gap = min(lateRetryFactor*gap, maxLateRetryDelay)
	}
	gap = time.Duration(spread * float64(gap))
	return gap, float64(age+gap) <= maxWaitFactor*float64(target)
}

// releaseWithheld releases a placement at a server whose reported limit has no capacity left for
// the request.
func (s *streamSend) releaseWithheld() {
	s.releasePrefill()
	s.reportEnded(s.grant, dispatch.OutcomeWithheld, 0)
}

// reserveMemory reserves memory at the server of the grant if its engine takes reservations. If it
// returns an outcome, no memory was reserved, and the grant has been released with that outcome.
func (s *streamSend) reserveMemory(ctx context.Context) dispatch.Outcome {
	limits := s.service.Engine
	if limits == nil || limits.HoldWithin <= 0 || s.info.Prompt == 0 {
		return ""
	}
	if s.f.avoidsOptionalCalls(s.grant.Server) {
		return "" // a reservation would be one more request
	}
	calling, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	output := s.info.output()
	if s.grant.Remote != 0 {
		output = s.info.reserved(placedMargin)
	}
	call := s.f.config.Dialect.Hold(s.info.Prompt+output, time.Duration(limits.HoldWithin))
	call.Freshness = maxIdleRepeatable
	status, body, err := s.f.callEngine(calling, s.grant.Server, call)
	if err == nil && status == http.StatusOK {
		s.reservation, err = s.f.config.Dialect.HoldResult(body)
	}
	if s.reservation != "" {
		return ""
	}
	s.releasePrefill()
	outcome := dispatch.OutcomeFull
	switch {
	case err != nil:
		outcome = dispatch.OutcomeBroken
		s.logSend(s.grant, "memory not reserved", status, oriolebend.ReasonServerLost, err)
	case s.f.avoidsOptionalCalls(s.grant.Server):
		outcome = dispatch.OutcomeWithheld // the engine has just reported a limit or a backoff period; it is not full
	}
	s.reportEnded(s.grant, outcome, 0)
	return outcome
}

// releasePrefill reports to the reducer that the grant's prefill engine is not used.
func (s *streamSend) releasePrefill() {
	if s.grant.Prefill != nil {
		s.f.reportPromptRead(dispatch.PrefillEnded{At: s.f.now(), Grant: s.grant, Unused: true})
	}
}

// prefill sends the prompt to the grant's prefill engine. If that fails, or the retry budget does not
// allow it, the decode engine reads the prompt itself.
func (s *streamSend) prefill(ctx context.Context) (*PrefillResult, error) {
	if s.grant.Prefill == nil {
		return nil, nil
	}
	call, granted := s.requestPrompt()
	if !granted {
		s.logSend(s.grant, "prompt not sent to its prefill engine", 0, oriolebend.ReasonRetryBudget, nil)
		s.f.returnPermission(s.permissions, *s.grant.Prefill)
		s.releasePrefill()
		return nil, nil
	}
	engine := *s.grant.Prefill
	s.prompted = true
	request := s.outgoing(engine, SendOptions{PrefillOnly: true})
	began := s.f.now()
	result, err := s.f.requestPrefill(ctx, engine, request)
	s.recordPrompt(call, err)
	took := s.f.now().Sub(began)
	s.f.reportPromptRead(dispatch.PrefillEnded{
		At: s.f.now(), Grant: s.grant, Took: took,
		Failed: err != nil && ctx.Err() == nil, Unused: ctx.Err() != nil,
	})
	if err != nil {
		s.logSend(s.grant, "prefill brought no result", 0, reasonOf(err), err)
		s.detectCrash(engine, err)
		return nil, err
	}
	s.f.reduce(dispatch.PrefillMeasured{At: s.f.now(), Need: s.expectedNeed(), Server: s.grant.Prefill, Took: took, Ahead: s.grant.Ahead})
	return &result, nil
}

// expectedNeed returns the need with the expected output instead of the reserved output.
func (s *streamSend) expectedNeed() dispatch.Need {
	need := s.grant.Need
	need.Output = s.info.expected()
	return need
}

// maxSmallBytes bounds the answers of an engine's own interface.
const maxSmallBytes = 64 << 10

// PrefillError is the error of an answer to a prefill that names no result.
type PrefillError struct{ Status int }

// Error implements error.
func (e *PrefillError) Error() string {
	return fmt.Sprintf("prefill answered with status %d", e.Status)
}

func (f *Forwarder) requestPrefill(ctx context.Context, engine message.BackendServer, request backend.Request) (PrefillResult, error) {
	response, err := f.send(ctx, engine, request)
	if err != nil {
		return PrefillResult{}, err
	}
	body, err := response.ReadBody(maxSmallBytes)
	if err != nil {
		return PrefillResult{}, err
	}
	if response.Status != http.StatusOK {
		return PrefillResult{}, &PrefillError{Status: response.Status}
	}
	return f.config.Dialect.PrefillResult(body)
}

// releaseReservation releases the reservation, if there is one.
func (s *streamSend) releaseReservation() {
	if s.reservation != "" {
		s.f.releaseMemory(s.grant.Server, s.f.config.Dialect.Drop(s.reservation))
		s.reservation = ""
	}
}

// freeResult frees a prefill result that was not used.
func (s *streamSend) freeResult(r *PrefillResult) {
	if r != nil {
		s.f.releaseMemory(*s.grant.Prefill, s.f.config.Dialect.Free(*r))
	}
}

// releaseMemory sends a call that releases engine memory in the background, after the request that
// needed it. If the call is lost, or not sent because the engine is in a backoff period or has
// reported a limit, the engine frees the memory by itself a little later.
func (f *Forwarder) releaseMemory(engine message.BackendServer, call backend.Request) {
	if f.avoidsOptionalCalls(engine) {
		return
	}
	call.Freshness = maxIdleRepeatable
	f.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		if status, _, err := f.callEngine(ctx, engine, call); err != nil || status >= http.StatusBadRequest {
			f.config.Logger.Info("engine memory not released", "address", engine.Address, "target", call.Target, "status", status, "error", err)
		}
	})
}
