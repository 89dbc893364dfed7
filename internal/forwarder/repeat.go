package forwarder

import (
	"errors"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// recordArrival records that the request is about to reach a server. Every arrival after the first
// is a repeat.
func (w *work) recordArrival(kind dispatch.RepeatKind) {
	if w.arrivals++; w.arrivals > 1 {
		w.reportRepeat(kind)
	}
}

// recordNotArrived takes an arrival back if the send failed before anything was written.
func (w *work) recordNotArrived(err error) {
	if w.arrivals > 0 && notWritten(err) {
		w.arrivals--
	}
}

// recordPrompt records that a prefill engine was sent the prompt, and how it answered. The first
// prompt that an engine accepts is not a repeat; one that an engine rejects is.
func (w *work) recordPrompt(err error) {
	switch {
	case notWritten(err):
	case rejectsPrompt(err):
		w.reportRepeat(dispatch.RepeatRejectedPrompt)
	case w.promptAccepted:
		w.reportRepeat(dispatch.RepeatPrompt)
	default:
		w.promptAccepted = true
	}
}

// notWritten reports whether an exchange failed before anything was written.
func notWritten(err error) bool {
	var e *backend.Error
	return errors.As(err, &e) && e.Ran == oriolebend.RanNo
}

// rejectsPrompt reports whether a prefill engine may have rejected a prompt: it answered so, or its
// answer is lost.
func rejectsPrompt(err error) bool {
	var answered *PrefillError
	if errors.As(err, &answered) {
		return promisesNotRun(answered.Status)
	}
	return err != nil && reasonOf(err) == oriolebend.ReasonOutcomeLost
}

// reportRepeat counts and logs one repeat, with the state of the retry budget.
func (w *work) reportRepeat(kind dispatch.RepeatKind) {
	if w.f.config.Repeated != nil {
		w.f.config.Repeated(w.service.Name, kind)
	}
	budget := w.f.retryBudget(w.service.Name)
	w.f.config.Logger.Info("server gets a repeat", append([]any{"request", w.info.ID, "kind", kind}, budgetAttributes(budget)...)...)
}

// RetryBudgets returns the state of the retry budget of each service.
func (f *Forwarder) RetryBudgets() []dispatch.BudgetStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.RetryBudgets(f.now())
}

// retryBudget returns the state of the retry budget of a service.
func (f *Forwarder) retryBudget(service string) dispatch.BudgetStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.RetryBudget(f.now(), service)
}

func budgetAttributes(b dispatch.BudgetStatus) []any {
	return []any{
		"service", b.Service, "requests", b.Requests, "spent", b.Spent, "allowed", b.Allowed,
		"forwarders", b.Forwarders, "forwardersAgeMs", b.ForwardersAge.Milliseconds(),
	}
}
