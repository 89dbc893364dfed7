package routewatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/routing"
)

const (
	// batchDelayPerWatcher is how long changes that are not urgent are batched, times the
	// number of watchers. One update and its acknowledgement cost the control VM 0.2 ms of
	// processor time. After a restart of the whole system servers announce themselves one
	// by one; sent one by one to about a hundred forwarders, these changes would take the
	// whole processor for seconds. Batched, updates take at most a fifth of a core, and a
	// hundred forwarders receive a new server a tenth of a second later.
	batchDelayPerWatcher = time.Millisecond
	// routingFallbackDelay is how long a control VM waits for the one before it in a
	// watcher's order to send a new routing. A routing of about a hundred routes takes
	// 50 ms on a link of 10 Mbit/s, and the watcher acknowledges it immediately.
	routingFallbackDelay = 100 * time.Millisecond
)

// feed sends the changes to one watcher.
type feed struct {
	server *Server
	watch  *watcher
	stream peer.Stream
	// sentVersion is the highest routing version that was sent to the watcher.
	sentVersion uint64
	// behindSince is the time since which the watcher has had version behindAt while this
	// control VM has a higher one; it is zero while the watcher has the highest.
	behindSince time.Time
	behindAt    uint64
	// sent is the last update without its servers and routing, sentAt the time it was sent.
	sent   message.RouteUpdate
	sentAt time.Time
}

// run sends updates until the session ends.
func (f *feed) run(ctx context.Context) {
	for whole := true; ; whole = false {
		current, changed := f.server.Store.Current()
		confirmed := f.server.nextConfirmed()
		update, left := f.next(current)
		if update.Confirmed {
			confirmed = nil // this update carries a confirmation, so the next one is not awaited
		}
		if whole || f.hasChanges(update) || time.Since(f.sentAt) >= updateInterval {
			update.Whole = whole
			if !f.send(update) {
				return
			}
		}
		timer := time.NewTimer(min(left, updateInterval-time.Since(f.sentAt)))
		select {
		case <-ctx.Done():
		case <-f.stream.Done():
		case <-changed:
		case <-f.watch.urgent:
		case <-f.watch.wake:
			f.batch(ctx, changed)
		case <-confirmed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil || ended(f.stream) {
			return
		}
	}
}

// next returns the next update without its servers and crash reports, and how long the
// routing is still left to another control VM.
func (f *feed) next(current routing.InForce) (message.RouteUpdate, time.Duration) {
	update := message.RouteUpdate{Leader: f.server.Leader(), Controls: f.server.controlAddresses()}
	if f.server.Term != nil {
		update.LeaderTerm = f.server.Term()
	}
	left := f.routingDue(current.Version)
	if left == 0 && current.Version > f.knownVersion() {
		update.Version, update.Routing = current.Version, current.Encoded
	}
	age, ever := f.server.Confirmed()
	// Confirmed applies to the routing that the watcher has after this update.
	update.Confirmed = ever && age < confirmationMaxAge && left == 0
	if left == 0 {
		left = updateInterval
	}
	return update, left
}

// knownVersion returns the routing version that the watcher reported or that was sent to it,
// whichever is higher.
func (f *feed) knownVersion() uint64 {
	f.server.mutex.Lock()
	defer f.server.mutex.Unlock()
	return max(f.sentVersion, f.watch.version)
}

// routingDue returns how long other control VMs have left to send a version that the
// watcher lacks; zero if this control VM sends it now, or if it need not be sent.
//
// Every control VM has each routing, and a watcher needs it once. A routing of 9 KB that
// every control VM sends to a hundred watchers at the same moment takes a tenth of a
// second of each control VM's processor and link. Two changes in a row then delayed the
// leader's heartbeats for longer than its lease, and the group lost its leader. So each
// watcher has its own order of control VMs: the first one sends the routing immediately,
// and the leader, whose heartbeats must not wait, comes last.
func (f *feed) routingDue(version uint64) time.Duration {
	known := f.knownVersion()
	if version <= known {
		f.behindSince = time.Time{}
		return 0
	}
	if f.behindSince.IsZero() || known != f.behindAt {
		f.behindSince, f.behindAt = time.Now(), known
	}
	position := f.position()
	if known == 0 {
		position = f.positionAtStart(position)
	}
	return max(0, time.Duration(position)*routingFallbackDelay-time.Since(f.behindSince))
}

// positionAtStart returns this control VM's position for a watcher without any routing: the
// first control VM that it watches sends the routing. The watcher may not have reached the
// others in its order yet; after a restart of the whole system it would wait for each of
// them without success.
func (f *feed) positionAtStart(position int) int {
	if f.watch.alone {
		return 0
	}
	return max(1, position)
}

// position returns this control VM's position in the watcher's order, counted from zero.
func (f *feed) position() int {
	r := f.server
	leader := r.Leader()
	order := slices.Clone(r.Controls())
	slices.SortFunc(order, func(a, b string) int {
		switch {
		case a == leader:
			return 1
		case b == leader:
			return -1
		}
		return cmp.Compare(policy.Rendezvous(f.watch.node, a), policy.Rendezvous(f.watch.node, b))
	})
	return max(0, slices.Index(order, r.Self))
}

// hasChanges reports whether an update, or the servers and reports pending for it, hold a change
// that was not sent to the watcher.
func (f *feed) hasChanges(u message.RouteUpdate) bool {
	f.server.mutex.Lock()
	defer f.server.mutex.Unlock()
	return len(f.watch.pending) > 0 || len(f.watch.reports) > 0 || len(u.Routing) > 0 || u.Leader != f.sent.Leader ||
		u.Confirmed && !f.sent.Confirmed || !slices.Equal(u.Controls, f.sent.Controls)
}

// send sends an update with all pending servers and crash reports. It returns false if the
// session has ended.
func (f *feed) send(u message.RouteUpdate) bool {
	before := f.sent
	f.sent, f.sentAt = u, time.Now()
	f.sent.Routing = nil
	f.sentVersion = max(f.sentVersion, u.Version)
	if slices.Equal(u.Controls, before.Controls) {
		u.Controls = nil
	}
	f.server.collect(f.watch, &u)
	return f.stream.Send(u) == nil
}

// batch waits for further changes to batch, until the batch delay is over or a change is
// urgent.
func (f *feed) batch(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(f.server.batchDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.stream.Done():
	case <-changed:
	case <-f.watch.urgent:
	case <-timer.C:
	}
	select {
	case <-f.watch.wake: // the next update carries the changes that it signals
	default:
	}
}
