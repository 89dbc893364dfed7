package standin

import "sync"

// maxOutcomes bounds the number of calls whose outcome a ledger stores.
const maxOutcomes = 100_000

// Ledger counts the executions of a service across all of its servers, so that the count
// reveals a call that two servers executed.
type Ledger struct {
	mu         sync.Mutex
	total      int
	byIdentity map[string]int
	byPayload  map[string]int
	outcomes   map[string]*ServiceAnswer // nil while the call runs
	identities []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		byIdentity: make(map[string]int),
		byPayload:  make(map[string]int),
		outcomes:   make(map[string]*ServiceAnswer),
	}
}

// Total returns the number of executed calls with side effects.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Running returns the number of calls that are being executed.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := 0
	for _, outcome := range l.outcomes {
		if outcome == nil {
			running++
		}
	}
	return running
}

// ByIdentity returns the number of executions with an identity.
func (l *Ledger) ByIdentity(identity string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byIdentity[identity]
}

// ByPayload returns the number of executions with a body.
func (l *Ledger) ByPayload(body []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byPayload[payloadHash(body)]
}

// Doubled returns the identities of calls that were executed more than once, the oldest
// first.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var doubled []string
	for _, identity := range l.identities {
		if l.byIdentity[identity] > 1 {
			doubled = append(doubled, identity)
		}
	}
	return doubled
}

// recordStart records a call as running.
func (l *Ledger) recordStart(identity string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outcomes[identity]; ok {
		return
	}
	l.outcomes[identity] = nil
	l.identities = append(l.identities, identity)
	if len(l.identities) > maxOutcomes {
		l.remove(l.identities[0])
		l.identities = l.identities[1:]
	}
}

// remove deletes an identity, so that a ledger that is used for days does not grow
// without bound.
func (l *Ledger) remove(identity string) {
	delete(l.outcomes, identity)
	delete(l.byIdentity, identity)
}

// recordExecution counts an execution and stores its outcome.
func (l *Ledger) recordExecution(a *ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.byIdentity[a.Identity]++
	l.byPayload[a.Payload]++
	a.Execution = l.byIdentity[a.Identity]
	outcome := *a
	l.outcomes[a.Identity] = &outcome
}

// outcome returns the response to an earlier call, which is nil while the call runs.
func (l *Ledger) outcome(identity string) (answer *ServiceAnswer, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, known = l.outcomes[identity]
	return answer, known
}
