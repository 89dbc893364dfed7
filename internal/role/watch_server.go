package role

import (
	"context"
	"log/slog"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
)

// freshEvery is how often a follower is told that its state is still the
// newest; an update that carries changes tells it as well.
const freshnessInterval = 2 * time.Second

// WatchServer feeds the followers of one control VM.
type WatchServer struct {
	Store     *operator.Store
	Confirmer *Confirmer
	Reached   *ReachedTable
	Logger    *slog.Logger
}

// Serve is the peer.Handler for followers.
func (w *WatchServer) Serve(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	watch, ok := first.(message.Watch)
	if !ok {
		return
	}
	go w.receiveReports(s)
	w.sendUpdates(ctx, s, watch)
}

// hear takes the follower's word of what it has in force.
func (w *WatchServer) receiveReports(s peer.Stream) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if r, ok := m.(message.Reached); ok {
			w.Reached.Record(r)
		}
	}
}

func (w *WatchServer) sendUpdates(ctx context.Context, s peer.Stream, watch message.Watch) {
	from, came := watch.From, time.Now()
	w.Confirmer.Trigger()
	for {
		// The confirmation is read before the state: a later one could vouch
		// for a state that was read before it.
		last, confirmed := w.Confirmer.Last()
		var update message.Update
		var err error
		changed := w.Store.Read(func(d *declared.State) { update, err = d.Update(from) })
		if err != nil {
			// The follower has seen a later revision than this control VM: it
			// must not be fed, for its state would go back.
			w.Logger.Warn("a follower is ahead of this control VM", "follower", watch.Node, "error", err)
			return
		}
		update.Age, update.Confirmed = time.Since(last), !last.IsZero()
		update.Fresh = last.After(came)
		if err := s.Send(update); err != nil {
			return
		}
		from = update.Revision
		if update.Fresh {
			confirmed = nil
		} else {
			w.Confirmer.Trigger()
		}
		if !w.waitNext(ctx, s, changed, confirmed) {
			return
		}
	}
}

// sleep waits for a change, a confirmation that the follower still lacks, or
// the time to tell of freshness; it is false once the session ended.
func (w *WatchServer) waitNext(ctx context.Context, s peer.Stream, changed, confirmed <-chan struct{}) bool {
	timer := time.NewTimer(freshnessInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-confirmed:
		return true
	case <-timer.C:
		return true
	case <-s.Done():
		return false
	case <-ctx.Done():
		return false
	}
}
