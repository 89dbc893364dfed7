// Package recovery is the reducer that finds out what became of requests whose
// outcome is lost. It runs on the leading control VM, which has all records at
// hand and is one at a time; entries come and go, and would each have to learn
// of records that others left behind. It is pure: no clock, socket or unseeded
// randomness.
//
// It never runs a request again. It asks, at growing intervals, and settles
// only what it was told: an outcome by the service's status call, or "did not
// run" by the gate that had the attempt and has closed it. That the service
// does not know the operation proves nothing, for the call may still be on its
// way; the record then stays unknown.
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

// Defaults of Config.
const (
	defaultFirst    = time.Second
	defaultMax      = 5 * time.Minute
	defaultAskFor   = 10 * time.Second
	defaultInFlight = 16
)

// HTTP status codes of a status call that tell an outcome: any success.
const (
	statusOK    = 200
	statusLimit = 300
)

// Config sets the pace of asking.
type Config struct {
	// First is the largest wait before the first question; it doubles with
	// each up to Max. Zero means 1s and 5m.
	First time.Duration
	Max   time.Duration
	// AskFor is how long an answer may take; zero means 10s.
	AskFor time.Duration
	// InFlight bounds the questions asked at a time; zero means 16.
	InFlight int
	// Seed is that of the jitter.
	Seed uint64
}

// Event is something that happened; At is when.
type Event interface{ recoveryEvent() }

// Listed is the list of unknown records whose service can tell the outcome. It
// comes at least every second; a record that is not in it is done with.
type Listed struct {
	At      time.Time
	Unknown []record.UnknownRequest
}

// Told is the answer of a gate to a question: a message.CallAnswer with the
// service's status, a message.Refusal, or nothing if it could not be asked.
type Told struct {
	At        time.Time
	RequestID string
	Attempt   uint32
	Answer    message.Message
}

// Stopped tells that this control VM does not lead any more.
type Stopped struct{}

func (Listed) recoveryEvent()  {}
func (Told) recoveryEvent()    {}
func (Stopped) recoveryEvent() {}

// Effect is something that the control VM is to do.
type Effect interface{ recoveryEffect() }

// Ask asks the gate of a server, or if that is gone any gate of the service,
// for the outcome; Told follows. Only the server's own gate can say that the
// attempt did not run: the answer of another gate is a status or nothing.
type Ask struct {
	Server  string
	Service string
	Query   message.StatusQuery
}

// Resolve proposes the outcome to the log.
type Resolve struct{ Resolve record.Resolve }

// Count adds one to the counter of questions by what came of them.
type Count struct{ Reason oriolebend.Reason }

func (Ask) recoveryEffect()     {}
func (Resolve) recoveryEffect() {}
func (Count) recoveryEffect()   {}

// State is the records that are being asked about.
type State struct {
	config  Config
	random  *rand.Rand
	records map[string]*question
	asking  int
}

// question is one record that is being asked about.
type question struct {
	unknown record.UnknownRequest
	asked   int
	next    time.Time
	asking  bool
}

// New returns a state that asks about nothing.
func New(c Config) *State {
	c.First = orDefault(c.First, defaultFirst)
	c.Max = orDefault(c.Max, defaultMax)
	c.AskFor = orDefault(c.AskFor, defaultAskFor)
	c.InFlight = orDefault(c.InFlight, defaultInFlight)
	return &State{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, 0)),
		records: map[string]*question{},
	}
}

func orDefault[T int | time.Duration](value, other T) T {
	if value <= 0 {
		return other
	}
	return value
}

// Reduce takes one event and returns what is to be done.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Listed:
		s.list(e)
		return s.ask(e.At)
	case Told:
		return s.told(e)
	case Stopped:
		clear(s.records)
		s.asking = 0
	}
	return nil
}

// list takes new records in and forgets those that are unknown no more, or
// whose later attempt is.
func (s *State) list(e Listed) {
	listed := map[string]bool{}
	for _, u := range e.Unknown {
		listed[u.RequestID] = true
		q, ok := s.records[u.RequestID]
		if ok && q.unknown.Attempt == u.Attempt {
			continue
		}
		s.forget(u.RequestID)
		s.records[u.RequestID] = &question{unknown: u, next: e.At.Add(s.wait(0))}
	}
	for id := range s.records {
		if !listed[id] {
			s.forget(id)
		}
	}
}

func (s *State) forget(id string) {
	if q, ok := s.records[id]; ok && q.asking {
		s.asking--
	}
	delete(s.records, id)
}

// wait is the time before a question, with full jitter: what one lost server
// left behind must not come to its successor all at once.
func (s *State) wait(asked int) time.Duration {
	limit := s.config.Max
	if asked < 16 {
		limit = min(limit, s.config.First<<asked)
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}

// ask puts the questions that are due, the longest due first.
func (s *State) ask(at time.Time) []Effect {
	effects := s.giveUp(at)
	for _, q := range s.due(at) {
		if s.asking >= s.config.InFlight {
			break
		}
		effects = append(effects, s.put(q, at))
	}
	return effects
}

// giveUp ends the wait for answers that did not come in time.
func (s *State) giveUp(at time.Time) []Effect {
	var effects []Effect
	for _, q := range s.due(at) {
		if !q.asking {
			continue
		}
		s.answered(q, at)
		effects = append(effects, Count{Reason: oriolebend.ReasonDeadline})
	}
	return effects
}

// answered notes that nothing is asked about a record and when to ask again.
func (s *State) answered(q *question, at time.Time) {
	if q.asking {
		q.asking = false
		s.asking--
	}
	q.next = at.Add(s.wait(q.asked))
}

func (s *State) due(at time.Time) []*question {
	var due []*question
	for _, q := range s.records {
		if !q.next.After(at) {
			due = append(due, q)
		}
	}
	slices.SortFunc(due, func(a, b *question) int {
		if c := a.next.Compare(b.next); c != 0 {
			return c
		}
		return strings.Compare(a.unknown.RequestID, b.unknown.RequestID)
	})
	return due
}

func (s *State) put(q *question, at time.Time) Effect {
	q.asking = true
	q.asked++
	q.next = at.Add(s.config.AskFor)
	s.asking++
	u := q.unknown
	identity := u.Status.Identity
	if identity == "" {
		identity = u.RequestID
	}
	return Ask{
		Server:  u.Server,
		Service: u.Status.Service,
		Query: message.StatusQuery{
			Attempt:  message.Attempt{RequestID: u.RequestID, Number: u.Attempt},
			Path:     u.Status.Path,
			Identity: identity,
		},
	}
}

// told settles a record by an answer, or has it asked about again later.
func (s *State) told(e Told) []Effect {
	q, ok := s.records[e.RequestID]
	if !ok || q.unknown.Attempt != e.Attempt {
		return nil
	}
	s.answered(q, e.At)
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
