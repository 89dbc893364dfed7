package control

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
)

// request is a message of an entry that has not been answered yet.
type request struct {
	session *serverSession
	message message.Message
}

// gather waits for one request and returns it with those queued behind it, at most limit. It
// returns nil once ctx has ended.
func gather(ctx context.Context, queue <-chan request, limit int) []request {
	var group []request
	select {
	case <-ctx.Done():
		return nil
	case r := <-queue:
		group = append(group, r)
	}
	for len(group) < limit {
		select {
		case r := <-queue:
			group = append(group, r)
		default:
			return group
		}
	}
	return group
}

// commitGroups proposes the queued requests, up to MaxGroup of them as one log entry and up to
// InFlight entries at a time. While these are synced, the next group collects in the queue, so that
// a slower disk makes larger groups instead of a longer queue.
func (s *Server) commitGroups(ctx context.Context) {
	slots := make(chan struct{}, s.config.InFlight)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		group := gather(ctx, s.writes, s.config.MaxGroup)
		if len(group) == 0 {
			return
		}
		go func() {
			s.commit(ctx, group)
			<-slots
		}()
	}
}

// commit proposes one group and answers each of its requests.
func (s *Server) commit(ctx context.Context, group []request) {
	var g commitGroup
	for _, r := range group {
		g.add(r)
	}
	g.command.At = time.Now()
	result, err := s.Propose(ctx, g.command)
	if err != nil {
		s.refuseAll(group, asProblem(err))
		return
	}
	g.answer(result)
}

// commitGroup is a command together with the session that each of its parts came from.
type commitGroup struct {
	command        record.Command
	settleSessions []*serverSession
	claimSessions  []*serverSession
	renewals       []request
}

func (g *commitGroup) add(r request) {
	switch m := r.message.(type) {
	case message.Claim:
		g.command.Claim = append(g.command.Claim, m)
		g.claimSessions = append(g.claimSessions, r.session)
	case message.Settle:
		g.command.Settle = append(g.command.Settle, m)
		g.settleSessions = append(g.settleSessions, r.session)
	case message.Renew:
		g.command.Renew = append(g.command.Renew, m)
		g.renewals = append(g.renewals, r)
	}
}

// answer sends each part of the result to the session that requested it. If the result is too
// short, requests stay unanswered, and their entries send them again.
func (g *commitGroup) answer(result record.Result) {
	for i, settled := range result.Settled[:min(len(result.Settled), len(g.settleSessions))] {
		g.settleSessions[i].reply(settled)
	}
	for i, claimed := range result.Claimed[:min(len(result.Claimed), len(g.claimSessions))] {
		g.claimSessions[i].reply(claimed)
	}
	for _, r := range g.renewals {
		if m, ok := r.message.(message.Renew); ok {
			r.session.reply(message.Renewed{Ticket: m.Ticket})
		}
	}
}
