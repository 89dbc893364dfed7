package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Quotas counts what organisations ask for over all forwarders.
type Quotas interface {
	// Take takes what a request costs from an organisation's quota. The error is a
	// *oriolebend.Problem, with reason quota if the organisation has used it up and
	// controlAway if nobody could be asked.
	Take(ctx context.Context, c Charge) (Charge, QuotaState, error)
	// Return gives back what a request has taken that did not run. It must not block.
	Return(c Charge)
}

// Charge is what one request takes of a quota.
type Charge struct {
	Organisation string
	// Cost is in the unit of the quota; zero takes nothing.
	Cost float64
	// Call is the same for all tries of a caller at one request.
	Call uint64
	// Late is set if the caller was refused before, and has missed its target.
	Late bool
	// Keeper is who counted it, set by Take.
	Keeper string
}

// QuotaState is what whoever counted a charge knew of the quota.
type QuotaState struct {
	// Keeper is who counted, empty if nobody could be asked.
	Keeper string
	// Left is what could be taken then, and Since for how long the keeper has counted.
	Left  float64
	Since time.Duration
}

// attributes are those of the line of a refused request.
func (s QuotaState) attributes(o *oriolebend.Organisation) []slog.Attr {
	if o == nil {
		return nil
	}
	return []slog.Attr{
		slog.Float64("quotaPerSecond", o.Quota.PerSecond), slog.Float64("quotaBurst", o.Quota.Burst),
		slog.Float64("quotaLeft", s.Left), slog.String("quotaKeeper", s.Keeper),
		slog.Int64("quotaKnownMs", s.Since.Milliseconds()),
	}
}

// charge takes what the request costs from its organisation's quota; false means that it
// has been answered.
func (w *work) charge(ctx context.Context) bool {
	quotas := w.f.config.Quotas
	if quotas == nil || w.organisation == nil || !w.organisation.Quota.Bounded() {
		return true
	}
	charge := Charge{
		Organisation: w.organisation.Name, Call: uint64(w.fingerprint),
		Cost: w.organisation.Quota.Cost(w.ask.Prompt + w.ask.Output), Late: w.returned && !w.ask.Resumes,
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

// quotaRefusal tells the caller of a charge that could not be made.
func quotaRefusal(err error) refusal {
	var problem *oriolebend.Problem
	if !errors.As(err, &problem) {
		return refusal{reason: oriolebend.ReasonInternal, after: retryUnready}
	}
	return refusal{reason: problem.Reason, after: problem.RetryAfter}
}

// refund gives back what a request has taken that did not run: it got nothing for it. One
// whose prompt was read has cost an engine as much as one that ran.
func (w *work) refund() {
	if w.charged.Cost > 0 && !w.prompted {
		w.f.config.Quotas.Return(w.charged)
		w.charged = Charge{}
	}
}
