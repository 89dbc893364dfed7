package forwarder

import (
	"errors"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// countRequest counts the request for the retry budget of its service.
func (w *work) countRequest() {
	w.f.reduce(dispatch.RequestCounted{At: w.f.now(), Service: w.service.Name})
}

// requestSend counts the next send as a repeat if an earlier one has reached a server, or may have.
// It returns a refusal if no send is of use now or the retry budget has no room for it. If the send
// is not made, withdrawRepeats must follow.
func (w *work) requestSend() *refusal {
	if w.arrivals == 0 {
		return nil
	}
	if refused, closed := w.allClosed(); closed {
		return &refused
	}
	counted := w.f.now()
	if r, refused := w.f.reduce(dispatch.RepeatRequested{At: counted, Service: w.service.Name})[0].(dispatch.Refused); refused {
		return &refusal{reason: r.Reason, after: r.RetryAfter}
	}
	w.repeats = append(w.repeats, counted)
	return nil
}

// requestResend counts a further send to the same server, if it is allowed.
func (s *streamSend) requestResend() bool {
	counted := s.f.now()
	if _, granted := s.f.reduce(dispatch.ResendRequested{At: counted, Grant: s.grant})[0].(dispatch.Granted); !granted {
		return false
	}
	s.repeats = append(s.repeats, counted)
	return true
}

// recordArrival records that the request is about to reach a server. Every arrival after the first
// is a repeat, and was counted.
func (w *work) recordArrival(kind dispatch.RepeatKind) {
	if w.arrivals++; w.arrivals > 1 {
		w.reportRepeat(kind)
	}
}

// recordNotArrived takes an arrival back if the send failed before anything was written.
func (w *work) recordNotArrived(err error) {
	if w.arrivals > 0 && ranOf(err) == oriolebend.RanNo {
		w.arrivals--
		w.withdrawRepeats()
	}
}

// withdrawRepeats withdraws repeats that were counted for sends that were not made.
func (w *work) withdrawRepeats() {
	for len(w.repeats) > max(0, w.arrivals-1) {
		last := len(w.repeats) - 1
		w.withdrawRepeat(w.repeats[last])
		w.repeats = w.repeats[:last]
	}
}

func (w *work) withdrawRepeat(counted time.Time) {
	w.f.reduce(dispatch.RepeatWithdrawn{At: w.f.now(), Service: w.service.Name, Counted: counted})
}

// promptCall is one permission to send the prompt to a prefill engine.
type promptCall struct {
	// repeats is set if the prompt is sent after an engine has accepted it. Such a call is a repeat,
	// and was counted.
	repeats bool
	counted time.Time
}

// requestPrompt asks whether the prompt may be sent to a prefill engine. If not, the decode engine
// reads it.
func (w *work) requestPrompt() (promptCall, bool) {
	call := promptCall{repeats: w.promptAccepted, counted: w.f.now()}
	var event dispatch.Event = dispatch.PromptRequested{At: call.counted, Service: w.service.Name}
	if call.repeats {
		event = dispatch.RepeatRequested{At: call.counted, Service: w.service.Name}
	}
	_, granted := w.f.reduce(event)[0].(dispatch.Granted)
	return call, granted
}

// recordPrompt records how a prompt call ended. The first prompt that an engine accepts is not a
// repeat; one that an engine rejects is.
func (w *work) recordPrompt(call promptCall, err error) {
	switch {
	case ranOf(err) == oriolebend.RanNo:
		if call.repeats {
			w.withdrawRepeat(call.counted)
		}
	case rejectsPrompt(err):
		if !call.repeats {
			w.f.reduce(dispatch.PromptRejected{At: w.f.now(), Service: w.service.Name})
		}
		w.reportRepeat(dispatch.RepeatRejectedPrompt)
	case call.repeats:
		w.reportRepeat(dispatch.RepeatPrompt)
	default:
		w.promptAccepted = true
	}
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
