package peer

import (
	"cmp"
	"log/slog"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

// Defaults of Config.
const (
	DefaultSilence     = 3 * time.Second
	DefaultIdleAfter   = 5 * time.Minute
	DefaultDialTimeout = 2 * time.Second
	DefaultMaxSessions = 4096
	// DefaultStreamWindow is how many bytes of one session may be unread; the
	// window grows up to MaxStreamWindow while the receiver keeps up.
	DefaultStreamWindow        = 16 << 10
	DefaultMaxStreamWindow     = 256 << 10
	DefaultConnectionWindow    = 64 << 10
	DefaultMaxConnectionWindow = 1 << 20
)

// ticksPerSilence is how many times within Silence each connection is checked.
const ticksPerSilence = 6

// Config configures an Endpoint. The zero value of each field but Credentials and
// Address is usable.
type Config struct {
	// Address is the IP:port of the UDP socket; port 0 picks a free one.
	Address string
	// Socket replaces the UDP socket of Address, for measurements. The
	// endpoint closes it.
	Socket net.PacketConn
	// Credentials give this process's certificate and its peers' authority.
	Credentials Credentials
	// Handler serves the sessions that peers open; nil refuses them.
	Handler Handler
	// Logger logs events of connections; nil discards them.
	Logger *slog.Logger
	// Metrics counts sessions, connections and errors; nil counts nothing.
	Metrics *Metrics
	// Protocols are the supported protocol versions; empty means Protocol alone.
	Protocols []string
	// Codec bounds frames.
	Codec Codec
	// Frames bounds the memory of the large frames that are being received in all
	// sessions; nil means no bound.
	Frames *memorybudget.Account
	// Silence is how long a peer with open sessions may send nothing, not even
	// acknowledgements, before its connection is closed; zero means
	// DefaultSilence.
	Silence time.Duration
	// IdleAfter is how long a connection without sessions is kept; zero means
	// DefaultIdleAfter.
	IdleAfter time.Duration
	// DialTimeout is the timeout for establishing a connection; zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxSessions bounds the sessions that one peer has open here at a time;
	// zero means DefaultMaxSessions. Its further Opens wait.
	MaxSessions int64
	// StreamWindow and ConnectionWindow are the bytes that a peer may send
	// before they are read, initially and at most; zero means the defaults.
	StreamWindow        uint64
	MaxStreamWindow     uint64
	ConnectionWindow    uint64
	MaxConnectionWindow uint64
}

func (c Config) withDefaults() Config {
	c.Logger = cmp.Or(c.Logger, slog.New(slog.DiscardHandler))
	c.Metrics = cmp.Or(c.Metrics, NewMetrics())
	if len(c.Protocols) == 0 {
		c.Protocols = []string{Protocol}
	}
	c.Silence = cmp.Or(c.Silence, DefaultSilence)
	c.IdleAfter = cmp.Or(c.IdleAfter, DefaultIdleAfter)
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.MaxSessions = cmp.Or(c.MaxSessions, DefaultMaxSessions)
	c.StreamWindow = cmp.Or(c.StreamWindow, DefaultStreamWindow)
	c.MaxStreamWindow = cmp.Or(c.MaxStreamWindow, DefaultMaxStreamWindow)
	c.ConnectionWindow = cmp.Or(c.ConnectionWindow, DefaultConnectionWindow)
	c.MaxConnectionWindow = cmp.Or(c.MaxConnectionWindow, DefaultMaxConnectionWindow)
	return c
}

// quicConfig sets the idle timeout of QUIC to twice IdleAfter, so that the dialling
// side ends an idle connection first. If the accepting side ended it, a session that
// is opened at that moment would be lost with a connection that its opener still
// considers usable.
func (c Config) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.DialTimeout,
		MaxIdleTimeout:                 2 * c.IdleAfter,
		MaxIncomingStreams:             c.MaxSessions,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     c.StreamWindow,
		MaxStreamReceiveWindow:         c.MaxStreamWindow,
		InitialConnectionReceiveWindow: c.ConnectionWindow,
		MaxConnectionReceiveWindow:     c.MaxConnectionWindow,
		EnableDatagrams:                true,
	}
}
