package routewatch

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// serversSink holds the servers of a forwarder.
type serversSink struct {
	routingSink
	servers registry.Servers
}

func (s *serversSink) ChangeServers(c registry.Changes, _ int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers.Apply(c)
}

func (s *serversSink) list() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := ""
	for _, server := range s.servers.List() {
		text += fmt.Sprintf("%s %t ", server.Instance, server.Unconfirmed)
	}
	return text
}

// Guards against forwarders that know no server after a restart of the whole system, and against a
// list of all servers from each control VM to each of them. Of three control VMs, which know no
// leader and are not confirmed, the first has lost its disk.
func TestRestoredServersComeWithTheFirstSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := peertest.NewNetwork(1)
		network.Degrade(0, time.Millisecond)
		var addresses []string
		var controls []*Server
		x := message.BackendServer{Instance: "x", Address: "10.1.0.1:1", Phase: message.PhaseReady, Incarnation: 7, Sequence: 40}
		y := message.BackendServer{Instance: "y", Address: "10.1.0.2:1", Phase: message.PhaseReady, Sequence: 40}
		for i := range 3 {
			r := newServer(func(r *Server) { r.Confirmed = func() (time.Duration, bool) { return 0, false } })
			if i > 0 {
				r.Restore([]message.BackendServer{x, y}, map[string]struct{}{"x": {}, "y": {}})
			}
			controls, addresses = append(controls, r), append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
			network.Listen(ctx, addresses[i], addresses[i], r.Serve)
			go r.Run(ctx)
		}
		sinks := map[bool]*serversSink{}
		for _, observes := range []bool{false, true} {
			sinks[observes] = &serversSink{servers: registry.Servers{}}
			f := &Follower{
				Dialer: network.Dialer(fmt.Sprint(observes)), Seeds: addresses, Sink: sinks[observes],
				Watch: message.RouteWatch{Node: fmt.Sprint(observes), Observes: observes}, Logger: slog.New(slog.DiscardHandler),
			}
			go f.Run(ctx)
		}
		time.Sleep(50 * time.Millisecond)
		is.Equal(sinks[false].list(), "x true y true ")
		is.Equal(sinks[true].list(), "x true y true ")
		spared := 0
		for _, r := range controls {
			for w := range r.watches {
				is.True(!w.withholds || !w.observes)
				if w.withholds {
					spared++
				}
			}
		}
		is.True(spared > 0) // not every control VM sends its list to the forwarder
		x.Sequence = 41
		is.NoErr(controls[0].Announce(ctx, x))
		time.Sleep(50 * time.Millisecond)
		is.Equal(sinks[false].list(), "x false y true ")
		controls[1].ReportedElsewhere([]message.BackendServer{x})
		controls[2].ReportedElsewhere([]message.BackendServer{x})
		time.Sleep(4 * time.Second)
		is.Equal(sinks[false].list(), "x false ")
		is.Equal(sinks[true].list(), "x false ")
		is.Equal(controls[1].RestoredCounts(), RestoredCounts{Restored: 2, Confirmed: 1, Dropped: 1})
		cancel()
		time.Sleep(time.Second)
	})
}

// Guards against a line that does not name the dropped servers: the log of a process withholds values
// that are not texts or numbers.
func TestDroppedServersAreLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger, err := logging.New(settings.Log{}, &log)
	is.NoErr(err)
	r := newServer(func(r *Server) { r.Logger = logger })
	var servers []message.BackendServer
	for i := range 2 {
		servers = append(servers, message.BackendServer{
			Instance: fmt.Sprint("i-", i), Address: fmt.Sprintf("10.1.0.%d:1", i), Phase: message.PhaseReady,
		})
	}
	r.Restore(servers, nil)
	r.reduce(registry.Ticked{At: time.Now().Add(registry.DefaultConfirmWithin)})
	is.True(strings.Contains(log.String(), `msg="restored server dropped" servers=2 instances="i-0 i-1"`))
}

// Guards against forwarders that lack servers although they keep running, and against those that receive
// the list of every control VM: a control VM sends the servers that had announced themselves to it, and
// all of them to a forwarder that watches it first or knows too few.
func TestWhichRestoredServersAreSent(t *testing.T) {
	is := is.New(t)
	own := message.BackendServer{Instance: "own", Address: "10.1.0.1:1", Phase: message.PhaseReady}
	other := message.BackendServer{Instance: "other", Address: "10.1.0.2:1", Phase: message.PhaseReady}
	for _, c := range []struct {
		watch    message.RouteWatch
		knows    int
		withheld bool
	}{
		{watch: message.RouteWatch{Alone: true}},
		{watch: message.RouteWatch{Observes: true}},
		{watch: message.RouteWatch{}, knows: 1},
		{watch: message.RouteWatch{}, knows: 2, withheld: true},
	} {
		r := newServer(func(*Server) {})
		r.Restore([]message.BackendServer{own, other}, map[string]struct{}{"other": {}})
		w := r.add(c.watch)
		is.Equal(w.pending["own"].Instance, "own")
		r.sendWithheld(w, c.knows)
		_, sent := w.pending["other"]
		is.Equal(sent, !c.withheld)
		clear(w.pending)
		r.reduce(registry.Ticked{At: time.Now().Add(registry.DefaultConfirmWithin)})
		is.True(w.pending["own"].Dropped())
		is.Equal(w.pending["other"].Dropped(), !c.withheld)
	}
}
