package control

import (
	"context"
	"errors"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Default values of the fields of ServerConfig, and the capacity of the server's queues.
const (
	defaultMaxGroup       = 512
	defaultInFlight       = 4
	defaultPerStream      = 1024
	defaultProposeTimeout = 5 * time.Second
	defaultExpireInterval = time.Second
	defaultExpireLimit    = 1024
	serverQueueCapacity   = 4096
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Self is the name of this control VM in the log.
	Self string
	// Log is the replicated log, which applies its commands to Records.
	Log control.Log
	// Records is the state machine of this control VM.
	Records *Records
	// Limits are proposed when this control VM starts to lead.
	Limits record.Limits
	// MaxGroup bounds the requests of one log entry; zero means 512.
	MaxGroup int
	// InFlight bounds the log entries proposed at a time; zero means 4.
	InFlight int
	// PerStream bounds the unanswered requests of one stream; zero means 1,024.
	PerStream int
	// ProposeTimeout bounds the wait for a quorum; zero means 5s.
	ProposeTimeout time.Duration
	// ExpireInterval is the interval at which the leader expires leases and records; zero means 1s.
	ExpireInterval time.Duration
	// ExpireLimit bounds the records that one Expire command removes; zero means 1,024.
	ExpireLimit int
	// Observe is called with each command that this control VM proposed and its result, for
	// counters; it may be nil. See Metrics.
	Observe func(record.Command, record.Result)
}

func (c ServerConfig) withDefaults() ServerConfig {
	c.MaxGroup = orDefault(c.MaxGroup, defaultMaxGroup)
	c.InFlight = orDefault(c.InFlight, defaultInFlight)
	c.PerStream = orDefault(c.PerStream, defaultPerStream)
	c.ProposeTimeout = orDefault(c.ProposeTimeout, defaultProposeTimeout)
	c.ExpireInterval = orDefault(c.ExpireInterval, defaultExpireInterval)
	c.ExpireLimit = orDefault(c.ExpireLimit, defaultExpireLimit)
	return c
}

func orDefault[T int | time.Duration](value, other T) T {
	if value <= 0 {
		return other
	}
	return value
}

// Server answers the entries' claims, settles, renewals and queries on one
// control VM. Run must be running while Serve is used.
type Server struct {
	config  ServerConfig
	writes  chan request
	queries chan request
}

// NewServer returns a server.
func NewServer(c ServerConfig) *Server {
	return &Server{
		config:  c.withDefaults(),
		writes:  make(chan request, serverQueueCapacity),
		queries: make(chan request, serverQueueCapacity),
	}
}

// Run commits groups, answers queries and, while this control VM leads, expires leases and records,
// until ctx ends.
func (s *Server) Run(ctx context.Context) {
	done := make(chan struct{}, 2)
	go func() { s.commitGroups(ctx); done <- struct{}{} }()
	go func() { s.answerQueries(ctx); done <- struct{}{} }()
	s.runExpiry(ctx)
	<-done
	<-done
}

// Propose commits one command and returns its result. Its error is a *oriolebend.Problem; with Ran
// "unknown" the command may still be accepted.
func (s *Server) Propose(ctx context.Context, c record.Command) (record.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return record.Result{}, internalProblem(oriolebend.RanNo, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.ProposeTimeout)
	defer cancel()
	encoded, err := s.config.Log.Propose(ctx, data)
	if err != nil {
		return record.Result{}, asProblem(err)
	}
	result, err := record.DecodeResult(encoded)
	if err != nil {
		return record.Result{}, internalProblem(oriolebend.RanUnknown, err)
	}
	if s.config.Observe != nil {
		s.config.Observe(c, result)
	}
	return result, nil
}

// leads reports whether this control VM considers itself the leader. That may be out of date for a
// moment; the log itself then refuses.
func (s *Server) leads() bool {
	name, _ := s.config.Log.Leader()
	return name == s.config.Self
}

// runExpiry has the leader expire leases and remove old records at every interval.
func (s *Server) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(s.config.ExpireInterval)
	defer ticker.Stop()
	limitsProposed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.leads() {
			limitsProposed = false
			continue
		}
		limitsProposed = s.expire(ctx, limitsProposed)
	}
}

// expire proposes an Expire command, together with the limits if this leader has not had them
// accepted yet, and reports whether it has now. It repeats the proposal without delay while more is
// to be removed.
func (s *Server) expire(ctx context.Context, limitsProposed bool) bool {
	for {
		c := record.Command{At: time.Now(), Expire: &record.Expire{Limit: s.config.ExpireLimit}}
		if !limitsProposed {
			c.Limits = &s.config.Limits
		}
		result, err := s.Propose(ctx, c)
		if err != nil {
			return limitsProposed
		}
		limitsProposed = true
		if !result.Expired.More {
			return true
		}
	}
}

// answerQueries confirms the leadership once for all queued queries.
func (s *Server) answerQueries(ctx context.Context) {
	for {
		group := gather(ctx, s.queries, s.config.MaxGroup)
		if len(group) == 0 {
			return
		}
		s.answerGroup(ctx, group)
	}
}

func (s *Server) answerGroup(ctx context.Context, group []request) {
	ctx, cancel := context.WithTimeout(ctx, s.config.ProposeTimeout)
	defer cancel()
	if err := s.config.Log.Confirm(ctx); err != nil {
		s.refuseAll(group, asProblem(err))
		return
	}
	for _, r := range group {
		if q, ok := r.message.(message.Query); ok {
			r.session.reply(s.config.Records.Query(q))
		}
	}
}

// refuseAll refuses requests that no quorum has confirmed, so that their entries look for another
// leader.
func (s *Server) refuseAll(group []request, p *oriolebend.Problem) {
	for _, r := range group {
		r.session.reply(s.refusal(r.message, p.Reason, p.Ran))
	}
}

func (s *Server) refusal(m message.Message, reason oriolebend.Reason, ran oriolebend.Ran) message.Refusal {
	refused := message.Refusal{Reason: reason, Ran: ran, Ticket: ticketOf(m)}
	if name, address := s.config.Log.Leader(); name != s.config.Self {
		refused.Detail = address
	}
	return refused
}

func internalProblem(ran oriolebend.Ran, cause error) *oriolebend.Problem {
	return &oriolebend.Problem{Reason: oriolebend.ReasonInternal, Ran: ran, Cause: cause}
}

// asProblem returns the log's own problem. Any other error does not show whether the command was
// accepted.
func asProblem(err error) *oriolebend.Problem {
	var p *oriolebend.Problem
	if errors.As(err, &p) {
		return p
	}
	return &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown, Cause: err}
}
