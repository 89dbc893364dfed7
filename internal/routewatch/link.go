package routewatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/retry"
)

// link is the way to one control VM.
type link struct {
	address    string
	forwarders int
	// stream is the session once an update came over it, nil without one; heard is the
	// number of the last update on it.
	stream peer.Stream
	heard  uint64
	// loads are to be told with the next word to the control VM.
	loads []message.ServiceLoad
}

// open reports whether the control VM is watched.
func (l *link) open() bool { return l.stream != nil }

// learn starts to watch control VMs that were not known. The mutex is held.
func (f *Follower) learn(addresses []string) {
	for _, address := range addresses {
		if f.links[address] != nil || f.ctx.Err() != nil {
			continue
		}
		l := &link{address: address}
		f.links[address] = l
		f.group.Go(func() { f.follow(l) })
	}
}

// follow watches one control VM for as long as it is known as one.
func (f *Follower) follow(l *link) {
	tries := 0
	random := rand.New(rand.NewPCG(f.Watch.Incarnation, uint64(len(l.address))))
	for f.ctx.Err() == nil && f.wanted(l) {
		began := time.Now()
		f.session(l)
		f.lost(l)
		if time.Since(began) > watchAgainMost {
			tries = 0
		}
		pause.For(f.ctx, retry.FullJitter(random, watchAgainFirst, watchAgainMost, tries))
		tries++
	}
}

// wanted reports whether a control VM is still known as one. One that was
// replaced is forgotten; a seed never is, as it may be the only one that is
// left to ask.
func (f *Follower) wanted(l *link) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Contains(f.Seeds, l.address) || slices.Contains(f.current, l.address) {
		return true
	}
	delete(f.links, l.address)
	return false
}

// open opens a session with a control VM. Forwarders begin with different ones: each with the
// one that is to tell it routings. Control VMs are few, and don't wait for a turn.
func (f *Follower) open(l *link) (peer.Stream, error) {
	if f.Watch.Observes {
		return f.openNow(l)
	}
	var s peer.Stream
	err := f.turns.run(f.ctx, ^policy.Rendezvous(f.Watch.Node, l.address), f.turnMost, func() error {
		var err error
		s, err = f.openNow(l)
		return err
	})
	return s, err
}

func (f *Follower) openNow(l *link) (peer.Stream, error) {
	opening, cancel := context.WithTimeout(f.ctx, openWatchWithin)
	defer cancel()
	return f.Dialer.Open(opening, l.address)
}

// turnMost is for how long an opening keeps the others waiting.
func (f *Follower) turnMost() time.Duration {
	if f.Links() == 0 {
		return firstMost
	}
	return turnMost
}

// session watches one control VM until the session ends.
func (f *Follower) session(l *link) {
	s, err := f.open(l)
	if err != nil {
		f.Logger.Debug("control VM not reached", "control", l.address, "error", err)
		return
	}
	defer s.Close()
	defer context.AfterFunc(f.ctx, func() { _ = s.Close() })()
	watch := f.Watch
	watch.Version, watch.Alone = f.Sink.Version(), f.alone(l)
	if err := s.Send(watch); err != nil {
		return
	}
	for {
		m, err := s.Receive()
		if err != nil {
			f.Logger.Info("control VM lost", "control", l.address, "error", err)
			return
		}
		update, ok := m.(message.RouteUpdate)
		if !ok {
			return
		}
		first := !l.open()
		if !f.take(l, s, update) {
			return
		}
		if first && f.Found != nil {
			f.Found(l.address)
		}
		heard := message.RouteHeard{
			Number: update.Number, Version: f.Sink.Version(), InTouch: f.InTouch(), Loads: f.takeLoads(l),
		}
		if err := s.Send(heard); err != nil {
			return
		}
	}
}

// alone reports whether the session with a control VM is the first one. It is so for one at a
// time, until that ends.
func (f *Follower) alone(l *link) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.first == nil {
		f.first = l
	}
	return f.first == l
}

// tellVersion tells the other control VMs that a routing is known.
func (f *Follower) tellVersion(from *link, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, l := range f.links {
		if l == from || !l.open() {
			continue
		}
		heard, stream := message.RouteHeard{Number: l.heard, Version: version, InTouch: f.inTouch()}, l.stream
		// A link that is cut must not hold up the others; its session ends by itself.
		f.group.Go(func() { _ = stream.Send(heard) })
	}
}

// noteLoads keeps what was done for the control VMs that are watched. The mutex
// is held.
func (f *Follower) noteLoads(loads []message.ServiceLoad) {
	for _, l := range f.links {
		l.loads = nil // what was not told within a second is too old
		if l.open() {
			l.loads = loads
		}
	}
}

func (f *Follower) takeLoads(l *link) []message.ServiceLoad {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	loads := l.loads
	l.loads = nil
	return loads
}

func (f *Follower) lost(l *link) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l.stream = nil
	if f.first == l {
		f.first = nil
	}
	f.view.SessionEnded(time.Now(), l.address)
}
