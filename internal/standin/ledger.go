package standin

import "sync"

// keptOutcomes bounds the calls that a ledger remembers.
const keptOutcomes = 100_000

// Ledger counts the executions of a service over all its servers: a call that
// was executed by two of them shows.
type Ledger struct {
	mu         sync.Mutex
	total      int
	byIdentity map[string]int
	byPayload  map[string]int
	outcomes   map[string]*ServiceAnswer // nil while the call runs
	kept       []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		byIdentity: make(map[string]int),
		byPayload:  make(map[string]int),
		outcomes:   make(map[string]*ServiceAnswer),
	}
}

// Total returns how many calls with side effects were executed.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Running returns how many calls are being executed now.
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

// ByIdentity returns how many executions carried an identity.
func (l *Ledger) ByIdentity(identity string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byIdentity[identity]
}

// ByPayload returns how many executions carried a body.
func (l *Ledger) ByPayload(body []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byPayload[payloadHash(body)]
}

// Doubled returns the identities that were executed more than once, oldest
// first.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var doubled []string
	for _, identity := range l.kept {
		if l.byIdentity[identity] > 1 {
			doubled = append(doubled, identity)
		}
	}
	return doubled
}

// begin remembers a call as running.
func (l *Ledger) begin(identity string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outcomes[identity]; ok {
		return
	}
	l.outcomes[identity] = nil
	l.kept = append(l.kept, identity)
	if len(l.kept) > keptOutcomes {
		l.forget(l.kept[0])
		l.kept = l.kept[1:]
	}
}

// forget drops an identity, so that a ledger of days does not grow without
// bound.
func (l *Ledger) forget(identity string) {
	delete(l.outcomes, identity)
	delete(l.byIdentity, identity)
}

// end counts an execution and keeps its outcome.
func (l *Ledger) end(a *ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.byIdentity[a.Identity]++
	l.byPayload[a.Payload]++
	a.Execution = l.byIdentity[a.Identity]
	outcome := *a
	l.outcomes[a.Identity] = &outcome
}

// outcome returns the answer of an earlier call, nil while it runs.
func (l *Ledger) outcome(identity string) (answer *ServiceAnswer, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, known = l.outcomes[identity]
	return answer, known
}
