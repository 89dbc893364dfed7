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
	// gatherEach is for how long news that can wait is gathered, for each process that
	// watches. Telling one of them costs the control VM a fifth of a millisecond of
	// its processor, with the answer; after a restart of everything servers announce
	// themselves one by one, and told one by one to some hundred forwarders they would
	// take all of it for seconds. So it is a fifth of a core at most, and a hundred
	// forwarders hear of a new server a tenth of a second later.
	gatherEach = time.Millisecond
	// standInAfter is how long a control VM waits for the one before it in a watcher's
	// order to tell a new routing. A routing of some hundred routes takes 50 ms on a
	// link of 10 Mbit/s, and its receipt is told at once.
	standInAfter = 100 * time.Millisecond
)

// feed tells one watcher what changes.
type feed struct {
	server *Server
	watch  *watcher
	stream peer.Stream
	// told is the highest version that was sent.
	told uint64
	// behindSince is since when the watcher has had behindAt and a higher version is
	// known here; zero while none is.
	behindSince time.Time
	behindAt    uint64
	// sent is the last update, without its servers and routing, sentAt its time.
	sent   message.RouteUpdate
	sentAt time.Time
}

// run tells until the session ends.
func (f *feed) run(ctx context.Context) {
	for whole := true; ; whole = false {
		current, changed := f.server.Store.Current()
		confirmed := f.server.nextConfirmed()
		update, left := f.next(current)
		if update.Confirmed {
			confirmed = nil // nobody waits for the next one
		}
		if whole || f.news(update) || time.Since(f.sentAt) >= tellEvery {
			update.Whole = whole
			if !f.send(update) {
				return
			}
		}
		timer := time.NewTimer(min(left, tellEvery-time.Since(f.sentAt)))
		select {
		case <-ctx.Done():
		case <-f.stream.Done():
		case <-changed:
		case <-f.watch.urgent:
		case <-f.watch.wake:
			f.gather(ctx, changed)
		case <-confirmed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil || ended(f.stream) {
			return
		}
	}
}

// next is what there is to tell besides servers, and how long the routing is still left
// to another control VM.
func (f *feed) next(current routing.InForce) (message.RouteUpdate, time.Duration) {
	update := message.RouteUpdate{Leader: f.server.Leader(), Controls: f.server.places()}
	left := f.routingDue(current.Version)
	if left == 0 && current.Version > f.has() {
		update.Version, update.Routing = current.Version, current.Encoded
	}
	age, ever := f.server.Confirmed()
	// What is confirmed is the routing that the watcher has then.
	update.Confirmed = ever && age < newestWithin && left == 0
	if left == 0 {
		left = tellEvery
	}
	return update, left
}

// has is the version that the watcher is known to have, or to be sent.
func (f *feed) has() uint64 {
	f.server.mutex.Lock()
	defer f.server.mutex.Unlock()
	return max(f.told, f.watch.version)
}

// routingDue is how long a version that the watcher does not have is left to other
// control VMs to tell; zero if it is to be told here now, or need not be told.
//
// Every control VM has each routing, and a watcher needs it once. Told by all of them at
// the same moment, a routing of 9 KB to a hundred watchers takes a tenth of a second of
// each control VM's processor and link; two changes in a row then held the leader's
// heartbeats up for longer than its lease, and the group was without a leader. So each
// watcher has an order of control VMs of its own; the first one tells it at once, and the
// leader, whose heartbeats must not wait, comes last.
func (f *feed) routingDue(version uint64) time.Duration {
	has := f.has()
	if version <= has {
		f.behindSince = time.Time{}
		return 0
	}
	if f.behindSince.IsZero() || has != f.behindAt {
		f.behindSince, f.behindAt = time.Now(), has
	}
	place := f.place()
	if has == 0 {
		place = f.placeAtStart(place)
	}
	return max(0, time.Duration(place)*standInAfter-time.Since(f.behindSince))
}

// placeAtStart is this control VM's place for a watcher without any routing: the first that it
// watches tells it. The others in its order it may not have reached yet, and after a restart of
// everything it would wait for each of them in vain.
func (f *feed) placeAtStart(place int) int {
	if f.watch.alone {
		return 0
	}
	return max(1, place)
}

// place is this control VM's place in the watcher's order, counted from zero.
func (f *feed) place() int {
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

// news reports whether an update tells anything that the watcher was not told.
func (f *feed) news(u message.RouteUpdate) bool {
	f.server.mutex.Lock()
	defer f.server.mutex.Unlock()
	return len(f.watch.pending) > 0 || len(f.watch.reports) > 0 || len(u.Routing) > 0 || u.Leader != f.sent.Leader ||
		u.Confirmed && !f.sent.Confirmed || !slices.Equal(u.Controls, f.sent.Controls)
}

// send sends an update with all news of servers; false means that the session has ended.
func (f *feed) send(u message.RouteUpdate) bool {
	before := f.sent
	f.sent, f.sentAt = u, time.Now()
	f.sent.Routing = nil
	f.told = max(f.told, u.Version)
	if slices.Equal(u.Controls, before.Controls) {
		u.Controls = nil
	}
	f.server.collect(f.watch, &u)
	return f.stream.Send(u) == nil
}

// gather lets news that can wait for others come together, until there is some that
// cannot.
func (f *feed) gather(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(f.server.gatherFor())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.stream.Done():
	case <-changed:
	case <-f.watch.urgent:
	case <-timer.C:
	}
	select {
	case <-f.watch.wake: // what it stands for goes with the next update
	default:
	}
}
