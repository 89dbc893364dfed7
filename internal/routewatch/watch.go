package routewatch

import (
	"context"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// watcher is one process that watches this control VM.
type watcher struct {
	node string
	// address is the address at which a control VM can be watched itself; it is empty for
	// forwarders.
	address string
	// listen is the address at which other forwarders reach the forwarder.
	listen string
	// observes is set for control VMs, which send no requests to servers.
	observes bool
	// alone is the Alone of the RouteWatch with which the process began to watch.
	alone bool
	// withholds is set while restored servers of other control VMs are not sent to the process:
	// until it acknowledges its first update, and on if it knows enough servers then.
	withholds bool
	// pending are the servers to send with the next update, number is the number of the last
	// update.
	pending map[string]message.BackendServer
	number  uint64
	// reports are the crash reports to send with the next update.
	reports []message.CrashReport
	// peers are the other forwarders that were last sent to it.
	peers []string
	// acknowledged is the number of the last update that the watcher acknowledged.
	acknowledged uint64
	// version is the routing version that the watcher reported, connected whether a control
	// VM recently reported to it that a quorum confirmed its state.
	version   uint64
	connected bool
	// wake is signalled for changes that may be batched, urgent for those that must not wait.
	wake, urgent chan struct{}
	// progress is closed and replaced whenever acknowledged changes or the watch ends.
	progress chan struct{}
	closed   bool
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitAcknowledged waits until forwarders have acknowledged updates. A server that leaves
// serves on for only a short time once its leaving is acknowledged. If a control VM from
// which no forwarder receives updates acknowledged it, requests would still be sent to the
// server after it has stopped. A forwarder that is partitioned itself must not delay the
// acknowledgement, so half of the forwarders suffice after the timeout.
func (r *Server) awaitAcknowledged(ctx context.Context, numbers map[*watcher]uint64) error {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	acknowledged := 0
	for w, number := range numbers {
		if r.awaitUpdate(ctx, w, number) {
			acknowledged++
		}
	}
	if acknowledged == 0 || 2*acknowledged < len(numbers) {
		return notAcknowledged("the forwarders did not hear of it")
	}
	return nil
}

// awaitUpdate waits until a forwarder has acknowledged an update. It returns false if ctx or the
// watch ended first.
func (r *Server) awaitUpdate(ctx context.Context, w *watcher, number uint64) bool {
	for {
		r.mutex.Lock()
		acknowledged, closed, progress := w.acknowledged >= number, w.closed, w.progress
		r.mutex.Unlock()
		if acknowledged || closed {
			return acknowledged
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Server) add(watch message.RouteWatch) *watcher {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w := &watcher{
		node: watch.Node, version: watch.Version, listen: watch.Listen, observes: watch.Observes, alone: watch.Alone, address: watch.Address, pending: map[string]message.BackendServer{},
		withholds: !watch.Alone && !watch.Observes,
		wake:      make(chan struct{}, 1), urgent: make(chan struct{}, 1), progress: make(chan struct{}),
	}
	for _, server := range r.state.Servers() {
		if !r.withheld(w, server) {
			w.pending[server.Instance] = server
		}
	}
	if r.Reports != nil {
		w.reports = r.Reports()
	}
	r.watches[w] = struct{}{}
	r.countWatchers()
	r.Logger.Info("forwarder watches", "forwarder", watch.Node, "observes", watch.Observes, "has", watch.Version, "forwarders", r.forwarders)
	return w
}

func (r *Server) remove(w *watcher) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.watches, w)
	r.countWatchers()
	w.closed = true
	close(w.progress)
	w.progress = make(chan struct{})
	r.Logger.Info("forwarder lost", "forwarder", w.node, "forwarders", r.forwarders)
}

// countWatchers updates the numbers of forwarders, observers and listens from the watchers. The mutex is held.
func (r *Server) countWatchers() {
	r.observers, r.listens = nil, r.listens[:0]
	nodes := make(map[string]struct{}, len(r.watches)) // sessions of an earlier process may still be open
	for w := range r.watches {
		if !w.observes {
			nodes[w.node] = struct{}{}
		}
		if w.address != "" {
			r.observers = append(r.observers, w.address)
		}
		if w.listen != "" {
			r.listens = append(r.listens, w.listen)
		}
	}
	slices.Sort(r.listens)
	now := time.Now()
	r.highestForwarders.Report(now, r.forwarders) // the number was this until now
	r.forwarders = len(nodes)
	r.highestForwarders.Report(now, r.forwarders)
}

// readAcknowledgements reads the acknowledgements of a watcher until the session ends.
func (r *Server) readAcknowledgements(s peer.Stream, w *watcher) {
	for {
		m, err := s.Receive()
		if err != nil {
			_ = s.Close()
			return
		}
		if ack, ok := m.(message.RouteAcknowledged); ok {
			r.mutex.Lock()
			if w.acknowledged == 0 {
				r.sendWithheld(w, ack.Servers)
			}
			w.acknowledged, w.version, w.connected = max(w.acknowledged, ack.Number), max(w.version, ack.Version), ack.Connected
			close(w.progress)
			w.progress = make(chan struct{})
			r.mutex.Unlock()
			if r.Loads != nil && len(ack.Loads) > 0 {
				r.Loads(ack.Loads)
			}
		}
	}
}

// collect moves the servers, reports and peers that are pending for a watcher into an
// update.
func (r *Server) collect(w *watcher, u *message.RouteUpdate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.number++
	u.Number, u.Forwarders = w.number, r.highestForwarders.Highest(time.Now())
	for _, server := range w.pending {
		u.Servers = append(u.Servers, server)
	}
	clear(w.pending)
	u.Reports, w.reports = w.reports, nil
	if peers := r.peersOf(w); !slices.Equal(peers, w.peers) {
		u.Peers, w.peers = peers, peers
	}
}

// peersOf chooses the forwarders whose addresses a forwarder receives: those that are
// 1, 2, 4, 8 … positions ahead in the ring of all sorted addresses. A message that each
// forwarder passes on to its peers reaches all of several hundred within as many steps as
// there are distances, even if many forwarders are lost. The mutex is held.
func (r *Server) peersOf(w *watcher) []string {
	at, found := slices.BinarySearch(r.listens, w.listen)
	if !found {
		return nil
	}
	var peers []string
	for distance := 1; distance < len(r.listens); distance *= 2 {
		peers = append(peers, r.listens[(at+distance)%len(r.listens)])
	}
	return peers
}

// SendReports sends crash reports to all watchers.
func (r *Server) SendReports(reports []message.CrashReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for w := range r.watches {
		w.reports = append(w.reports, reports...)
		signal(w.urgent)
	}
}

func ended(s peer.Stream) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}
