package places

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

// placeSite is two control VMs that can give places and a forwarder that asks
// whoever leads.
type placeSite struct {
	network *peertest.Network
	client  *Client
	leader  atomic.Pointer[string]
	givers  map[string]*Giver
	// frozen is the control VM that goes on as it was.
	frozen atomic.Pointer[string]
}

func newPlaceSite(ctx context.Context) *placeSite {
	s := &placeSite{network: peertest.NewNetwork(1), givers: map[string]*Giver{}}
	s.lead("")
	s.freeze("")
	for _, name := range []string{"one", "two"} {
		p := &Giver{
			Leads:    func() bool { return s.view(name) == name+":1" },
			Replaced: func() bool { leader := s.view(name); return leader != "" && leader != name+":1" },
			Logger:   slog.New(slog.DiscardHandler),
		}
		p.Prepare()
		p.SetRouting(oriolebend.Routing{Version: 1, Services: []oriolebend.RouteService{{
			Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 1000},
		}}})
		p.ChangeServers(registry.Changes{Servers: []message.BackendServer{
			{Instance: "p", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Prefill},
			{Instance: "d", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode},
		}}, 1)
		s.givers[name] = p
		s.network.Listen(ctx, name+":1", name, p.Serve)
		go p.Run(ctx)
	}
	s.client = &Client{
		Node: "f", Dialer: s.network.Dialer("f"), Leader: func() string { return *s.leader.Load() },
		Logger: slog.New(slog.DiscardHandler),
	}
	s.client.Prepare()
	go s.client.Run(ctx)
	return s
}

// lead has the control VM with an address lead, or nobody.
func (s *placeSite) lead(address string) { s.leader.Store(&address) }

// freeze has a control VM believe for good that it leads.
func (s *placeSite) freeze(name string) { s.frozen.Store(&name) }

// view is the leader that a control VM knows.
func (s *placeSite) view(name string) string {
	if *s.frozen.Load() == name {
		return name + ":1"
	}
	return *s.leader.Load()
}

// ask asks for a place for tokens and waits for up to a second.
func (s *placeSite) ask(ctx context.Context, tokens int) (dispatch.Effect, bool) {
	return s.client.Place(ctx, forwarder.PlaceRequest{
		Need: dispatch.Need{Service: "s", Prompt: tokens}, InTime: time.Second, Within: time.Second,
	})
}

// granted asks for tokens and checks that a place is given.
func (s *placeSite) granted(ctx context.Context, is *is.I, tokens int) dispatch.Grant {
	is.Helper()
	effect, asked := s.ask(ctx, tokens)
	is.True(asked)
	e, granted := effect.(dispatch.Granted)
	is.True(granted)
	return e.Grant
}

// refused asks for tokens and checks that there is no room for them.
func (s *placeSite) refused(ctx context.Context, is *is.I, tokens int) {
	is.Helper()
	effect, asked := s.ask(ctx, tokens)
	is.True(asked)
	e, refused := effect.(dispatch.Refused)
	is.True(refused)
	is.Equal(e.Reason, oriolebend.ReasonNoMemory)
}

// onPlaceSite runs a test on a new site, on the clock of synctest.
func onPlaceSite(t *testing.T, test func(ctx context.Context, is *is.I, s *placeSite)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, is.New(t), newPlaceSite(ctx))
		cancel()
		synctest.Wait()
	})
}

// Places are given by whoever leads; without a leader the forwarder is told to
// look for itself. A new leader learns the places that are in use.
func TestPlacesFollowTheLeader(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		_, asked := s.ask(ctx, 900)
		is.True(!asked) // nobody leads
		s.lead("one:1")
		time.Sleep(time.Second)
		grant := s.granted(ctx, is, 900)
		is.Equal(grant.Server.Instance, "d")
		is.Equal(grant.Prefill.Instance, "p")
		s.lead("two:1")
		time.Sleep(time.Second)
		s.refused(ctx, is, 900) // 1,020 tokens are granted, 900 are in use
		s.client.PromptRead(dispatch.PrefillEnded{Grant: grant})
		s.client.Ended(dispatch.Ended{Grant: grant, Outcome: dispatch.OutcomeAnswered})
		s.granted(ctx, is, 900)
	})
}

// Symptom: an engine's memory is never given again. Sequence: a request leaves in
// the moment in which its place is given, or its forwarder dies. Cause: a place
// whose owner is gone.
func TestPlaceOfOneThatLeftIsGivenBack(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		for range 5 {
			leaving, leave := context.WithCancel(ctx)
			leave()
			s.ask(leaving, 900)
		}
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
	})
}

// Symptom: after half a minute without a leader the new one sends requests to engines
// that refuse them. Sequence: forwarders find places themselves, a leader is elected,
// and knows of none of them. They are told with the session, and given back by it.
func TestPlacesFoundWithoutALeaderAreTold(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		grant := dispatch.Grant{
			Need: dispatch.Need{Service: "s", Prompt: 900}, Server: message.BackendServer{Instance: "d"},
			Prefill: &message.BackendServer{Instance: "p"},
		}
		grant.ReportedID = s.client.Found(grant)
		s.lead("one:1")
		time.Sleep(time.Second)
		s.refused(ctx, is, 900)
		s.client.PromptRead(dispatch.PrefillEnded{Grant: grant})
		s.client.Ended(dispatch.Ended{Grant: grant, Outcome: dispatch.OutcomeAnswered})
		s.granted(ctx, is, 900)
	})
}

// Symptom: requests are refused while engines are half empty. Sequence: the connection
// of a forwarder falls silent, and it opens another one and tells its places anew.
// Cause: until the first connection timed out, they counted twice.
func TestPlacesOfAForwarderThatReturnsCountOnce(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		held := message.PlaceQuestion{ID: 1, Service: "s", Prompt: 400, Server: "d"}
		for range 3 { // sessions of which none is known to have ended
			session, err := s.network.Dialer("g").Open(ctx, "one:1")
			is.NoErr(err)
			is.NoErr(session.Send(message.PlaceOpen{Node: "g", Held: []message.PlaceQuestion{held}}))
			time.Sleep(100 * time.Millisecond)
		}
		s.granted(ctx, is, 600)
	})
}

// Symptom: in a burst each forwarder looks for memory on its own, and finds it too
// late. Sequence: the control VMs are cut in two halves, and nobody can be elected.
// The one that led goes on giving places, until another leads.
func TestPlacesAreGivenWithoutAQuorum(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		s.lead("")
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
		s.lead("two:1")
		time.Sleep(time.Second)
		is.True(!s.givers["one"].gives())
		is.True(s.givers["two"].gives())
	})
}

// Symptom: all generations are late that are asked for in the second after the leader has
// frozen. Sequence: it does not end its sessions, and no other one leads yet; each request
// waits for its answer. Cause: a wait for places that does not tell one who is asked and has
// none from one who is not there. The forwarder looks for places itself meanwhile, and asks
// again as soon as there is a sign of life; who waits while memory is short waits on.
func TestSilentLeaderIsNotAwaited(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
		began := time.Now()
		s.refused(ctx, is, 900) // its memory is short, and it lives
		is.True(time.Since(began) >= time.Second)
		s.network.Cut("one", "f")
		began = time.Now()
		_, asked := s.ask(ctx, 900)
		is.True(!asked)
		is.True(time.Since(began) < probeAfter+probeWithin+probeAfter)
		began = time.Now()
		_, asked = s.ask(ctx, 900)
		is.True(!asked)
		is.True(time.Since(began) == 0)
	})
}

// Symptom: for seconds after the leader freezes requests wait and are then refused.
// Sequence: a new leader is elected; the frozen one does not end its sessions, and
// what was asked of it gets no answer. The forwarder turns to the new one.
func TestPlacesOfAFrozenLeaderAreNotAwaited(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		s.freeze("one")
		s.network.Cut("one", "f") // its answers do not come
		s.lead("two:1")
		time.Sleep(time.Second)
		s.granted(ctx, is, 900)
	})
}
