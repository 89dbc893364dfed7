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

// Defaults of ResolverConfig.
const (
	defaultListLimit  = 1024
	defaultListEvery  = time.Second
	resolverEventsCap = 64
)

// Gates asks gates on behalf of a control VM.
type Gates interface {
	// QueryStatus asks the gate of the server or, if that server is gone, any
	// gate of the service. It returns a message.CallAnswer or message.Refusal;
	// a Refusal with Ran "no" comes only from the server's own gate.
	QueryStatus(ctx context.Context, server, service string, q message.StatusQuery) (message.Message, error)
}

// ResolverConfig sets up a Resolver.
type ResolverConfig struct {
	// Server proposes outcomes; the resolver asks only while it leads.
	Server *Server
	// Gates reaches the gates.
	Gates Gates
	// Recovery sets the pace.
	Recovery recovery.Config
	// ListLimit bounds the records that are asked about at a time; zero means
	// 1,024.
	ListLimit int
	// ListEvery is how often the unknown records are listed; zero means 1s.
	ListEvery time.Duration
	// Unresolved is told what came of each question that settled nothing, for a
	// counter; it may be nil.
	Unresolved func(oriolebend.Reason)
}

// Resolver carries the recovery reducer out on one control VM.
type Resolver struct {
	config ResolverConfig
	state  *reducer.State
	told   chan recovery.StatusAnswered
}

// NewResolver returns a resolver.
func NewResolver(c ResolverConfig) *Resolver {
	c.ListLimit = orDefault(c.ListLimit, defaultListLimit)
	c.ListEvery = orDefault(c.ListEvery, defaultListEvery)
	if c.Unresolved == nil {
		c.Unresolved = func(oriolebend.Reason) {}
	}
	return &Resolver{
		config: c,
		state:  &reducer.State{Recovery: recovery.New(c.Recovery)},
		told:   make(chan recovery.StatusAnswered, resolverEventsCap),
	}
}

// Run asks for lost outcomes while this control VM leads, until ctx ends.
func (r *Resolver) Run(ctx context.Context) {
	ticker := time.NewTicker(r.config.ListEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.carryOut(ctx, reducer.Reduce(r.state, r.list()))
		case e := <-r.told:
			r.carryOut(ctx, reducer.Reduce(r.state, e))
		}
	}
}

func (r *Resolver) list() recovery.Event {
	if !r.config.Server.leads() {
		return recovery.Stopped{}
	}
	unknown := r.config.Server.config.Records.Unknown(r.config.ListLimit, true)
	return recovery.Listed{At: time.Now(), Unknown: unknown}
}

func (r *Resolver) carryOut(ctx context.Context, effects []reducer.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case recovery.QueryStatus:
			go r.ask(ctx, e)
		case recovery.Resolve:
			go r.resolve(ctx, e.Resolve)
		case recovery.Count:
			r.config.Unresolved(e.Reason)
		}
	}
}

func (r *Resolver) ask(ctx context.Context, e recovery.QueryStatus) {
	answer, err := r.config.Gates.QueryStatus(ctx, e.Server, e.Service, e.Query)
	if err != nil {
		answer = nil
	}
	told := recovery.StatusAnswered{
		At:        time.Now(),
		RequestID: e.Query.Attempt.RequestID,
		Attempt:   e.Query.Attempt.Number,
		Answer:    answer,
	}
	select {
	case r.told <- told:
	case <-ctx.Done():
	}
}

// resolve proposes an outcome. One that gets lost is asked for again, since
// the record then stays in the list.
func (r *Resolver) resolve(ctx context.Context, m record.Resolve) {
	c := record.Command{At: time.Now(), Resolve: []record.Resolve{m}}
	if _, err := r.config.Server.Propose(ctx, c); err != nil {
		r.config.Unresolved(asProblem(err).Reason)
	}
}
