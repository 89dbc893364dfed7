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

// freshnessInterval is how often a follower is sent an update without changes, which
// confirms that its state is still the newest. An update with changes confirms it
// too.
const freshnessInterval = 2 * time.Second

// WatchServer sends updates of the declared state to the followers of one control
// VM.
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

// receiveReports records the reports of the follower on the state that it has in
// force.
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

// sendUpdates sends each change of the state and each confirmation until the
// session ends.
func (w *WatchServer) sendUpdates(ctx context.Context, s peer.Stream, watch message.Watch) {
	from, opened := watch.From, time.Now()
	w.Confirmer.Trigger()
	for {
		// The confirmation must be read before the state: a later one would
		// count for a state that was read before it.
		last, confirmed := w.Confirmer.Last()
		var update message.Update
		var err error
		changed := w.Store.Read(func(d *declared.State) { update, err = d.Update(from) })
		if err != nil {
			// The follower has a later revision than this control VM. It must
			// not be sent an update, as its state would revert.
			w.Logger.Warn("follower has a later revision than this control VM", "follower", watch.Node, "error", err)
			return
		}
		update.Age, update.Confirmed = time.Since(last), !last.IsZero()
		update.Fresh = last.After(opened)
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

// waitNext waits for a change, a confirmation that the follower has not received
// yet, or the end of freshnessInterval. It reports false once the session has ended.
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
