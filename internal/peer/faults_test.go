package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// bogus is a message whose body does not match its kind.
type bogus struct {
	AsKind  message.Kind `cbor:"-"`
	Attempt string       `cbor:"attempt"`
}

// Kind implements message.Message.
func (b bogus) Kind() message.Kind { return b.AsKind }

const quickSilence = 300 * time.Millisecond

// quick shortens the time until a connection without packets times out.
func quick(c *peer.Config) { c.Silence = quickSilence }

// Guards against a bad frame that crashes the process or is read as another message,
// because the bytes of a peer were trusted.
func TestBadFrames(t *testing.T) {
	large := message.Prefill{Prompt: strings.Repeat("x", 2<<10)}
	cases := []struct {
		name     string
		m        message.Message
		bound    int
		sendCode peer.Code
		gateCode peer.Code
	}{
		{name: "tooLargeToSend", m: large, bound: 1 << 10, sendCode: peer.CodeTooLarge},
		{name: "tooLargeToReceive", m: large, gateCode: peer.CodeTooLarge},
		{name: "unknownKind", m: bogus{AsKind: "nobodyKnows"}, gateCode: peer.CodeUnknownKind},
		{name: "garbledBody", m: bogus{AsKind: message.KindPart}, gateCode: peer.CodeGarbled},
		{name: "noKind", m: bogus{}, gateCode: peer.CodeGarbled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			s := newSite(t)
			refused := make(chan error, 2)
			gate := s.listen(t, "gate", func(config *peer.Config) {
				config.Codec.MaxFrameBytes = 1 << 10
				config.Handler = func(_ context.Context, s peer.Stream) {
					m, err := s.Receive()
					refused <- err
					if err == nil {
						_ = s.Send(m)
					}
				}
			})
			entry := s.listen(t, "entry", func(config *peer.Config) { config.Codec.MaxFrameBytes = c.bound })
			session, err := entry.Open(t.Context(), gate.Address())
			i.NoErr(err)
			err = session.Send(c.m)
			if c.gateCode == "" || peer.CodeOf(err) != peer.CodeReset {
				// A gate that refuses a frame by its first bytes may have reset the
				// session before the rest of the frame was sent.
				i.Equal(peer.CodeOf(err), c.sendCode)
			}
			if c.gateCode == "" {
				i.NoErr(session.Send(message.Release{})) // the session continues
				i.NoErr(<-refused)
				return
			}
			i.Equal(peer.CodeOf(<-refused), c.gateCode)
			_, err = session.Receive()
			i.Equal(peer.CodeOf(err), peer.CodeReset)
			echoOnce(t, entry, gate.Address()) // other sessions continue
		})
	}
}

func echoOnce(t *testing.T, d peer.Dialer, address string) {
	t.Helper()
	i := is.New(t)
	s, err := d.Open(t.Context(), address)
	i.NoErr(err)
	i.NoErr(s.Send(message.Release{Reason: "deadline"}))
	m, err := s.Receive()
	i.NoErr(err)
	i.Equal(m, message.Release{Reason: "deadline"})
	i.NoErr(s.Close())
}

// Guards against accepting a process of another site or with another protocol version,
// and against a refusal without its reason.
func TestRefusedPeers(t *testing.T) {
	ours, other := newSite(t), newSite(t)
	issue := func(s site, life time.Duration) peer.Credentials {
		m, err := s.authority.IssueFor(peer.Identity{Name: "entry", Role: "entry"}, life)
		is.New(t).NoErr(err)
		return peer.Fixed(m)
	}
	mixed := func() peer.Credentials {
		m := issue(other, time.Hour).Material()
		m.Authority = ours.authority.Pool()
		return peer.Fixed(m)
	}
	cases := []struct {
		name string
		edit func(*peer.Config)
		want peer.Code
	}{
		{"otherAuthority", func(c *peer.Config) { c.Credentials = issue(other, time.Hour) }, peer.CodeWrongAuthority},
		{"signedByOther", func(c *peer.Config) { c.Credentials = mixed() }, peer.CodeRefused},
		{"expired", func(c *peer.Config) { c.Credentials = issue(ours, -time.Minute) }, peer.CodeRefused},
		{"otherVersion", func(c *peer.Config) { c.Protocols = []string{"oriolebend/2"} }, peer.CodeVersion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			var served atomic.Bool
			gate := ours.listen(t, "gate", func(c *peer.Config) {
				c.Handler = func(_ context.Context, s peer.Stream) {
					served.Store(true)
					_ = s.Send(message.Release{})
				}
			})
			entry := ours.listen(t, "entry", c.edit)
			s, err := entry.Open(t.Context(), gate.Address())
			if err == nil { // the gate may refuse only after the opener has finished its handshake
				_ = s.Send(message.Release{})
				_, err = s.Receive()
			}
			i.Equal(peer.CodeOf(err), c.want)
			i.True(!served.Load())
		})
	}
}

// Guards against an opener that accepts an expired certificate: both sides must check.
func TestOpenerRefusesExpiredPeer(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	gate := s.listen(t, "gate", func(c *peer.Config) {
		m, err := s.authority.IssueFor(peer.Identity{Name: "gate"}, -time.Minute)
		i.NoErr(err)
		c.Credentials = peer.Fixed(m)
	})
	entry := s.listen(t, "entry", nil)
	_, err := entry.Open(t.Context(), gate.Address())
	i.Equal(peer.CodeOf(err), peer.CodeExpired)
}

func TestProtocolOverlap(t *testing.T) {
	s := newSite(t)
	gate := s.listen(t, "gate", func(c *peer.Config) { c.Protocols = []string{"oriolebend/2", peer.Protocol} })
	echoOnce(t, s.listen(t, "entry", nil), gate.Address())
}

// mutable is a socket whose sent packets can be dropped, as in a network partition.
type mutable struct {
	net.PacketConn
	mute atomic.Bool
}

func (m *mutable) WriteTo(b []byte, to net.Addr) (int, error) {
	if m.mute.Load() {
		return len(b), nil
	}
	return m.PacketConn.WriteTo(b, to)
}

func newMutable(t testing.TB) *mutable {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return &mutable{PacketConn: c}
}

// Guards against an entry that waits forever for an unreachable gate: the gate's VM is
// partitioned between two parts, no packet reports it, and open sessions were not checked.
func TestSilentPeerTimesOutOnBothSides(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	socket := newMutable(t)
	gateSaw := make(chan error, 1)
	gate := s.listen(t, "gate", func(c *peer.Config) {
		quick(c)
		c.Handler = func(_ context.Context, s peer.Stream) {
			m, _ := s.Receive()
			_ = s.Send(m)
			_, err := s.Receive()
			gateSaw <- err
		}
	})
	entry := s.listen(t, "entry", func(c *peer.Config) {
		quick(c)
		c.Socket = socket
	})
	session, err := entry.Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.NoErr(session.Send(message.Release{}))
	_, err = session.Receive()
	i.NoErr(err)
	socket.mute.Store(true)
	i.Equal(peer.CodeOf(<-gateSaw), peer.CodeSilent)
	socket.mute.Store(false)
	<-session.Done()
	_, err = session.Receive()
	i.Equal(peer.CodeOf(err), peer.CodeSilent)
	echoOnce(t, entry, gate.Address())
}

// Guards against aborting sessions whose answers take long: an open session without
// messages was treated as a peer that timed out.
func TestQuietSessionIsKept(t *testing.T) {
	s := newSite(t)
	gate := s.listen(t, "gate", func(c *peer.Config) {
		quick(c)
		c.Handler = func(_ context.Context, s peer.Stream) {
			m, _ := s.Receive()
			time.Sleep(3 * quickSilence)
			_ = s.Send(m)
		}
	})
	entry := s.listen(t, "entry", quick)
	echoOnce(t, entry, gate.Address())
}

// Guards against first sessions that hang until the connection times out after a gate
// restarted on the same address: the entry still holds the old connection, and the new
// process could not reset the connections of the old one.
func TestRestartedPeerIsDialledAgain(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	material, err := s.authority.Issue(peer.Identity{Name: "gate", Role: "sidecar"})
	i.NoErr(err)
	socket := newMutable(t)
	address := socket.LocalAddr().String()
	edit := func(c *peer.Config) {
		c.Credentials = peer.Fixed(material)
		c.Address = address
	}
	gate := s.listen(t, "gate", func(c *peer.Config) { edit(c); c.Socket = socket })
	entry := s.listen(t, "entry", func(c *peer.Config) { c.Silence = time.Hour })
	echoOnce(t, entry, address)
	socket.mute.Store(true) // the process ends without a packet
	i.NoErr(gate.Close())
	s.listen(t, "gate", edit)
	session, err := entry.Open(t.Context(), address)
	i.NoErr(err)
	i.NoErr(session.Send(message.Release{}))
	<-session.Done()
	_, err = session.Receive()
	i.Equal(peer.CodeOf(err), peer.CodeLost)
	echoOnce(t, entry, address)
}

// Guards against an unreachable process that blocks connections to other processes, and
// against a failed dial that stays in the pool.
func TestUnreachablePeer(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	socket := newMutable(t)
	address := socket.LocalAddr().String()
	entry := s.listen(t, "entry", func(c *peer.Config) { c.DialTimeout = 50 * time.Millisecond })
	_, err := entry.Open(t.Context(), address)
	i.Equal(peer.CodeOf(err), peer.CodeUnreachable)
	s.listen(t, "gate", func(c *peer.Config) { c.Socket = socket })
	echoOnce(t, s.listen(t, "entry", nil), address)
}

// Guards against unused connections that are kept forever. The side that dialled a
// connection closes it.
func TestIdleConnectionIsClosed(t *testing.T) {
	s := newSite(t)
	gate := s.listen(t, "gate", nil)
	entry := s.listen(t, "entry", func(c *peer.Config) {
		c.Silence = time.Second
		c.IdleAfter = time.Second / 2
	})
	echoOnce(t, entry, gate.Address())
	for entry.Connections() > 0 || gate.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	echoOnce(t, entry, gate.Address())
}

// Guards against a graceful stop that truncates an answer: the gate is stopped while it
// streams, and its socket was closed before the last part was delivered.
func TestStopLetsSessionsEnd(t *testing.T) {
	i := is.New(t)
	const messages = 100
	s := newSite(t)
	begun, stopping := make(chan struct{}), make(chan struct{})
	gate := s.listen(t, "gate", func(c *peer.Config) {
		quick(c)
		c.Handler = func(_ context.Context, s peer.Stream) {
			_, _ = s.Receive()
			close(begun)
			<-stopping
			for n := range messages {
				_ = s.Send(message.Part{Offset: n, Text: strings.Repeat("x", 4<<10)})
			}
		}
	})
	entry := s.listen(t, "entry", quick)
	session, err := entry.Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.NoErr(session.Send(message.Release{}))
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- gate.Stop(context.Background()) }()
	for refused := false; !refused; { // new sessions are refused meanwhile
		refused = refusedBy(t, entry, gate.Address())
	}
	close(stopping)
	for n := range messages {
		m, err := session.Receive()
		i.NoErr(err)
		i.Equal(m.(message.Part).Offset, n)
	}
	_, err = session.Receive()
	i.Equal(err, io.EOF)
	i.NoErr(session.Close())
	i.NoErr(<-stopped)
}

// refusedBy opens a session and reports whether a stop refused it.
func refusedBy(t *testing.T, d peer.Dialer, address string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	s, err := d.Open(ctx, address)
	if err != nil {
		return peer.CodeOf(err) != peer.CodeCancelled
	}
	defer func() { _ = s.Close() }()
	return true
}

func TestStopIsBounded(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	gate := s.listen(t, "gate", nil)
	session, err := s.listen(t, "entry", nil).Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.NoErr(session.Send(message.Release{}))
	_, err = session.Receive()
	i.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	i.Equal(peer.CodeOf(gate.Stop(ctx)), peer.CodeCancelled)
	_, err = session.Receive()
	i.Equal(peer.CodeOf(err), peer.CodeStopping)
}

// Guards against a panic in one session that ends the process with all its sessions.
func TestHandlerPanicResetsItsSession(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	gate := s.listen(t, "gate", func(c *peer.Config) {
		c.Handler = func(_ context.Context, s peer.Stream) {
			if m, _ := s.Receive(); m != nil && m.Kind() == message.KindGrant {
				panic(io.ErrClosedPipe)
			}
			_ = s.Send(message.Release{Reason: "deadline"})
		}
	})
	entry := s.listen(t, "entry", nil)
	session, err := entry.Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.NoErr(session.Send(message.Grant{}))
	_, err = session.Receive()
	i.Equal(peer.CodeOf(err), peer.CodeReset)
	i.True(!errors.Is(err, io.EOF))
	echoOnce(t, entry, gate.Address())
}

func TestListenRefusesBadAddress(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	taken := s.listen(t, "gate", nil).Address()
	material, err := s.authority.Issue(peer.Identity{Name: "gate"})
	i.NoErr(err)
	for _, address := range []string{"", "localhost:1", "127.0.0.1", taken} {
		_, err := peer.Listen(peer.Config{Address: address, Credentials: peer.Fixed(material)})
		i.Equal(peer.CodeOf(err), peer.CodeAddress)
	}
}

func TestIdentityOfPeer(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	gate := s.listen(t, "gate", nil)
	session, err := s.listen(t, "entry", nil).Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.Equal(peer.IdentityOf(session), peer.Identity{Name: "gate", Role: "sidecar"})
}
