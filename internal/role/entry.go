package role

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Records is the entry's view of the request records on the control VMs.
// Errors are *oriolebend.Problem values, whose Ran is truthful.
type Records interface {
	Claim(ctx context.Context, c message.Claim) (message.ClaimAnswer, error)
	Settle(ctx context.Context, s message.Settle) (message.Settled, error)
	Query(ctx context.Context, q message.Query) (message.ClaimAnswer, error)
}

// Observer is told of counts and measures; metrics implement it.
type Observer interface {
	// Count adds one to a counter.
	Count(what string, reason oriolebend.Reason, organisation string)
	// Observe records a measure of one request.
	Observe(what string, urgency oriolebend.Urgency, value float64)
}

// recordWithin bounds one call to the control VMs. It is longer than an
// election takes, so that a leader change delays a request and does not fail
// it.
const recordWithin = 5 * time.Second

// EntryConfig sets up an Entry.
type EntryConfig struct {
	Reducer  entry.Config
	Follow   follow.Config
	Dialer   peer.Dialer
	Records  Records
	Observer Observer
	Logger   *slog.Logger
}

// Entry is the role that takes callers' requests; it implements
// caller.Router.
type Entry struct {
	config   EntryConfig
	loop     *Loop
	follower *Follower
	ctx      context.Context
	// drained is closed once a stopping entry has no request left.
	drained     chan struct{}
	drainedOnce sync.Once

	mu       sync.Mutex
	answers  map[string]*answerLog
	sessions map[entry.SessionKey]*entrySession
	servers  map[string]oriolebend.Server
	stopping bool
	// served is when a server that answers requests, and not only reads their
	// prompts, first took new work; zero if none has.
	served time.Time
}

// NewEntry returns an entry; Run starts it.
func NewEntry(c EntryConfig) *Entry {
	e := &Entry{
		config:   c,
		drained:  make(chan struct{}),
		answers:  map[string]*answerLog{},
		sessions: map[entry.SessionKey]*entrySession{},
		servers:  map[string]oriolebend.Server{},
	}
	e.follower = NewFollower(FollowerConfig{
		Reducer:  c.Follow,
		Dialer:   c.Dialer,
		Apply:    func(_ declared.View, changed follow.Changed) { e.Servers(changed.Servers, changed.Complete) },
		Observer: c.Observer,
	})
	state := &reducer.State{Entry: entry.New(c.Reducer), Follow: e.follower.State}
	e.loop = NewLoop(state, e.perform, e.follower.Tick(), Tick{
		Every: entry.TickEvery,
		Event: func(at time.Time) reducer.Event { return entry.Ticked{At: at} },
	})
	return e
}

// Run serves requests until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	e.ctx = ctx
	e.follower.Start(ctx, e.loop.Post)
	e.loop.Run(ctx)
}

// Stop refuses new requests and returns once those in progress have ended, or
// ctx has.
func (e *Entry) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.loop.Post(entry.Stopping{At: time.Now()})
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready implements caller.Router. An entry becomes ready with the first server
// that can answer. It stays so when all of them go, since its refusals then
// tell callers more than a balancer without entries would.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopping && !e.served.IsZero()
}

// settleAfter is how long the first announcements of a fleet take: two periods of
// a sidecar's announcements.
const settleAfter = 2 * announceEvery

// Settled implements caller.Router. Servers announce themselves one after the
// other; a model that none has announced yet must not be told as unknown.
func (e *Entry) Settled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.served.IsZero() && time.Since(e.served) >= settleAfter
}

// serving counts the servers that take new work.
func (e *Entry) serving() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, s := range e.servers {
		if s.State == oriolebend.ServerServing {
			count++
		}
	}
	return count
}

// Servers tells the entry of servers that are new, changed or gone.
func (e *Entry) Servers(servers []oriolebend.Server, whole bool) {
	e.mu.Lock()
	if whole {
		clear(e.servers)
	}
	for _, s := range servers {
		if s.State == oriolebend.ServerGone {
			delete(e.servers, s.Name)
			continue
		}
		e.servers[s.Name] = s
		if e.served.IsZero() && s.State == oriolebend.ServerServing && s.Role != oriolebend.Prefill {
			e.served = time.Now()
		}
	}
	e.mu.Unlock()
	e.loop.Post(entry.ServersChanged{At: time.Now(), Servers: servers, Complete: whole})
}

// Models implements caller.Router.
func (e *Entry) Models() []oriolebend.LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uniqueModels(e.servers)
}

// Record implements caller.Router.
func (e *Entry) Record(ctx context.Context, organisation, requestID string) (message.ClaimAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, recordWithin)
	defer cancel()
	return e.config.Records.Query(ctx, message.Query{RequestID: requestID, Organisation: organisation})
}

// Submit implements caller.Router.
func (e *Entry) Submit(ctx context.Context, r entry.Request) <-chan caller.Chunk {
	log := newAnswerLog(r)
	e.mu.Lock()
	e.answers[r.ID] = log
	e.mu.Unlock()
	out := make(chan caller.Chunk)
	e.loop.Post(entry.Arrived{At: time.Now(), Request: r})
	go e.deliver(ctx, log, out)
	return out
}

// deliver hands the chunks of an answer to its caller, until the last one or
// until the caller left.
func (e *Entry) deliver(ctx context.Context, log *answerLog, out chan<- caller.Chunk) {
	defer close(out)
	e.read(ctx, log, func(c caller.Chunk) {
		select {
		case out <- c:
		case <-ctx.Done():
		}
	})
}

// forget drops an answer that nobody reads, unless its request goes on. A
// reader that found it just before is told so; it would wait for ever else.
func (e *Entry) forget(requestID string, log *answerLog) {
	if log.keep {
		return
	}
	log.append(problemChunk(requestID, oriolebend.ReasonCallerCancelled, oriolebend.RanUnknown, "the caller that ran this request left"))
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.answers, requestID)
}

// answer adds a chunk to the answer of a request. The last one takes the
// answer out of reach of others, who then find it in the record.
func (e *Entry) answer(requestID string, chunk caller.Chunk) {
	e.mu.Lock()
	log := e.answers[requestID]
	if chunk.Last() {
		delete(e.answers, requestID)
	}
	e.mu.Unlock()
	if log != nil {
		log.append(chunk)
	}
}

// perform carries one effect of the reducer out.
func (e *Entry) perform(effect reducer.Effect) {
	switch f := effect.(type) {
	case entry.Effect:
		e.performEntry(f)
	case follow.Effect:
		e.follower.Perform(f)
	}
}

// performEntry carries an effect towards control VMs and gates out.
func (e *Entry) performEntry(effect entry.Effect) {
	switch f := effect.(type) {
	case entry.SendClaim:
		go e.claim(f.Claim)
	case entry.SendSettle:
		go e.settle(f.Settle)
	case entry.OpenSession:
		e.open(f)
	case entry.Send:
		e.send(f)
	case entry.CloseSession:
		e.closeSession(f.Session)
	case entry.Count:
		e.config.Observer.Count(f.Name, f.Reason, f.Organisation)
		e.log(f)
	case entry.Observe:
		e.config.Observer.Observe(f.Name, f.Urgency, f.Value)
	case entry.Drained:
		e.drainedOnce.Do(func() { close(e.drained) })
	default:
		e.performAnswer(effect)
	}
}

// log writes what happened to an attempt; what ends a request is logged
// towards its caller.
func (e *Entry) log(f entry.Count) {
	level := slog.LevelDebug
	if f.Name == "retry" || f.Name == "outcomeLost" {
		level = slog.LevelInfo
	}
	e.config.Logger.Log(e.ctx, level, f.Name, logging.Attempt(f.Attempt), logging.Reason(f.Reason))
}

// performAnswer carries the effects towards callers out.
func (e *Entry) performAnswer(effect entry.Effect) {
	switch f := effect.(type) {
	case entry.AnswerPart:
		e.answer(f.RequestID, caller.Chunk{Text: f.Text, Tokens: f.Tokens, Offset: f.Offset})
	case entry.AnswerEnd:
		e.answer(f.RequestID, caller.Chunk{End: &caller.End{Finish: f.Finish, Tokens: f.Tokens}})
	case entry.AnswerCall:
		e.answer(f.RequestID, caller.Chunk{Call: &f.Answer})
	case entry.AnswerReplay:
		e.answer(f.RequestID, caller.Chunk{RequestID: f.Record, Replay: &f.Answer})
	case entry.AnswerProblem:
		// The callers' side logs the line that operators read.
		e.config.Logger.Debug("request ends without an answer", logging.Problem(f.Problem), "detail", f.Problem.Detail)
		e.answer(f.RequestID, caller.Chunk{Problem: f.Problem})
	case entry.AnswerAttach:
		go e.attach(f)
	}
}

func (e *Entry) claim(c message.Claim) {
	ctx, cancel := context.WithTimeout(e.ctx, recordWithin)
	defer cancel()
	answer, err := e.config.Records.Claim(ctx, c)
	e.loop.Post(entry.Claimed{At: time.Now(), RequestID: c.RequestID, Answer: answer, Problem: asProblem(err, c.RequestID)})
}

func (e *Entry) settle(s message.Settle) {
	ctx, cancel := context.WithTimeout(e.ctx, recordWithin)
	defer cancel()
	settled, err := e.config.Records.Settle(ctx, s)
	event := entry.Settled{At: time.Now(), RequestID: s.RequestID, Attempt: s.Attempt, State: settled.State, Accepted: settled.Accepted, Problem: asProblem(err, s.RequestID)}
	e.loop.Post(event)
}

func (e *Entry) open(f entry.OpenSession) {
	s := &entrySession{key: f.Session, out: mailbox.New[message.Message](), post: e.loop.Post}
	e.mu.Lock()
	e.sessions[f.Session] = s
	e.mu.Unlock()
	first := message.Message(f.Reserve)
	if f.Status != nil {
		first = *f.Status
	}
	go func() {
		s.run(e.ctx, e.config.Dialer, f.Address, first)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.sessions[f.Session] == s {
			delete(e.sessions, f.Session)
		}
	}()
}

func (e *Entry) send(f entry.Send) {
	e.mu.Lock()
	s := e.sessions[f.Session]
	e.mu.Unlock()
	if s != nil {
		s.send(f.Message)
	}
}

func (e *Entry) closeSession(key entry.SessionKey) {
	e.mu.Lock()
	s := e.sessions[key]
	delete(e.sessions, key)
	e.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// asProblem returns err as a problem; an error of another type becomes one
// whose outcome is unknown.
func asProblem(err error, requestID string) *oriolebend.Problem {
	if err == nil {
		return nil
	}
	var p *oriolebend.Problem
	if errors.As(err, &p) {
		return p
	}
	return &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown, RequestID: requestID, Cause: err}
}
