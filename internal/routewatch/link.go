package routewatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/discovery"
	"github.com/oriolebend/oriolebend/internal/reducer/retry"
)

// link holds the state of watching one control VM.
type link struct {
	address    string
	forwarders int
	// stream is the session, nil until its first update was received; received is the
	// number of the last update received on it.
	stream   peer.Stream
	received uint64
	// loads are sent with the next acknowledgement to the control VM.
	loads []message.ServiceLoad
}

// open reports whether the control VM is being watched.
func (l *link) open() bool { return l.stream != nil }

// watchNew starts watching the control VMs that were not known yet. The mutex is held.
func (f *Follower) watchNew() {
	found := 0
	for _, address := range f.controls.Addresses() {
		if f.links[address] != nil || f.ctx.Err() != nil {
			continue
		}
		l := &link{address: address}
		f.links[address] = l
		f.group.Go(func() { f.follow(l) })
		f.Logger.Info("control VM found", "control", address, "standing", f.controls.Standing(address))
		found++
	}
	if found > 0 && f.Changed != nil {
		f.Changed()
	}
}

// follow watches one control VM and reconnects until it is no longer known as one.
func (f *Follower) follow(l *link) {
	tries := 0
	random := rand.New(rand.NewPCG(f.Watch.Incarnation, uint64(len(l.address))))
	for f.ctx.Err() == nil && f.isKnown(l) {
		began := time.Now()
		f.session(l)
		f.sessionEnded(l)
		if time.Since(began) > watchBackoffMax {
			tries = 0
		}
		pause.For(f.ctx, retry.FullJitter(random, watchBackoffBase, f.maxBackoff(l), tries))
		tries++
	}
}

// maxBackoff returns the longest backoff before the next attempt to watch a control VM.
func (f *Follower) maxBackoff(l *link) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.controls.Standing(l.address) == discovery.Former {
		return formerBackoffMax
	}
	return watchBackoffMax
}

// isKnown reports whether an address is still known as that of a control VM.
func (f *Follower) isKnown(l *link) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.controls.Standing(l.address) != discovery.Unknown {
		return true
	}
	delete(f.links, l.address)
	return false
}

// open opens a session with a control VM. A forwarder opens its sessions one after the
// other, and first the one with the control VM that sends it routings, which differs between
// forwarders. Control VMs are few and open their sessions without queueing.
func (f *Follower) open(l *link) (peer.Stream, error) {
	if f.Watch.Observes {
		return f.openNow(l)
	}
	var s peer.Stream
	err := f.openings.run(f.ctx, ^policy.Rendezvous(f.Watch.Node, l.address), f.openLimit, func() error {
		var err error
		s, err = f.openNow(l)
		return err
	})
	return s, err
}

func (f *Follower) openNow(l *link) (peer.Stream, error) {
	opening, cancel := context.WithTimeout(f.ctx, openTimeout)
	defer cancel()
	return f.Dialer.Open(opening, l.address)
}

// openLimit returns how long an opening may delay the next one.
func (f *Follower) openLimit() time.Duration {
	if f.Links() == 0 {
		return firstOpenLimit
	}
	return openLimit
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
	watch.Version, watch.Alone = f.Sink.Version(), f.isFirst(l)
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
		if !f.applyUpdate(l, s, update) {
			return
		}
		if first && f.Found != nil {
			f.Found(l.address)
		}
		ack := message.RouteAcknowledged{
			Number: update.Number, Version: f.Sink.Version(), Connected: f.Connected(), Servers: f.serverCount(), Loads: f.takeLoads(l),
		}
		if err := s.Send(ack); err != nil {
			return
		}
	}
}

// isFirst reports whether the session with a control VM is the first one. It holds for one
// control VM at a time, until its session ends.
func (f *Follower) isFirst(l *link) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.first == nil {
		f.first = l
	}
	return f.first == l
}

// sendVersion sends the version of a new routing to the other control VMs, so that they
// don't send it too.
func (f *Follower) sendVersion(from *link, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, l := range f.links {
		if l == from || !l.open() {
			continue
		}
		ack, stream := message.RouteAcknowledged{
			Number: l.received, Version: version, Connected: f.connected(), Servers: f.view.Len(),
		}, l.stream
		// A send that blocks must not delay the others; its session ends by itself.
		f.group.Go(func() { _ = stream.Send(ack) })
	}
}

func (f *Follower) serverCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.Len()
}

// storeLoads stores loads for the control VMs that are watched. The mutex is held.
func (f *Follower) storeLoads(loads []message.ServiceLoad) {
	for _, l := range f.links {
		l.loads = nil // loads that were not sent within a second are too old
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

func (f *Follower) sessionEnded(l *link) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l.stream = nil
	f.controls.Ended(l.address)
	if f.first == l {
		f.first = nil
	}
	f.view.SessionEnded(time.Now(), l.address)
}
