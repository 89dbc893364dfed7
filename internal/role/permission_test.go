package role

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a compromised process that settles requests which it never owned, or
// votes for itself: its certificate is valid, and it opens a session that only another
// role may open. The test data holds the complete table of roles and kinds.
func TestPermitted(t *testing.T) {
	datadriven.RunTest(t, "testdata/permitted", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, kind := range message.Kinds() {
			role := d.Cmd
			if role == "none" {
				role = ""
			}
			err := Permitted(peer.Identity{Role: role, Name: "a"}, kind)
			if denied := (*DeniedError)(nil); err != nil && !errors.As(err, &denied) {
				return err.Error()
			}
			if err == nil {
				fmt.Fprintln(&out, kind)
			}
		}
		return out.String()
	})
}

// countingObserver stores the names of the counters that were increased.
type countingObserver struct {
	mu    sync.Mutex
	names []string
}

func (c *countingObserver) Count(what string, _ oriolebend.Reason, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = append(c.names, what)
}

func (c *countingObserver) counts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names
}

func (c *countingObserver) Observe(string, oriolebend.Urgency, float64) {}

// Guards against a claim that is accepted with a sidecar's certificate. The handshake
// succeeds, since the same authority signed all certificates, so the role must be checked
// before the handler begins. The test sends messages over real sockets.
func TestDispatchDenies(t *testing.T) {
	authority, err := peer.DevAuthority()
	is.New(t).NoErr(err)
	cases := []struct {
		role   string
		first  message.Message
		served bool
	}{
		{peer.RoleEntry, message.Claim{}, true},
		{peer.RoleSidecar, message.Claim{}, false},
		{peer.RoleSidecar, message.Announce{}, true},
		{peer.RoleEntry, message.Announce{}, false},
		{peer.RoleEntry, message.Vote{}, false},
		{peer.RoleControl, message.Vote{}, true},
		{"", message.Claim{}, false},
		{"dev", message.Claim{}, false},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s", c.role, c.first.Kind()), func(t *testing.T) {
			is := is.New(t)
			seen := &countingObserver{}
			answer := func(_ context.Context, s peer.Stream) { is.NoErr(s.Send(message.Confirmed{Index: 1})) }
			dispatch := Dispatch{Logger: slog.New(slog.DiscardHandler), Observer: seen, Handlers: map[message.Kind]peer.Handler{
				message.KindClaim: answer, message.KindAnnounce: answer, message.KindVote: answer,
			}}
			server := listenAs(t, authority, peer.RoleControl, dispatch.Serve)
			s, err := listenAs(t, authority, c.role, nil).Open(t.Context(), server.Address())
			is.NoErr(err)
			is.NoErr(s.Send(c.first))
			_, err = s.Receive()
			if c.served {
				is.NoErr(err)
				is.Equal(len(seen.counts()), 0)
				return
			}
			is.Equal(peer.CodeOf(err), peer.CodeDenied)
			is.Equal(seen.counts(), []string{"peer.denied"})
		})
	}
}

func listenAs(t *testing.T, authority *peer.Authority, role string, handler peer.Handler) *peer.Endpoint {
	t.Helper()
	is := is.New(t)
	material, err := authority.Issue(peer.Identity{Role: role, Name: "a"})
	is.NoErr(err)
	e, err := peer.Listen(peer.Config{Address: loopback, Credentials: peer.Fixed(material), Handler: handler})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(e.Close()) })
	return e
}
