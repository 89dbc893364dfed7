package routewatch

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/routing"
)

// newServer returns a control VM that knows no leader and no other control VM, and whose
// state is always confirmed; change alters it before it is prepared.
func newServer(change func(r *Server)) *Server {
	r := &Server{
		Store:     routing.NewStore(),
		Confirmed: func() (time.Duration, bool) { return 0, true },
		Controls:  func() []string { return nil },
		Leader:    func() string { return "" },
		Logger:    slog.New(slog.DiscardHandler),
	}
	change(r)
	r.Prepare()
	return r
}

// updates is a stream that records the updates sent on it and their times.
type updates struct {
	mutex sync.Mutex
	sent  []message.RouteUpdate
	at    []time.Time
	done  chan struct{}
	first atomic.Bool
}

func (u *updates) Send(m message.Message) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.sent, u.at = append(u.sent, m.(message.RouteUpdate)), append(u.at, time.Now())
	return nil
}

func (u *updates) Receive() (message.Message, error) {
	if !u.first.Swap(true) {
		return message.RouteWatch{Node: "f"}, nil
	}
	<-u.done
	return nil, io.EOF
}

func (u *updates) Close() error          { return nil }
func (u *updates) Done() <-chan struct{} { return u.done }
func (u *updates) Peer() string          { return "f" }

// Guards against forwarders that have the routing in force after a power loss of all VMs, but
// count as unready for another second. The leader is elected and confirms 300 ms after a
// forwarder began to watch; the confirmation was sent only with the next regular update.
func TestConfirmationIsSentImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var confirmed atomic.Bool
		next := make(chan struct{})
		r := newServer(func(r *Server) {
			r.Confirmed = func() (time.Duration, bool) { return 0, confirmed.Load() }
			r.NextConfirmed = func() <-chan struct{} { return next }
		})
		u := &updates{done: make(chan struct{})}
		go r.Serve(t.Context(), u)
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		confirmed.Store(true)
		close(next)
		synctest.Wait()
		u.mutex.Lock()
		defer u.mutex.Unlock()
		last := len(u.sent) - 1
		is.True(u.sent[last].Confirmed)
		is.Equal(u.at[last].Sub(began), 300*time.Millisecond)
		is.Equal(len(u.sent), 2) // one more update; the closed channel causes no others
		close(u.done)
	})
}

// Guards against engines that crash and restart during a partition and then stay idle for
// eight seconds. The group of control VMs is split in two, and a third of the engines announce
// themselves to the side without a quorum; that side kept them, and the leader, which allocates
// placements, did not receive them. Such an engine is redirected to a control VM that both
// sides reach, always the same one for an instance.
func TestPartitionedControlVMRedirectsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var connected atomic.Bool
		connected.Store(true)
		r := newServer(func(r *Server) { r.Connected = connected.Load })
		watchers := map[string]bool{"10.0.0.1:1": true, "10.0.0.2:1": true, "10.0.0.3:1": false, "": true}
		for address, isConnected := range watchers {
			near, far := peertest.Pair("watcher", "control")
			defer near.Close()
			go r.Serve(t.Context(), far)
			is.NoErr(near.Send(message.RouteWatch{Node: address, Observes: address != "", Address: address}))
			is.NoErr(near.Send(message.RouteAcknowledged{Number: 1, Connected: isConnected}))
		}
		synctest.Wait()
		is.Equal(r.AnnounceTo("i-1"), "")
		connected.Store(false)
		named := map[string]int{}
		for i := range 100 {
			to := r.AnnounceTo(fmt.Sprint("i-", i))
			is.Equal(r.AnnounceTo(fmt.Sprint("i-", i)), to)
			named[to]++
		}
		is.Equal(len(named), 2)
		is.True(named["10.0.0.1:1"] > 20 && named["10.0.0.2:1"] > 20)
	})
}

// Guards against control VMs and forwarders of a large site that only exchange updates of
// servers for half a minute after a restart of the whole system, and answer no request. A
// control VM with a hundred forwarders starts, and 300 servers announce themselves to it within
// 1.2 s; each server was sent to each forwarder by itself, in 30,000 updates instead of some
// 1,200. A server that leaves must not wait for others.
func TestNewServersAreSentInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newServer(func(*Server) {})
		const forwarders, servers = 100, 300
		watches := make([]*updates, forwarders)
		for i := range watches {
			watches[i] = &updates{done: make(chan struct{})}
			go r.Serve(t.Context(), watches[i])
		}
		synctest.Wait()
		server := message.BackendServer{Phase: message.PhaseReady, Sequence: 1}
		for i := range servers {
			server.Instance, server.Address = fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.0.1:%d", i)
			is.NoErr(r.Announce(t.Context(), server))
			time.Sleep(4 * time.Millisecond)
		}
		time.Sleep(forwarders * batchDelayPerWatcher)
		server.Phase, server.Sequence = message.PhaseDraining, 2
		go func() { _ = r.Announce(t.Context(), server) }() // no forwarder acknowledges it
		synctest.Wait()
		for _, u := range watches {
			u.mutex.Lock()
			sent := 0
			for _, update := range u.sent {
				sent += len(update.Servers)
			}
			is.Equal(sent, servers+1)
			is.True(len(u.sent) <= 2*12+4) // one in 100 ms, and the regular updates
			is.Equal(time.Since(u.at[len(u.at)-1]), time.Duration(0))
			close(u.done)
			u.mutex.Unlock()
		}
	})
}

// Guards against forwarders that no other forwarder knows: messages that forwarders pass on to
// each other would not reach them. Forwarders start and stop, and each receives the addresses
// of some others. From each forwarder all others are reached within as many steps as it has
// peers.
func TestForwardersKnowEachOther(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{1, 2, 3, 9, 105, 320} {
		r := newServer(func(*Server) {})
		watches := map[string]*watcher{}
		for i := range count {
			listen := fmt.Sprintf("10.0.%d.%d:7", i%7, i)
			watches[listen] = r.add(message.RouteWatch{Node: listen, Listen: listen})
		}
		r.add(message.RouteWatch{Node: "control", Observes: true, Address: "10.9.9.9:7"})
		r.remove(r.add(message.RouteWatch{Node: "gone", Listen: "10.8.8.8:7"}))
		reached := map[string]bool{r.listens[0]: true}
		steps := 0
		for ; len(reached) < count; steps++ {
			is.True(steps <= len(r.peersOf(watches[r.listens[0]])))
			for listen := range maps.Clone(reached) {
				for _, peer := range r.peersOf(watches[listen]) {
					reached[peer] = true
				}
			}
		}
		is.True(len(r.peersOf(watches[r.listens[0]])) <= 9)
	}
}

// Guards against forwarders that divide the retry budget by a number that is too low or too high. A
// control VM that loses half of them in a partition must go on to report all; one that a forwarder
// watches twice, as the session of its earlier process is still open, must count it once.
func TestHighestNumberOfForwardersIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newServer(func(*Server) {})
		reported := func(w *watcher) int {
			var update message.RouteUpdate
			r.collect(w, &update)
			return update.Forwarders
		}
		var watchers []*watcher
		for i := range 30 {
			watchers = append(watchers, r.add(message.RouteWatch{Node: fmt.Sprint(i)}))
		}
		first := r.add(message.RouteWatch{Node: "0"}) // restarted
		is.Equal(reported(first), 30)
		time.Sleep(time.Hour)
		for _, w := range watchers[:20] {
			r.remove(w)
		}
		is.Equal(reported(first), 30)
		is.Equal(r.Forwarders(), 11)
		time.Sleep(message.ForwardersPeriod + time.Second)
		is.Equal(reported(first), 11)
	})
}

// Guards against requests that reach a server long after its leaving was acknowledged: the
// control VM acknowledged it without waiting for forwarders, from which it was partitioned.
func TestLeavingIsAcknowledgedAfterForwarders(t *testing.T) {
	is := is.New(t)
	routes := newServer(func(*Server) {})
	server := message.BackendServer{Instance: "i-1", Address: "a:1", Phase: message.PhaseReady, Sequence: 1}
	is.True(routes.Announce(t.Context(), server) != nil) // no forwarder watches
	near, far := peertest.Pair("forwarder-1", "control-1")
	go routes.Serve(t.Context(), far)
	is.NoErr(near.Send(message.RouteWatch{Node: "forwarder-1"}))
	first, err := near.Receive()
	is.NoErr(err)
	is.True(first.(message.RouteUpdate).Whole)
	is.NoErr(routes.Announce(t.Context(), server))
	server.Phase, server.Sequence = message.PhaseDraining, 2
	is.True(routes.Announce(t.Context(), server) != nil) // the forwarder does not acknowledge it
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for {
			m, err := near.Receive()
			if err != nil {
				return
			}
			if err := near.Send(message.RouteAcknowledged{Number: m.(message.RouteUpdate).Number}); err != nil {
				return
			}
		}
	}()
	server.Instance, server.Sequence = "i-2", 1
	is.NoErr(routes.Announce(t.Context(), server))
	is.NoErr(near.Close())
	<-answered
}

// Guards against requests refused for lack of a server after a restart of the whole system: a
// server announced itself before the first forwarder watched, and its announcement was lost.
func TestAnnouncementBeforeTheFirstForwarder(t *testing.T) {
	is := is.New(t)
	routes := newServer(func(*Server) {})
	server := message.BackendServer{Instance: "i-1", Address: "a:1", Phase: message.PhaseReady, Sequence: 1}
	is.True(routes.Announce(t.Context(), server) != nil) // not acknowledged: no forwarder watches
	near, far := peertest.Pair("forwarder-1", "control-1")
	go routes.Serve(t.Context(), far)
	is.NoErr(near.Send(message.RouteWatch{Node: "forwarder-1"}))
	first, err := near.Receive()
	is.NoErr(err)
	is.Equal(first.(message.RouteUpdate).Servers, []message.BackendServer{server})
	is.NoErr(routes.Announce(t.Context(), server)) // repeated after the refusal
	is.NoErr(near.Close())
}

// Guards against a deadlock that blocks a control VM for forwarders and servers: a forwarder
// begins to watch and is sent the known crash reports while another forwarder reports a crash.
// Each of the two goroutines took one lock and waited for the other's.
func TestCrashReportDuringNewWatch(t *testing.T) {
	var r *Server
	store := quarantine.New(quarantine.Config{SendReports: func(reports []message.CrashReport) { r.SendReports(reports) }})
	r = newServer(func(r *Server) { r.Reports = store.Reports })
	const rounds = 500
	done := make(chan struct{})
	go func() {
		defer close(done)
		var group sync.WaitGroup
		group.Go(func() {
			for i := range rounds {
				store.ApplyReports([]message.CrashReport{{Fingerprint: uint64(i / quarantine.Limit), Instance: fmt.Sprint(i)}}, true)
			}
		})
		group.Go(func() {
			for range rounds {
				r.remove(r.add(message.RouteWatch{Node: "f"}))
			}
		})
		group.Wait()
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("deadlock between a crash report and a new watcher")
	}
}
