package control

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/internal/reducer/recovery"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Default values of the fields of ResolverConfig, and the capacity of the resolver's queue of
// answers.
const (
	defaultListLimit = 1024
	defaultListEvery = time.Second
	answerQueue      = 64
)

// Gates sends status queries to gates on behalf of a control VM.
type Gates interface {
	// QueryStatus queries the gate of the server or, if that server has left, any gate of the
	// service. It returns a message.CallAnswer or a message.Refusal; only the server's own gate may
	// refuse with Ran "no".
	QueryStatus(ctx context.Context, server, service string, q message.StatusQuery) (message.Message, error)
}

// ResolverConfig configures a Resolver.
type ResolverConfig struct {
	// Server proposes the outcomes; the resolver sends queries only while this control VM leads.
	Server *Server
	// Gates sends the queries.
	Gates Gates
	// Recovery sets the rate of the queries.
	Recovery recovery.Config
	// ListLimit bounds the records that are queried at a time; zero means 1,024.
	ListLimit int
	// ListEvery is the interval at which the unknown records are listed; zero means 1s.
	ListEvery time.Duration
	// Unresolved is called with the reason for each query and each proposal that resolved no
	// record, for a counter; it may be nil.
	Unresolved func(oriolebend.Reason)
}

// Resolver runs the recovery reducer on one control VM.
type Resolver struct {
	config  ResolverConfig
	state   *reducer.State
	answers chan recovery.StatusAnswered
}

// NewResolver returns a resolver.
func NewResolver(c ResolverConfig) *Resolver {
	c.ListLimit = orDefault(c.ListLimit, defaultListLimit)
	c.ListEvery = orDefault(c.ListEvery, defaultListEvery)
	if c.Unresolved == nil {
		c.Unresolved = func(oriolebend.Reason) {}
	}
	return &Resolver{
		config:  c,
		state:   &reducer.State{Recovery: recovery.New(c.Recovery)},
		answers: make(chan recovery.StatusAnswered, answerQueue),
	}
}

// Run queries lost outcomes while this control VM leads, until ctx ends.
func (r *Resolver) Run(ctx context.Context) {
	ticker := time.NewTicker(r.config.ListEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.execute(ctx, reducer.Reduce(r.state, r.listUnknown()))
		case e := <-r.answers:
			r.execute(ctx, reducer.Reduce(r.state, e))
		}
	}
}

func (r *Resolver) listUnknown() recovery.Event {
	if !r.config.Server.leads() {
		return recovery.Stopped{}
	}
	unknown := r.config.Server.config.Records.Unknown(r.config.ListLimit, true)
	return recovery.Listed{At: time.Now(), Unknown: unknown}
}

func (r *Resolver) execute(ctx context.Context, effects []reducer.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case recovery.QueryStatus:
			go r.queryStatus(ctx, e)
		case recovery.Resolve:
			go r.resolve(ctx, e.Resolve)
		case recovery.Count:
			r.config.Unresolved(e.Reason)
		}
	}
}

func (r *Resolver) queryStatus(ctx context.Context, e recovery.QueryStatus) {
	answer, err := r.config.Gates.QueryStatus(ctx, e.Server, e.Service, e.Query)
	if err != nil {
		answer = nil
	}
	event := recovery.StatusAnswered{
		At:        time.Now(),
		RequestID: e.Query.Attempt.RequestID,
		Attempt:   e.Query.Attempt.Number,
		Answer:    answer,
	}
	select {
	case r.answers <- event:
	case <-ctx.Done():
	}
}

// resolve proposes an outcome. If the proposal is lost, the record stays in the list and is queried
// again.
func (r *Resolver) resolve(ctx context.Context, m record.Resolve) {
	c := record.Command{At: time.Now(), Resolve: []record.Resolve{m}}
	if _, err := r.config.Server.Propose(ctx, c); err != nil {
		r.config.Unresolved(asProblem(err).Reason)
	}
}
