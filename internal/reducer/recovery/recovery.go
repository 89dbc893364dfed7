// Package recovery implements the reducer that determines the outcome of requests whose outcome is
// lost. It runs on the leading control VM, because that VM holds all records and there is only one
// at a time. The entry processes, which carry requests, start and stop; each would have to learn of
// the records that others left behind. The reducer is pure: it uses no clock, socket or unseeded
// randomness.
//
// It never runs a request again. It sends status queries at growing intervals, and
// resolves a record only from an answer that proves the outcome: the response of the
// service's status call, or "did not run" from the gate that had the attempt and has
// closed it. That the service does not know the operation proves nothing, because the
// call may still be in flight; the record then stays unknown.
package recovery

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Default values of the fields of Config.
const (
	defaultFirstDelay   = time.Second
	defaultMaxDelay     = 5 * time.Minute
	defaultQueryTimeout = 10 * time.Second
	defaultInFlight     = 16
)

// Bounds of the HTTP status codes that prove an outcome, those of success: statusOK is the first
// such code, statusLimit the first one beyond.
const (
	statusOK    = 200
	statusLimit = 300
)

// Config sets the rate of the status queries.
type Config struct {
	// FirstDelay is the upper limit of the random delay before the first query about a record; it
	// doubles with each query up to MaxDelay. Zero means 1s and 5m.
	FirstDelay time.Duration
	MaxDelay   time.Duration
	// QueryTimeout is the timeout of a query; zero means 10s.
	QueryTimeout time.Duration
	// InFlight bounds the queries in flight; zero means 16.
	InFlight int
	// Seed seeds the random delays.
	Seed uint64
}

// Event is an input of Reduce. At is the time of the event.
type Event interface{ recoveryEvent() }

// Listed is the list of unknown records whose service has a status call that can tell the
// outcome. It comes at least every second; a record that is no longer in it is dropped.
type Listed struct {
	At      time.Time
	Unknown []record.UnknownRequest
}

// StatusAnswered is the answer of a gate to a QueryStatus: a message.CallAnswer with the response
// of the service, a message.Refusal, or nil if no gate could be queried.
type StatusAnswered struct {
	At        time.Time
	RequestID string
	Attempt   uint32
	Answer    message.Message
}

// Stopped reports that this control VM no longer leads.
type Stopped struct{}

func (Listed) recoveryEvent()         {}
func (StatusAnswered) recoveryEvent() {}
func (Stopped) recoveryEvent()        {}

// Effect is an action for the control VM to carry out.
type Effect interface{ recoveryEffect() }

// QueryStatus queries the gate of a server for the outcome, or any gate of the service if the
// server has no gate any more; StatusAnswered follows. Only the server's own gate can answer that
// the attempt did not run: the answer of another gate is a status or nil.
type QueryStatus struct {
	Server  string
	Service string
	Query   message.StatusQuery
}

// Resolve proposes an outcome to the log.
type Resolve struct{ Resolve record.Resolve }

// Count adds one to the counter of queries with the given result.
type Count struct{ Reason oriolebend.Reason }

func (QueryStatus) recoveryEffect() {}
func (Resolve) recoveryEffect()     {}
func (Count) recoveryEffect()       {}

// State holds the records whose outcome is queried. inFlight is the number of queries in flight.
type State struct {
	config   Config
	random   *rand.Rand
	records  map[string]*pending
	inFlight int
}

// pending is one record whose outcome is queried. queries is the number of queries sent so far;
// next is the time of the next query or, while one is in flight, of its timeout.
type pending struct {
	unknown  record.UnknownRequest
	queries  int
	next     time.Time
	inFlight bool
}

// New returns a state without records.
func New(c Config) *State {
	c.FirstDelay = orDefault(c.FirstDelay, defaultFirstDelay)
	c.MaxDelay = orDefault(c.MaxDelay, defaultMaxDelay)
	c.QueryTimeout = orDefault(c.QueryTimeout, defaultQueryTimeout)
	c.InFlight = orDefault(c.InFlight, defaultInFlight)
	return &State{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, 0)),
		records: map[string]*pending{},
	}
}

func orDefault[T int | time.Duration](value, other T) T {
	if value <= 0 {
		return other
	}
	return value
}

// Reduce applies one event to the state and returns the effects to carry out.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Listed:
		s.updateRecords(e)
		return s.sendQueries(e.At)
	case StatusAnswered:
		return s.handleAnswer(e)
	case Stopped:
		clear(s.records)
		s.inFlight = 0
	}
	return nil
}

// updateRecords adds new records, drops those that are no longer unknown, and replaces those with
// a new attempt.
func (s *State) updateRecords(e Listed) {
	listed := map[string]bool{}
	for _, u := range e.Unknown {
		listed[u.RequestID] = true
		p, ok := s.records[u.RequestID]
		if ok && p.unknown.Attempt == u.Attempt {
			continue
		}
		s.forget(u.RequestID)
		s.records[u.RequestID] = &pending{unknown: u, next: e.At.Add(s.delay(0))}
	}
	for id := range s.records {
		if !listed[id] {
			s.forget(id)
		}
	}
}

func (s *State) forget(id string) {
	if p, ok := s.records[id]; ok && p.inFlight {
		s.inFlight--
	}
	delete(s.records, id)
}

// delay returns the delay before the next query, with full jitter: the queries about all records
// that one lost server left behind must not be sent at the same time.
func (s *State) delay(queries int) time.Duration {
	limit := s.config.MaxDelay
	if queries < 16 {
		limit = min(limit, s.config.FirstDelay<<queries)
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}

// sendQueries sends the queries that are due, the longest overdue first.
func (s *State) sendQueries(at time.Time) []Effect {
	effects := s.expireQueries(at)
	for _, p := range s.due(at) {
		if s.inFlight >= s.config.InFlight {
			break
		}
		effects = append(effects, s.query(p, at))
	}
	return effects
}

// expireQueries ends the queries whose timeout has passed.
func (s *State) expireQueries(at time.Time) []Effect {
	var effects []Effect
	for _, p := range s.due(at) {
		if !p.inFlight {
			continue
		}
		s.endQuery(p, at)
		effects = append(effects, Count{Reason: oriolebend.ReasonDeadline})
	}
	return effects
}

// endQuery ends the query about a record, if any, and schedules the next one.
func (s *State) endQuery(p *pending, at time.Time) {
	if p.inFlight {
		p.inFlight = false
		s.inFlight--
	}
	p.next = at.Add(s.delay(p.queries))
}

func (s *State) due(at time.Time) []*pending {
	var due []*pending
	for _, p := range s.records {
		if !p.next.After(at) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *pending) int {
		if c := a.next.Compare(b.next); c != 0 {
			return c
		}
		return strings.Compare(a.unknown.RequestID, b.unknown.RequestID)
	})
	return due
}

func (s *State) query(p *pending, at time.Time) Effect {
	p.inFlight = true
	p.queries++
	p.next = at.Add(s.config.QueryTimeout)
	s.inFlight++
	u := p.unknown
	identity := u.Status.Identity
	if identity == "" {
		identity = u.RequestID
	}
	return QueryStatus{
		Server:  u.Server,
		Service: u.Status.Service,
		Query: message.StatusQuery{
			Attempt:  message.Attempt{RequestID: u.RequestID, Number: u.Attempt},
			Path:     u.Status.Path,
			Identity: identity,
		},
	}
}

// handleAnswer resolves a record from an answer, or counts why it could not; the record is then
// queried again later.
func (s *State) handleAnswer(e StatusAnswered) []Effect {
	p, ok := s.records[e.RequestID]
	if !ok || p.unknown.Attempt != e.Attempt {
		return nil
	}
	s.endQuery(p, e.At)
	resolve := record.Resolve{RequestID: e.RequestID, Attempt: e.Attempt}
	switch a := e.Answer.(type) {
	case message.CallAnswer:
		if a.Status < statusOK || a.Status >= statusLimit {
			return []Effect{Count{Reason: oriolebend.ReasonOutcomeLost}}
		}
		resolve.State = message.RecordAnswered
		resolve.Answer = &message.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
	case message.Refusal:
		if a.Ran != oriolebend.RanNo {
			return []Effect{Count{Reason: a.Reason}}
		}
		resolve.State = message.RecordNotRun
		resolve.Answer = &message.Answer{Reason: a.Reason}
	default:
		return []Effect{Count{Reason: oriolebend.ReasonServerLost}}
	}
	return []Effect{Resolve{Resolve: resolve}}
}
