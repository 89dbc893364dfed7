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

// proposalBatch bounds the proposals that one event carries.
const proposalBatch = 512

// FatalError tells that going on would break what was promised.
type FatalError struct{ Detail string }

// Error implements error.
func (e *FatalError) Error() string { return "agreement: " + e.Detail }

// Run serves until the context ends; it then hands leadership over and closes
// the data folder. It returns nil after a graceful stop, and an error if the
// process must stop: *disk.Error, *FatalError or what the machine returned.
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

// failWaiting answers those whose outcome will not be known here.
func (r *Replica) failWaiting() {
	for _, done := range r.waiting {
		done <- outcome{err: stopping(oriolebend.RanUnknown)}
	}
	r.waiting = nil
}

// tick returns the ticks since the start. It follows the clock and not the
// ticker, so that a paused process notices how long it was away.
func (r *Replica) tick() uint64 { return uint64(time.Since(r.start) / r.config.TickEvery) }

func (r *Replica) loop(ctx, inner context.Context, group *sync.WaitGroup) error {
	ticker := time.NewTicker(r.config.TickEvery)
	defer ticker.Stop()
	stop := ctx.Done()
	var stopBy time.Time
	for {
		if r.stopping && (r.idle() || time.Now().After(stopBy)) {
			return nil
		}
		if r.handing && r.state.Role != agreement.Leader {
			r.handing, r.handed = false, true
			stopBy = time.Now().Add(handWithin * r.config.TickEvery)
		}
		select {
		case <-ticker.C:
			r.ticked()
		case m := <-r.messages:
			r.received(m)
		case p := <-r.proposals:
			r.proposed(p)
		case f := <-r.asks:
			f()
		case s := <-r.saver.saved:
			r.saved(s)
		case a := <-r.applier.applied:
			r.applied(a)
		case <-stop:
			stop = nil
			r.stopping = true
			stopBy = time.Now().Add(r.config.StopWithin)
			if r.together.Load() {
				continue
			}
			r.handing = r.state.Role == agreement.Leader && len(r.state.Members) > 1
			r.step(agreement.TransferRequested{Tick: r.tick()})
		}
		if err := r.failure(); err != nil {
			return err
		}
		r.startSenders(inner, group)
		r.publishLeader()
	}
}

// handWithin bounds, in ticks, how long a former leader waits to hear of the
// next one; after that its message has left or is lost.
const handWithin = 12

// idle tells whether a stopping member has handed over all that it had. A
// former leader stays until another one is heard of: the message that asks the
// successor to stand for election could be lost with this process.
func (r *Replica) idle() bool {
	if len(r.waiting) > 0 {
		return false
	}
	if r.state.Role == agreement.Leader {
		return !r.state.Transferring()
	}
	return !(r.handing || r.handed) || r.state.Leader != ""
}

func (r *Replica) failure() error { return errors.Join(r.disk.fatal, r.applier.failure()) }

// proposed takes the proposal and all others that wait.
func (r *Replica) proposed(p proposal) {
	batch := make([]agreement.Proposal, 0, 1+len(r.proposals))
	add := func(p proposal) {
		if refusal := r.refuseHere(); refusal != nil {
			r.refusals[refusal.Reason]++
			p.done <- outcome{err: refusal}
			return
		}
		batch = append(batch, agreement.Proposal{ID: r.expect(p.done), Command: p.command})
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

// refuseHere tells why this process takes no proposal, whatever its role.
func (r *Replica) refuseHere() *oriolebend.Problem {
	switch {
	case r.stopping:
		return stopping(oriolebend.RanNo).(*oriolebend.Problem)
	case r.state.Role == agreement.Leader && r.disk.full():
		return &oriolebend.Problem{
			Reason: oriolebend.ReasonDiskFull, Ran: oriolebend.RanNo,
			Detail:     "the disk of the leading control VM has no room",
			RetryAfter: diskRetry,
		}
	}
	return nil
}

// step feeds the reducer one event and carries its effects out.
func (r *Replica) step(e agreement.Event) {
	for _, effect := range reducer.Reduce(&reducer.State{Agreement: r.state}, e) {
		r.carry(effect)
	}
}

func (r *Replica) carry(effect reducer.Effect) {
	switch e := effect.(type) {
	case agreement.Send:
		r.sender(e.To).post(outgoing{message: e.Message})
	case agreement.SendChunk:
		r.sender(e.To).post(outgoing{message: e.Chunk, chunkBytes: e.Bytes})
	case agreement.Persist:
		r.saver.add(e)
	case agreement.Compact:
		r.saver.compact(e.Through)
	case agreement.Apply:
		r.applier.add(r.jobs(e))
	case agreement.Restore:
		r.applier.add([]job{{restore: &e.Snapshot}})
	case agreement.Confirmed:
		r.answer(e.ID, outcome{})
	case agreement.Refused:
		r.refused(e)
	case agreement.LeadershipChanged:
		r.led(e)
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

func (r *Replica) refused(e agreement.Refused) {
	r.refusals[e.Reason]++
	r.answer(e.ID, outcome{err: &oriolebend.Problem{
		Reason: e.Reason, Ran: e.Ran, Detail: e.Detail, RetryAfter: e.RetryAfter,
	}})
}

func (r *Replica) led(e agreement.LeadershipChanged) {
	r.config.Logger.Info("agreement", "role", e.Role, "term", e.Term, "leader", e.Leader.Name)
}

// jobs hands the waiting proposers over to the applier, which answers them.
func (r *Replica) jobs(e agreement.Apply) []job {
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

// diskState is what the reducer's goroutine knows of the disk.
type diskState struct {
	fatal error
	// writeFull is set while a write waits for room, low while there is less
	// than the minimum.
	writeFull bool
	low       bool
	checkDue  time.Time
}

func (d *diskState) full() bool { return d.writeFull || d.low }

// diskRetry is the time between two attempts at a full disk.
const diskRetry = time.Second

func (r *Replica) ticked() {
	r.checkFree()
	r.step(agreement.Ticked{Tick: r.tick()})
	r.publish()
}

// checkFree looks after the room on the disk before a write fails.
func (r *Replica) checkFree() {
	if time.Now().Before(r.disk.checkDue) {
		return
	}
	r.disk.checkDue = time.Now().Add(diskRetry)
	free, err := r.store.Free()
	low := err == nil && free < r.config.MinFreeBytes
	if low != r.disk.low {
		r.config.Logger.Warn("room on the disk", "freeBytes", free, "enough", !low)
	}
	r.disk.low = low
	if r.disk.full() {
		r.step(agreement.TransferRequested{Tick: r.tick()})
	}
}

func (r *Replica) saved(s saved) {
	var typed *disk.Error
	r.disk.writeFull = errors.As(s.err, &typed) && !typed.Fatal()
	switch {
	case r.disk.writeFull:
		r.config.Logger.Error("the disk is full; the write is tried again", "error", s.err)
		r.step(agreement.TransferRequested{Tick: r.tick()})
	case s.err != nil:
		r.disk.fatal = s.err
	default:
		r.step(agreement.Persisted{Tick: r.tick(), Sequence: s.sequence})
	}
}

func (r *Replica) applied(a applied) {
	if a.index > 0 {
		r.step(agreement.Applied{Tick: r.tick(), Index: a.index})
	}
	if a.snapshot != nil {
		r.step(agreement.SnapshotMade{Tick: r.tick(), Meta: *a.snapshot})
	}
}
