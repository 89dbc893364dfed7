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

// PathStatus is the path prefix under which a service returns the outcome of an
// earlier call: /status/{identity}.
const PathStatus = "/status/"

// HeaderIdentity is the header with the identity of a call.
const HeaderIdentity = "Idempotency-Key"

// maxCallBytes bounds the body of a call.
const maxCallBytes = 8 << 20

// ServiceConfig describes a stand-in plain service.
type ServiceConfig struct {
	// Name is included in each response.
	Name string
	// Delay is the duration of an execution.
	Delay time.Duration
	// Ledger is shared by the servers of one service, like a common database; nil
	// means a ledger that only this server uses.
	Ledger *Ledger
}

// ServiceAnswer is the response body of a service.
type ServiceAnswer struct {
	Service  string `json:"service"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Identity string `json:"identity,omitempty"`
	// Payload is the hash of the body of the call.
	Payload string `json:"payload"`
	// Execution counts the executions with this identity, from 1.
	Execution int `json:"execution"`
}

// Fault is a fault that is injected into one call of a service.
type Fault string

// Faults of a service.
const (
	// FaultBefore aborts the connection before the call is executed.
	FaultBefore Fault = "before"
	// FaultAfter aborts the connection after the execution, so that the response is
	// lost.
	FaultAfter Fault = "after"
	// FaultDuring aborts the connection while the call is executed. The execution
	// continues.
	FaultDuring Fault = "during"
	// FaultHalf aborts the connection in the middle of the response body.
	FaultHalf Fault = "half"
	// FaultStatus responds with status 503 and does not execute the call.
	FaultStatus Fault = "status"
)

// Service is a stand-in plain service. It executes and counts every call that it
// receives, including repeated ones, so that the count reveals a call that the router
// sent twice. An execution continues after its caller has disconnected.
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

// Handler serves the service over HTTP. Calls with GET and HEAD have no side effects
// and are not counted. Calls with any other method are counted.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus+"{identity}", s.serveStatus)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// SetDelay sets the duration of an execution.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// FailNext injects the faults into the next calls, one fault into each call.
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
		s.recordStart(answer.Identity)
		go s.execute(&answer)
		panic(http.ErrAbortHandler)
	case FaultStatus:
		http.Error(w, "fault", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.execute(&answer)
	}
	s.writeAnswer(w, answer, fault)
}

// execute waits for the duration of a call and then counts the call.
func (s *Service) execute(a *ServiceAnswer) {
	s.recordStart(a.Identity)
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.recordExecution(a)
}

// nextFault removes and returns the fault for the next call, or "" if there is none.
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

func (s *Service) writeAnswer(w http.ResponseWriter, a ServiceAnswer, fault Fault) {
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

// serveStatus returns the outcome of an earlier call: 200 with its response once the
// call was executed, 409 while it runs, 404 if it was never received.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	outcome, known := s.outcome(r.PathValue("identity"))
	switch {
	case !known:
		http.Error(w, "no such call", http.StatusNotFound)
	case outcome == nil:
		http.Error(w, "the call runs", http.StatusConflict)
	default:
		s.writeAnswer(w, *outcome, "")
	}
}

func payloadHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
