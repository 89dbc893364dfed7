package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PathStatus is the path under which a service tells the outcome of an
// earlier call: /status/{identity}.
const PathStatus = "/status/"

// HeaderIdentity carries the identity of a call.
const HeaderIdentity = "Idempotency-Key"

// maxCallBytes bounds the body of a call.
const maxCallBytes = 8 << 20

// ServiceConfig describes a stand-in plain service.
type ServiceConfig struct {
	// Name is put into each answer.
	Name string
	// Delay is how long an execution takes.
	Delay time.Duration
	// Ledger is shared by the servers of one service, as their database; nil
	// means one of the server's own.
	Ledger *Ledger
}

// ServiceAnswer is the body of a service's answer.
type ServiceAnswer struct {
	Service  string `json:"service"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Identity string `json:"identity,omitempty"`
	// Payload is the hash of the call's body.
	Payload string `json:"payload"`
	// Execution counts the executions with this identity, from 1.
	Execution int `json:"execution"`
}

// Fault is what goes wrong with one call of a service.
type Fault string

// Faults of a service.
const (
	// FaultBefore breaks the connection off before the call is executed.
	FaultBefore Fault = "before"
	// FaultAfter breaks it off after the execution: the answer is lost.
	FaultAfter Fault = "after"
	// FaultDuring breaks it off while the call is executed, which goes on.
	FaultDuring Fault = "during"
	// FaultHalf breaks it off in the middle of the answer's body.
	FaultHalf Fault = "half"
	// FaultStatus executes nothing and answers 503.
	FaultStatus Fault = "status"
)

// Service is a stand-in plain service. It executes every call that reaches
// it, also one that it has seen before, and counts: a call that the router
// lets through twice shows. An execution goes on when its caller is gone.
type Service struct {
	*Ledger
	config ServiceConfig

	mu     sync.Mutex
	delay  time.Duration
	faults []Fault
}

// NewService returns a service.
func NewService(c ServiceConfig) *Service {
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return &Service{Ledger: c.Ledger, config: c, delay: c.Delay}
}

// Handler serves the service over HTTP. GET and HEAD have no side effect and
// are not counted; every other method is.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus+"{identity}", s.serveStatus)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// SetDelay changes how long an execution takes.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// FailNext makes the next calls meet these faults, one each.
func (s *Service) FailNext(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	answer := ServiceAnswer{
		Service:  s.config.Name,
		Method:   r.Method,
		Path:     r.URL.Path,
		Identity: r.Header.Get(HeaderIdentity),
		Payload:  payloadHash(body),
	}
	fault := s.nextFault()
	switch fault {
	case FaultBefore:
		panic(http.ErrAbortHandler)
	case FaultDuring:
		s.begin(answer.Identity)
		go s.execute(&answer)
		panic(http.ErrAbortHandler)
	case FaultStatus:
		http.Error(w, "fault", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.execute(&answer)
	}
	s.answer(w, answer, fault)
}

// execute spends the time of a call and counts it.
func (s *Service) execute(a *ServiceAnswer) {
	s.begin(a.Identity)
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.end(a)
}

func (s *Service) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return ""
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *Service) answer(w http.ResponseWriter, a ServiceAnswer, fault Fault) {
	if fault == FaultAfter {
		panic(http.ErrAbortHandler)
	}
	text, _ := json.Marshal(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if fault == FaultHalf {
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}

// serveStatus tells the outcome of an earlier call: 200 with its answer once
// it was executed, 409 while it runs, 404 if it never came.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	outcome, known := s.outcome(r.PathValue("identity"))
	switch {
	case !known:
		http.Error(w, "no such call", http.StatusNotFound)
	case outcome == nil:
		http.Error(w, "the call runs", http.StatusConflict)
	default:
		s.answer(w, *outcome, "")
	}
}

func payloadHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
