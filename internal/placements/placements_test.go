package placements

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// placeSite is two control VMs that can grant placements, and a forwarder that requests them from
// the leader.
type placeSite struct {
	network    *peertest.Network
	client     *Client
	leader     atomic.Pointer[string]
	allocators map[string]*Allocator
	// frozen is the control VM whose view of the leader is frozen.
	frozen atomic.Pointer[string]
}

func newPlaceSite(ctx context.Context) *placeSite {
	s := &placeSite{network: peertest.NewNetwork(1), allocators: map[string]*Allocator{}}
	s.lead("")
	s.freeze("")
	for _, name := range []string{"one", "two"} {
		a := &Allocator{
			Leads:    func() bool { return s.view(name) == name+":1" },
			Replaced: func() bool { leader := s.view(name); return leader != "" && leader != name+":1" },
			Logger:   slog.New(slog.DiscardHandler),
		}
		a.Prepare()
		a.SetRouting(oriolebend.Routing{Version: 1, Services: []oriolebend.RouteService{{
			Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 1000},
		}}})
		a.ChangeServers(registry.Changes{Servers: []message.BackendServer{
			{Instance: "p", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Prefill},
			{Instance: "d", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode},
		}}, 1)
		s.allocators[name] = a
		s.network.Listen(ctx, name+":1", name, a.Serve)
		go a.Run(ctx)
	}
	s.client = &Client{
		Node: "f", Dialer: s.network.Dialer("f"), Leader: func() string { return *s.leader.Load() },
		Logger: slog.New(slog.DiscardHandler),
	}
	s.client.Prepare()
	go s.client.Run(ctx)
	return s
}

// lead makes the control VM with an address the leader; an empty address means that there is none.
func (s *placeSite) lead(address string) { s.leader.Store(&address) }

// freeze makes a control VM believe that it leads, until the end of the test.
func (s *placeSite) freeze(name string) { s.frozen.Store(&name) }

// view returns the leader that a control VM knows.
func (s *placeSite) view(name string) string {
	if *s.frozen.Load() == name {
		return name + ":1"
	}
	return *s.leader.Load()
}

// request requests a placement for tokens and waits for up to a second.
func (s *placeSite) request(ctx context.Context, tokens int) (dispatch.Effect, bool) {
	return s.client.Place(ctx, forwarder.PlacementRequest{
		Need: dispatch.Need{Service: "s", Prompt: tokens}, InTime: time.Second, Within: time.Second,
	})
}

// granted requests tokens and checks that a placement is granted.
func (s *placeSite) granted(ctx context.Context, is *is.I, tokens int) dispatch.Grant {
	is.Helper()
	effect, asked := s.request(ctx, tokens)
	is.True(asked)
	e, granted := effect.(dispatch.Granted)
	is.True(granted)
	return e.Grant
}

// refused requests tokens and checks that the request is refused for lack of memory.
func (s *placeSite) refused(ctx context.Context, is *is.I, tokens int) {
	is.Helper()
	effect, asked := s.request(ctx, tokens)
	is.True(asked)
	e, refused := effect.(dispatch.Refused)
	is.True(refused)
	is.Equal(e.Reason, oriolebend.ReasonNoMemory)
}

// onPlaceSite runs a test on a new site, with the clock of synctest.
func onPlaceSite(t *testing.T, test func(ctx context.Context, is *is.I, s *placeSite)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, is.New(t), newPlaceSite(ctx))
		cancel()
		synctest.Wait()
	})
}

// The leader grants placements; without a leader the forwarder has to choose engines itself. A new
// leader learns the placements in use.
func TestPlacementsFollowTheLeader(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		_, asked := s.request(ctx, 900)
		is.True(!asked) // there is no leader
		s.lead("one:1")
		time.Sleep(time.Second)
		grant := s.granted(ctx, is, 900)
		is.Equal(grant.Server.Instance, "d")
		is.Equal(grant.Prefill.Instance, "p")
		s.lead("two:1")
		time.Sleep(time.Second)
		s.refused(ctx, is, 900) // 1,020 tokens can be granted, 900 are in use
		s.client.PromptRead(dispatch.PrefillEnded{Grant: grant})
		s.client.Ended(dispatch.Ended{Grant: grant, Outcome: dispatch.OutcomeAnswered})
		s.granted(ctx, is, 900)
	})
}

// Guards against engine memory that is never granted again, because the owner of a placement no
// longer exists: a request is cancelled at the moment at which its placement is granted, or its
// forwarder exits.
func TestPlacementOfACancelledRequestIsReleased(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		for range 5 {
			leaving, leave := context.WithCancel(ctx)
			leave()
			s.request(leaving, 900)
		}
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
	})
}

// Guards against a new leader that, after half a minute without a leader, sends requests to engines
// that refuse them. Forwarders choose engines themselves, a leader is elected, and it knows none of
// these placements. They are reported when the session starts, and released over it.
func TestPlacementsWithoutALeaderAreReported(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		grant := dispatch.Grant{
			Need: dispatch.Need{Service: "s", Prompt: 900}, Server: message.BackendServer{Instance: "d"},
			Prefill: &message.BackendServer{Instance: "p"},
		}
		grant.ReportedID = s.client.RegisterLocal(grant)
		s.lead("one:1")
		time.Sleep(time.Second)
		s.refused(ctx, is, 900)
		s.client.PromptRead(dispatch.PrefillEnded{Grant: grant})
		s.client.Ended(dispatch.Ended{Grant: grant, Outcome: dispatch.OutcomeAnswered})
		s.granted(ctx, is, 900)
	})
}

// Guards against requests that are refused while engines have half of their memory free. The
// connection of a forwarder times out, and the forwarder opens another one and reports its
// placements again: they must not count twice until the first connection has timed out.
func TestPlacementsOfAReconnectedForwarderCountOnce(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		held := message.PlacementRequest{ID: 1, Service: "s", Prompt: 400, Server: "d"}
		for range 3 { // sessions of which none is known to have ended
			session, err := s.network.Dialer("g").Open(ctx, "one:1")
			is.NoErr(err)
			is.NoErr(session.Send(message.PlaceOpen{Node: "g", Held: []message.PlacementRequest{held}}))
			time.Sleep(100 * time.Millisecond)
		}
		s.granted(ctx, is, 600)
	})
}

// Guards against forwarders that search for memory on their own in a burst, and find it too late.
// The control VMs are partitioned into two halves, and no leader can be elected. The previous
// leader goes on granting placements until another one leads.
func TestPlacementsAreGrantedWithoutAQuorum(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		s.lead("")
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
		s.lead("two:1")
		time.Sleep(time.Second)
		is.True(!s.allocators["one"].isActive())
		is.True(s.allocators["two"].isActive())
	})
}

// Guards against generations that are late because they are requested in the second after the
// leader has frozen. It does not end its sessions, and no other control VM leads yet, so that each
// request waits for its answer. The wait must distinguish a leader that has no memory to grant from
// one that does not respond. The forwarder chooses engines itself in the meantime, and requests
// placements again as soon as the leader responds; requests that wait because memory is short
// continue to wait.
func TestUnresponsiveLeaderIsNotAwaited(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
		began := time.Now()
		s.refused(ctx, is, 900) // memory is short, and the leader responds
		is.True(time.Since(began) >= time.Second)
		s.network.Cut("one", "f")
		began = time.Now()
		_, asked := s.request(ctx, 900)
		is.True(!asked)
		is.True(time.Since(began) < probeAfter+probeTimeout+probeAfter)
		began = time.Now()
		_, asked = s.request(ctx, 900)
		is.True(!asked)
		is.True(time.Since(began) == 0)
	})
}

// Guards against requests that wait for seconds after the leader freezes and are then refused. A
// new leader is elected; the frozen one does not end its sessions, and requests sent to it get no
// answer. The forwarder must turn to the new one.
func TestPlacementsOfAFrozenLeaderAreNotAwaited(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		s.freeze("one")
		s.network.Cut("one", "f") // its answers are lost
		s.lead("two:1")
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
	})
}

// Guards against prompts that queue at a few prefill engines after a restart of the whole system: a
// request that comes just before the first session has opened waits for it, and one without any
// leader does not wait.
func TestRequestWaitsForTheFirstSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newPlaceSite(ctx)
		began := time.Now()
		_, asked := s.client.Place(ctx, forwarder.PlacementRequest{Need: dispatch.Need{Service: "s", Prompt: 100}, Within: time.Second})
		is.True(!asked)
		is.Equal(time.Since(began), time.Duration(0))
		s.lead("one:1")
		effect, asked := s.client.Place(ctx, forwarder.PlacementRequest{Need: dispatch.Need{Service: "s", Prompt: 100}, Within: time.Second})
		is.True(asked)
		_, granted := effect.(dispatch.Granted)
		is.True(granted)
		is.True(time.Since(began) <= firstSessionTimeout)
	})
}
