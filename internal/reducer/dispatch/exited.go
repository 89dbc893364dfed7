package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// exitedPeriod bounds for how long the software version of a server counts as unknown after its process
// has exited: longer than a restart and the seconds by which an announcement may be late.
const exitedPeriod = 15 * time.Second

// ServerExited reports that the process of a server has exited.
//
// Its next start may be of another software version, which is known from its announcement only. Until
// then no stream of the version that was announced before may continue there.
type ServerExited struct {
	At     time.Time
	Server message.BackendServer
}

func (ServerExited) isDispatchEvent() {}

func (s *State) recordExit(e ServerExited) {
	if c := s.grantedServer(e.Server); c != nil {
		c.exitedUntil = e.At.Add(exitedPeriod)
	}
}

// Exited reports whether the process of a server has exited, and no later start has been announced.
func (s *State) Exited(at time.Time, server message.BackendServer) bool {
	c := s.grantedServer(server)
	return c != nil && c.exited(at)
}

func (c *server) exited(at time.Time) bool { return at.Before(c.exitedUntil) }

// continues reports whether a server may continue a stream with an origin; a nil origin permits every
// server.
func (c *server) continues(at time.Time, origin *message.StreamOrigin) bool {
	return origin == nil || !c.exited(at) && origin.Permits(c.BackendServer)
}

// DomainServed reports whether a server of the same service and failure domain as a given one has answered
// since a time.
func (s *State) DomainServed(since time.Time, server message.BackendServer) bool {
	service := s.services[server.Service]
	return service != nil && service.answeredIn[server.FailureDomain].After(since)
}
