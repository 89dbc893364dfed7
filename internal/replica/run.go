package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// proposalBatch bounds the proposals in one event.
const proposalBatch = 512

// FatalError means that continuing would violate a guarantee of the agreement.
type FatalError struct{ Detail string }

// Error implements error.
func (e *FatalError) Error() string { return "agreement: " + e.Detail }

// Run serves until the context ends; it then transfers the leadership and closes the data folder.
// It returns nil after a graceful stop, and an error if the process must stop: a *disk.Error, a
// *FatalError or an error of the state machine.
func (r *Replica) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { r.saver.run(inner) })
	group.Go(func() { r.applier.run(inner) })
	r.start = time.Now()
	err := r.loop(ctx, inner, &group)
	close(r.stopped)
	r.failWaiting()
	cancel()
	group.Wait()
	r.leader.Store(&leaderView{})
	return errors.Join(err, r.store.Close())
}

// failWaiting fails the calls whose outcome this member will not learn.
func (r *Replica) failWaiting() {
	for _, done := range r.waiting {
		done <- outcome{err: stoppingProblem(oriolebend.RanUnknown)}
	}
	r.waiting = nil
}

// tick returns the number of ticks since the start. It is computed from the clock and not counted
// by the ticker, so that a process notices how long it was paused.
func (r *Replica) tick() uint64 { return uint64(time.Since(r.start) / r.config.TickEvery) }

func (r *Replica) loop(ctx, inner context.Context, group *sync.WaitGroup) error {
	ticker := time.NewTicker(r.config.TickEvery)
	defer ticker.Stop()
	stop := ctx.Done()
	var stopBy time.Time
	for {
		if r.stopping && (r.canStop() || time.Now().After(stopBy)) {
			return nil
		}
		if r.transferring && r.state.Role != agreement.Leader {
			r.transferring, r.transferred = false, true
			stopBy = time.Now().Add((transferWaitTicks + leaveWaitTicks) * r.config.TickEvery)
			r.leaveBy = stopBy
		}
		select {
		case <-ticker.C:
			r.handleTick()
		case m := <-r.messages:
			r.handleMessage(m)
		case p := <-r.proposals:
			r.handleProposals(p)
		case f := <-r.calls:
			f()
		case s := <-r.saver.saved:
			r.handleSaved(s)
		case a := <-r.applier.applied:
			r.handleApplied(a)
		case <-stop:
			stop = nil
			r.stopping = true
			stopBy = time.Now().Add(r.config.StopWithin)
			if r.groupStops.Load() {
				continue
			}
			r.transferring = r.state.Role == agreement.Leader && len(r.state.Members) > 1
			r.step(agreement.StopRequested{Tick: r.tick()})
			r.leaveBy = time.Now().Add(leaveWaitTicks * r.config.TickEvery)
		}
		if err := r.failure(); err != nil {
			return err
		}
		r.startSenders(inner, group)
		r.publishLeader()
	}
}

// transferWaitTicks bounds, in ticks, how long a former leader waits to learn of the next one.
// After that time the message that starts the election has been delivered or is lost.
const transferWaitTicks = 12

// leaveWaitTicks bounds, in ticks, how long a stopping member waits until the leader has removed it.
const leaveWaitTicks = 40

// canStop reports whether a stopping member has no calls left, has transferred its leadership, and was
// removed if the group can bear more losses without it. A former leader stays until it knows another
// one: the message that asks the successor to start an election could be lost if this process ended.
func (r *Replica) canStop() bool {
	if len(r.waiting) > 0 {
		return false
	}
	if r.state.Role == agreement.Leader {
		return !r.state.Transferring()
	}
	if (r.transferring || r.transferred) && r.state.Leader == "" {
		return false
	}
	return r.groupStops.Load() || r.hasLeft() || time.Now().After(r.leaveBy)
}

// hasLeft reports whether this member need not wait for its removal, which is durable here: it then
// joins again as soon as it returns.
func (r *Replica) hasLeft() bool {
	return !r.state.AwaitsRemoval() && r.state.Synced >= r.state.MembersIndex
}

func (r *Replica) failure() error { return errors.Join(r.disk.fatal, r.applier.failure()) }

// handleProposals passes the proposal and all others that are queued to the reducer, at most
// proposalBatch.
func (r *Replica) handleProposals(p proposal) {
	batch := make([]agreement.Proposal, 0, 1+len(r.proposals))
	add := func(p proposal) {
		if refusal := r.localRefusal(); refusal != nil {
			r.refusals[refusal.Reason]++
			p.done <- outcome{err: refusal}
			return
		}
		batch = append(batch, agreement.Proposal{ID: r.register(p.done), Command: p.command})
	}
	add(p)
	for len(batch) < proposalBatch {
		select {
		case p := <-r.proposals:
			add(p)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		r.step(agreement.Proposed{Tick: r.tick(), Proposals: batch})
	}
}

// localRefusal returns the reason why this process accepts no proposal, whatever the reducer would
// answer, or nil.
func (r *Replica) localRefusal() *oriolebend.Problem {
	switch {
	case r.stopping:
		return stoppingProblem(oriolebend.RanNo).(*oriolebend.Problem)
	case r.state.Role == agreement.Leader && r.disk.full():
		return &oriolebend.Problem{
			Reason: oriolebend.ReasonDiskFull, Ran: oriolebend.RanNo,
			Detail:     "the disk of the leading control VM has no room",
			RetryAfter: diskRetryInterval,
		}
	}
	return nil
}

// step passes one event to the reducer and executes its effects.
func (r *Replica) step(e agreement.Event) {
	for _, effect := range reducer.Reduce(&reducer.State{Agreement: r.state}, e) {
		r.execute(effect)
	}
}

func (r *Replica) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case agreement.Send:
		r.sender(e.To).post(outgoing{message: e.Message})
	case agreement.SendChunk:
		r.sender(e.To).post(outgoing{message: e.Chunk, chunkBytes: e.Bytes})
	case agreement.Persist:
		r.saver.add(e)
	case agreement.Compact:
		r.saver.scheduleCompaction(e.Through)
	case agreement.Apply:
		r.applier.add(r.newJobs(e))
	case agreement.Restore:
		r.applier.add([]job{{restore: &e.Snapshot}})
	case agreement.Confirmed:
		r.answer(e.ID, outcome{})
	case agreement.Refused:
		r.handleRefusal(e)
	case agreement.LeadershipChanged:
		r.logLeadership(e)
	case agreement.MemberRemoved:
		r.config.Logger.Info("control VM removed", "member", e.Member.Name, "leaving", e.Leaving,
			"awayMs", (time.Duration(e.Away) * r.config.TickEvery).Milliseconds())
	case agreement.Fatal:
		r.disk.fatal = &FatalError{Detail: e.Detail}
	}
}

func (r *Replica) answer(id uint64, o outcome) {
	if done, ok := r.waiting[id]; ok {
		delete(r.waiting, id)
		done <- o
	}
}

func (r *Replica) handleRefusal(e agreement.Refused) {
	r.refusals[e.Reason]++
	r.answer(e.ID, outcome{err: &oriolebend.Problem{
		Reason: e.Reason, Ran: e.Ran, Detail: e.Detail, RetryAfter: e.RetryAfter,
	}})
}

func (r *Replica) logLeadership(e agreement.LeadershipChanged) {
	r.config.Logger.Info("agreement", "role", e.Role, "term", e.Term, "leader", e.Leader.Name,
		"timeoutScale", e.TimeoutScale)
}

// newJobs turns committed entries into jobs for the applier, which also answers their proposers.
func (r *Replica) newJobs(e agreement.Apply) []job {
	jobs := make([]job, 0, len(e.Entries))
	for _, c := range e.Entries {
		j := job{entry: c.Entry}
		if c.ID != 0 {
			j.done = r.waiting[c.ID]
			delete(r.waiting, c.ID)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// diskState is the state of the disk as the reducer's goroutine knows it.
type diskState struct {
	fatal error
	// writeFull is set while a write waits for free space, lowSpace while less than the minimum is
	// free.
	writeFull bool
	lowSpace  bool
	checkDue  time.Time
}

func (d *diskState) full() bool { return d.writeFull || d.lowSpace }

// diskRetryInterval is the time between two attempts to write to a full disk and between two checks
// of its free space, and the delay after which a refused proposal may be retried.
const diskRetryInterval = time.Second

func (r *Replica) handleTick() {
	r.checkFreeSpace()
	r.step(agreement.Ticked{Tick: r.tick()})
	r.publish()
}

// checkFreeSpace detects low disk space before a write fails for lack of space.
func (r *Replica) checkFreeSpace() {
	if time.Now().Before(r.disk.checkDue) {
		return
	}
	r.disk.checkDue = time.Now().Add(diskRetryInterval)
	free, err := r.store.Free()
	low := err == nil && free < r.config.MinFreeBytes
	if low != r.disk.lowSpace {
		r.config.Logger.Warn("free disk space crossed the minimum", "freeBytes", free, "enough", !low)
	}
	r.disk.lowSpace = low
	if r.disk.full() {
		r.step(agreement.TransferRequested{Tick: r.tick()})
	}
}

func (r *Replica) handleSaved(s saveResult) {
	var typed *disk.Error
	r.disk.writeFull = errors.As(s.err, &typed) && !typed.Fatal()
	switch {
	case r.disk.writeFull:
		r.config.Logger.Error("disk full, the write is retried", "error", s.err)
		r.step(agreement.TransferRequested{Tick: r.tick()})
	case s.err != nil:
		r.disk.fatal = s.err
	default:
		r.step(agreement.Persisted{Tick: r.tick(), Sequence: s.sequence})
	}
}

func (r *Replica) handleApplied(a applyResult) {
	if a.index > 0 {
		r.step(agreement.Applied{Tick: r.tick(), Index: a.index})
	}
	if a.snapshot != nil {
		r.step(agreement.SnapshotMade{Tick: r.tick(), Meta: *a.snapshot})
	}
}
