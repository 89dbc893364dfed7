package peer_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

func echo(_ context.Context, s peer.Stream) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if err := s.Send(m); err != nil {
			return
		}
	}
}

func listen(t testing.TB, a *peer.Authority, name string, edit func(*peer.Config)) *peer.Endpoint {
	t.Helper()
	i := is.New(t)
	material, err := a.Issue(peer.Identity{Name: name, Role: "entry"})
	i.NoErr(err)
	c := peer.Config{Address: "127.0.0.1:0", Credentials: peer.Fixed(material), Handler: echo}
	if edit != nil {
		edit(&c)
	}
	e, err := peer.Listen(c)
	i.NoErr(err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func TestEcho(t *testing.T) {
	i := is.New(t)
	a, err := peer.DevAuthority()
	i.NoErr(err)
	gate := listen(t, a, "gate-1", nil)
	entry := listen(t, a, "entry-1", nil)
	s, err := entry.Open(t.Context(), gate.Address())
	i.NoErr(err)
	want := message.Part{Attempt: message.Attempt{RequestID: "r", Number: 1}, Text: "a\xff"}
	i.NoErr(s.Send(want))
	got, err := s.Receive()
	i.NoErr(err)
	i.Equal(got, want)
	i.Equal(s.Peer(), "gate-1")
	i.NoErr(s.Close())
	<-s.Done()
	_, err = s.Receive()
	i.True(err != nil && err != io.EOF)
	i.Equal(peer.CodeOf(err), peer.CodeClosed)
}
