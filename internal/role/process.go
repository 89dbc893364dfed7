package role

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Process is what every role needs to start.
type Process struct {
	Settings    settings.Settings
	Credentials peer.Credentials
	Logger      *slog.Logger
	// Observer takes counts and measures; nil takes none.
	Observer Observer

	// socket replaces the UDP socket, for measurements.
	socket net.PacketConn
}

func (p Process) observer() Observer {
	if p.Observer == nil {
		return unobserved{}
	}
	return p.Observer
}

// unobserved is an Observer that keeps nothing.
type unobserved struct{}

// Count implements Observer.
func (unobserved) Count(string, oriolebend.Reason, string) {}

// Observe implements Observer.
func (unobserved) Observe(string, oriolebend.Urgency, float64) {}

// controlAddresses lists the peer addresses of the control VMs.
func (p Process) controlAddresses() []string {
	addresses := make([]string, 0, len(p.Settings.Control.Members))
	for _, m := range p.Settings.Control.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// followConfig sets up the process's follower of the declared state.
func (p Process) followConfig(role string) follow.Config {
	var controls []follow.Control
	for _, m := range p.Settings.Control.Members {
		controls = append(controls, follow.Control{Name: m.Name, Address: m.Address})
	}
	return follow.Config{
		Node:     p.Settings.Node.Name,
		Role:     role,
		Controls: controls,
		Seed:     newIncarnation(),
	}
}

// listen opens the process's endpoint towards its peers.
func (p Process) listen(handlers map[message.Kind]peer.Handler) (*peer.Endpoint, error) {
	dispatch := Dispatch{Logger: p.Logger, Handlers: handlers}
	return peer.Listen(peer.Config{
		Address:     p.Settings.Peer.Listen,
		Socket:      p.socket,
		Credentials: p.Credentials,
		Handler:     dispatch.Serve,
		Logger:      p.Logger,
	})
}

// closeWithin bounds the wait for sessions that peers still hold when a role
// has drained: what they carry then are watches and renewals, which their
// peers open anew elsewhere.
const closeWithin = time.Second

// closeEndpoint ends a process's endpoint once its role has drained.
func closeEndpoint(e *peer.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	err := e.Stop(ctx)
	if peer.CodeOf(err) == peer.CodeCancelled {
		return nil
	}
	return err
}

// httpServer is one HTTP server of a process and the port that it listens on.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

// serveHTTP starts a server on address; an empty address starts none.
func serveHTTP(address string, server *http.Server, logger *slog.Logger) (*httpServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("an HTTP server ended", "address", address, "error", err)
		}
	}()
	return &httpServer{server: server, listener: listener}, nil
}

// address is where the server listens, empty if there is none.
func (h *httpServer) address() string {
	if h == nil {
		return ""
	}
	return h.listener.Addr().String()
}

// stop lets the requests in progress end, until ctx does.
func (h *httpServer) stop(ctx context.Context) error {
	if h == nil {
		return nil
	}
	return h.server.Shutdown(ctx)
}

// close ends the server and cuts what is in progress; watches of operators
// never end by themselves, and are resumed elsewhere.
func (h *httpServer) close() error {
	if h == nil {
		return nil
	}
	return h.server.Close()
}

// newIncarnation numbers a start of a process: a later start has a higher
// number as long as the VM's clock does not go back between them.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

// shares maps organisations to their weight in queues.
func shares(organisations []settings.Organisation) map[string]float64 {
	weights := map[string]float64{}
	for _, o := range organisations {
		if o.Share > 0 {
			weights[o.Name] = o.Share
		}
	}
	return weights
}
