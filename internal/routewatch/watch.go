package routewatch

import (
	"context"
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// watcher is one process that watches.
type watcher struct {
	node string
	// address is where a control VM that watches can be watched itself.
	address string
	// listen is where other forwarders reach the forwarder.
	listen string
	// observes is set for control VMs, which send no requests to servers.
	observes bool
	// alone is set if it watched no other control VM when it began.
	alone bool
	// pending are the servers to tell with the next update, number its number.
	pending map[string]message.BackendServer
	number  uint64
	// reports are to be told with the next update.
	reports []message.CrashReport
	// peers are the other forwarders that it was told of last.
	peers []string
	// heard is the number of the last update that the forwarder has taken in.
	heard uint64
	// version is the routing that it says it has, inTouch whether a quorum confirmed
	// its state of late.
	version uint64
	inTouch bool
	// wake is signalled for news that can wait for others, urgent for what cannot.
	wake, urgent chan struct{}
	// news is closed and replaced whenever heard changes or the watch ends.
	news chan struct{}
	gone bool
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitHeard returns once the forwarders have taken in updates. A server that
// leaves serves on for a short time only after it is told that its leaving is
// known: were it told so by a control VM that no forwarder hears, requests would
// still be sent to it after its end. A forwarder that is cut off itself must not
// hold the others up, so half of them suffice after the wait.
func (r *Server) awaitHeard(ctx context.Context, told map[*watcher]uint64) error {
	ctx, cancel := context.WithTimeout(ctx, heardWithin)
	defer cancel()
	heard := 0
	for w, number := range told {
		if r.await(ctx, w, number) {
			heard++
		}
	}
	if heard == 0 || 2*heard < len(told) {
		return unheard("the forwarders did not hear of it")
	}
	return nil
}

// await waits until a forwarder has taken in an update; false means that it has
// not, or is gone.
func (r *Server) await(ctx context.Context, w *watcher, number uint64) bool {
	for {
		r.mutex.Lock()
		heard, gone, news := w.heard >= number, w.gone, w.news
		r.mutex.Unlock()
		if heard || gone {
			return heard
		}
		select {
		case <-news:
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
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1), news: make(chan struct{}),
	}
	for _, server := range r.state.Servers() {
		w.pending[server.Instance] = server
	}
	if r.Reports != nil {
		w.reports = r.Reports()
	}
	r.watches[w] = struct{}{}
	r.recount()
	r.Logger.Info("forwarder watches", "forwarder", watch.Node, "observes", watch.Observes, "has", watch.Version, "forwarders", r.forwarders)
	return w
}

func (r *Server) remove(w *watcher) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.watches, w)
	r.recount()
	w.gone = true
	close(w.news)
	w.news = make(chan struct{})
	r.Logger.Info("forwarder lost", "forwarder", w.node, "forwarders", r.forwarders)
}

// recount counts who watches. The mutex is held.
func (r *Server) recount() {
	r.forwarders, r.observers, r.listens = 0, nil, r.listens[:0]
	for w := range r.watches {
		if !w.observes {
			r.forwarders++
		}
		if w.address != "" {
			r.observers = append(r.observers, w.address)
		}
		if w.listen != "" {
			r.listens = append(r.listens, w.listen)
		}
	}
	slices.Sort(r.listens)
}

// hear takes the forwarder's word of what it has taken in.
func (r *Server) hear(s peer.Stream, w *watcher) {
	for {
		m, err := s.Receive()
		if err != nil {
			_ = s.Close()
			return
		}
		if h, ok := m.(message.RouteHeard); ok {
			r.mutex.Lock()
			w.heard, w.version, w.inTouch = max(w.heard, h.Number), max(w.version, h.Version), h.InTouch
			close(w.news)
			w.news = make(chan struct{})
			r.mutex.Unlock()
			if r.Loads != nil && len(h.Loads) > 0 {
				r.Loads(h.Loads)
			}
		}
	}
}

// collect takes what is pending for a watcher into an update.
func (r *Server) collect(w *watcher, u *message.RouteUpdate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.number++
	u.Number, u.Forwarders = w.number, r.forwarders
	for _, server := range w.pending {
		u.Servers = append(u.Servers, server)
	}
	clear(w.pending)
	u.Reports, w.reports = w.reports, nil
	if peers := r.peersOf(w); !slices.Equal(peers, w.peers) {
		u.Peers, w.peers = peers, peers
	}
}

// peersOf chooses the forwarders that another one knows: in the ring of their sorted
// addresses those that are 1, 2, 4, 8 … places on. What each tells these reaches all of some
// hundred within as many steps as there are distances, also if many of them are lost. The
// mutex is held.
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

// TellReports tells all that watch of requests under which servers ended.
func (r *Server) TellReports(reports []message.CrashReport) {
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
