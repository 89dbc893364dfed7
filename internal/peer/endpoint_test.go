package peer_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peercontract"
)

// site creates processes whose certificates one authority signed.
type site struct {
	authority *peer.Authority
}

func newSite(t testing.TB) site {
	t.Helper()
	a, err := peer.DevAuthority()
	is.New(t).NoErr(err)
	return site{authority: a}
}

func (s site) listen(t testing.TB, name string, edit func(*peer.Config)) *peer.Endpoint {
	t.Helper()
	i := is.New(t)
	material, err := s.authority.Issue(peer.Identity{Name: name, Role: "sidecar"})
	i.NoErr(err)
	c := peer.Config{Address: "127.0.0.1:0", Credentials: peer.Fixed(material), Handler: peercontract.Echo}
	if edit != nil {
		edit(&c)
	}
	e, err := peer.Listen(c)
	i.NoErr(err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func TestContract(t *testing.T) {
	peercontract.Run(t, func(t *testing.T, handler peer.Handler) peercontract.Network {
		s := newSite(t)
		gate := s.listen(t, peercontract.GateName, func(c *peer.Config) { c.Handler = handler })
		entry := s.listen(t, peercontract.EntryName, nil)
		return peercontract.Network{
			Entry:       entry,
			GateAddress: gate.Address(),
			KillGate:    func() { _ = gate.Close() },
		}
	})
}

// A control VM that is listed among its own members dials its own socket.
func TestProcessReachesItself(t *testing.T) {
	e := newSite(t).listen(t, "control-1", nil)
	echoOnce(t, e, e.Address())
}
