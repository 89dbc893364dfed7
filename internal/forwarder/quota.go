package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Quotas counts the use of quotas by organisations over all forwarders.
type Quotas interface {
	// Take charges a request to an organisation's quota. The error is a *oriolebend.Problem, with
	// reason quota if the quota is used up and controlAway if no control VM could be asked.
	Take(ctx context.Context, c Charge) (Charge, QuotaState, error)
	// Return refunds the charge of a request that did not run. It must not block.
	Return(c Charge)
}

// Charge is what one request uses of a quota.
type Charge struct {
	Organisation string
	// Cost is in the unit of the quota; zero charges nothing.
	Cost float64
	// Call is the same for all tries of a caller at one request.
	Call uint64
	// Late is set if the caller was probably refused before and has no part of the answer; its
	// target then counts as missed.
	Late bool
	// Rank orders the organisation's requests if they exceed the quota; 0 is the most urgent.
	Rank int
	// CountedBy is the control VM that counted the charge, set by Take.
	CountedBy string
}

// QuotaState is the state of a quota at the control VM that counted a charge.
type QuotaState struct {
	// CountedBy is the control VM that counted, empty if none could be asked.
	CountedBy string
	// Left is what remained of the quota at that time, and Since how long that control VM had
	// counted.
	Left  float64
	Since time.Duration
	// Reserved is what a refused request had to leave to more urgent ranks.
	Reserved float64
}

// attributes returns the log attributes of a refused request.
func (s QuotaState) attributes(o *oriolebend.Organisation) []slog.Attr {
	if o == nil {
		return nil
	}
	return []slog.Attr{
		slog.Float64("quotaPerSecond", o.Quota.PerSecond), slog.Float64("quotaBurst", o.Quota.Burst),
		slog.Float64("quotaLeft", s.Left), slog.Float64("quotaReserved", s.Reserved), slog.String("quotaKeeper", s.CountedBy),
		slog.Int64("quotaKnownMs", s.Since.Milliseconds()),
	}
}

// charge charges the request to its organisation's quota. It returns false if it has answered the
// request itself.
func (w *work) charge(ctx context.Context) bool {
	quotas := w.f.config.Quotas
	if quotas == nil || w.organisation == nil || !w.organisation.Quota.Bounded() {
		return true
	}
	charge := Charge{
		Organisation: w.organisation.Name, Call: uint64(w.fingerprint),
		Cost: w.organisation.Quota.Cost(w.info.Prompt + w.info.Output), Late: w.retried && !w.info.Resumes,
		Rank: w.route.Rank,
	}
	taken, state, err := quotas.Take(ctx, charge)
	w.quota = state
	if err != nil {
		w.refuse(quotaRefusal(err))
		return false
	}
	w.charged = taken
	return true
}

// quotaRefusal returns the refusal for a failed charge.
func quotaRefusal(err error) refusal {
	var problem *oriolebend.Problem
	if !errors.As(err, &problem) {
		return refusal{reason: oriolebend.ReasonInternal, after: retryNotReady}
	}
	return refusal{reason: problem.Reason, after: problem.RetryAfter}
}

// refund returns the charge of a request that did not run, since its caller got nothing for it. A
// request that was sent to a prefill engine is not refunded: reading its prompt costs the engine as
// much as for a request that runs.
func (w *work) refund() {
	if w.charged.Cost > 0 && !w.prompted {
		w.f.config.Quotas.Return(w.charged)
		w.charged = Charge{}
	}
}
