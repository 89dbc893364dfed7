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

// Records gives the entry access to the request records on the control VMs.
// Errors are *oriolebend.Problem values, whose Ran is truthful.
type Records interface {
	Claim(ctx context.Context, c message.Claim) (message.ClaimAnswer, error)
	Settle(ctx context.Context, s message.Settle) (message.Settled, error)
	Query(ctx context.Context, q message.Query) (message.ClaimAnswer, error)
}

// Observer receives counts and measurements; package metrics implements it.
type Observer interface {
	// Count adds one to a counter.
	Count(what string, reason oriolebend.Reason, organisation string)
	// Observe records a measurement of one request.
	Observe(what string, urgency oriolebend.Urgency, value float64)
}

// recordTimeout bounds one call to the control VMs. It is longer than an election
// takes, so that a leader change delays a request but does not fail it.
const recordTimeout = 5 * time.Second

// EntryConfig configures an Entry.
type EntryConfig struct {
	Reducer  entry.Config
	Follow   follow.Config
	Dialer   peer.Dialer
	Records  Records
	Observer Observer
	Logger   *slog.Logger
}

// Entry is the role that receives callers' requests; it implements
// caller.Router.
type Entry struct {
	config   EntryConfig
	loop     *Loop
	follower *Follower
	ctx      context.Context
	// drained is closed once a stopping entry has no requests left.
	drained     chan struct{}
	drainedOnce sync.Once

	mu       sync.Mutex
	answers  map[string]*answerLog
	sessions map[entry.SessionKey]*entrySession
	servers  map[string]oriolebend.Server
	stopping bool
	// firstServing is when a server that answers requests, not only a prefill
	// server, first accepted new work; zero if none has.
	firstServing time.Time
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
		Apply:    func(_ declared.View, changed follow.Changed) { e.ApplyServers(changed.Servers, changed.Complete) },
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

// Stop refuses new requests and returns once the requests in progress have ended
// or ctx ends.
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
// that can answer. It stays ready when all servers are lost, since its refusals
// are more informative to callers than those of a load balancer without entries.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopping && !e.firstServing.IsZero()
}

// announcementsSettleDelay is how long the first announcements of a fleet take: two
// intervals of a sidecar's announcements.
const announcementsSettleDelay = 2 * announceInterval

// Settled implements caller.Router. Servers announce themselves one after the
// other; a model that none has announced yet must not be reported as unknown.
func (e *Entry) Settled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.firstServing.IsZero() && time.Since(e.firstServing) >= announcementsSettleDelay
}

// serving counts the servers that accept new work.
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

// ApplyServers applies servers that are new, changed or lost. If complete is true,
// they replace all servers.
func (e *Entry) ApplyServers(servers []oriolebend.Server, complete bool) {
	e.mu.Lock()
	if complete {
		clear(e.servers)
	}
	for _, s := range servers {
		if s.State == oriolebend.ServerGone {
			delete(e.servers, s.Name)
			continue
		}
		e.servers[s.Name] = s
		if e.firstServing.IsZero() && s.State == oriolebend.ServerServing && s.Role != oriolebend.Prefill {
			e.firstServing = time.Now()
		}
	}
	e.mu.Unlock()
	e.loop.Post(entry.ServersChanged{At: time.Now(), Servers: servers, Complete: complete})
}

// Models implements caller.Router.
func (e *Entry) Models() []oriolebend.LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uniqueModels(e.servers)
}

// Record implements caller.Router.
func (e *Entry) Record(ctx context.Context, organisation, requestID string) (message.ClaimAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
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

// deliver sends the chunks of an answer to its caller, until the last one or until
// the caller disconnects.
func (e *Entry) deliver(ctx context.Context, log *answerLog, out chan<- caller.Chunk) {
	defer close(out)
	e.read(ctx, log, func(c caller.Chunk) {
		select {
		case out <- c:
		case <-ctx.Done():
		}
	})
}

// dropAnswer drops an answer without readers, unless its request continues. A
// reader that found the answer just before receives a problem; otherwise it would
// wait until its own caller disconnects.
func (e *Entry) dropAnswer(requestID string, log *answerLog) {
	if log.keepRunning {
		return
	}
	log.append(problemChunk(requestID, oriolebend.ReasonCallerCancelled, oriolebend.RanUnknown, "the caller that ran this request left"))
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.answers, requestID)
}

// appendChunk adds a chunk to the answer of a request. The last chunk removes the
// answer from the map; later callers find it in the record.
func (e *Entry) appendChunk(requestID string, chunk caller.Chunk) {
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

// perform performs one effect of the reducer.
func (e *Entry) perform(effect reducer.Effect) {
	switch f := effect.(type) {
	case entry.Effect:
		e.performEntry(f)
	case follow.Effect:
		e.follower.Perform(f)
	}
}

// performEntry performs an effect that concerns control VMs or gates.
func (e *Entry) performEntry(effect entry.Effect) {
	switch f := effect.(type) {
	case entry.SendClaim:
		go e.claim(f.Claim)
	case entry.SendSettle:
		go e.settle(f.Settle)
	case entry.OpenSession:
		e.openSession(f)
	case entry.Send:
		e.sendMessage(f)
	case entry.CloseSession:
		e.closeSession(f.Session)
	case entry.Count:
		e.config.Observer.Count(f.Name, f.Reason, f.Organisation)
		e.logCount(f)
	case entry.Observe:
		e.config.Observer.Observe(f.Name, f.Urgency, f.Value)
	case entry.Drained:
		e.drainedOnce.Do(func() { close(e.drained) })
	default:
		e.performAnswer(effect)
	}
}

// logCount logs an event of an attempt. The end of a request is logged where its
// caller is answered.
func (e *Entry) logCount(f entry.Count) {
	level := slog.LevelDebug
	if f.Name == "retry" || f.Name == "outcomeLost" {
		level = slog.LevelInfo
	}
	e.config.Logger.Log(e.ctx, level, f.Name, logging.Attempt(f.Attempt), logging.Reason(f.Reason))
}

// performAnswer performs an effect that concerns callers.
func (e *Entry) performAnswer(effect entry.Effect) {
	switch f := effect.(type) {
	case entry.AnswerPart:
		e.appendChunk(f.RequestID, caller.Chunk{Text: f.Text, Tokens: f.Tokens, Offset: f.Offset})
	case entry.AnswerEnd:
		e.appendChunk(f.RequestID, caller.Chunk{End: &caller.End{Finish: f.Finish, Tokens: f.Tokens}})
	case entry.AnswerCall:
		e.appendChunk(f.RequestID, caller.Chunk{Call: &f.Answer})
	case entry.AnswerReplay:
		e.appendChunk(f.RequestID, caller.Chunk{RequestID: f.Record, Replay: &f.Answer})
	case entry.AnswerProblem:
		// Package caller logs the line that operators read.
		e.config.Logger.Debug("request failed", logging.Problem(f.Problem), "detail", f.Problem.Detail)
		e.appendChunk(f.RequestID, caller.Chunk{Problem: f.Problem})
	case entry.AnswerAttach:
		go e.attachCaller(f)
	}
}

func (e *Entry) claim(c message.Claim) {
	ctx, cancel := context.WithTimeout(e.ctx, recordTimeout)
	defer cancel()
	answer, err := e.config.Records.Claim(ctx, c)
	e.loop.Post(entry.Claimed{At: time.Now(), RequestID: c.RequestID, Answer: answer, Problem: asProblem(err, c.RequestID)})
}

func (e *Entry) settle(s message.Settle) {
	ctx, cancel := context.WithTimeout(e.ctx, recordTimeout)
	defer cancel()
	settled, err := e.config.Records.Settle(ctx, s)
	event := entry.Settled{At: time.Now(), RequestID: s.RequestID, Attempt: s.Attempt, State: settled.State, Accepted: settled.Accepted, Problem: asProblem(err, s.RequestID)}
	e.loop.Post(event)
}

func (e *Entry) openSession(f entry.OpenSession) {
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

func (e *Entry) sendMessage(f entry.Send) {
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
