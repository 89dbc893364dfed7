package routewatch

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Sinks is a Sink that passes the routing and the servers of one Follower to several
// sinks.
type Sinks []Sink

// SetRouting implements Sink.
func (l Sinks) SetRouting(r oriolebend.Routing) {
	for _, s := range l {
		s.SetRouting(r)
	}
}

// ChangeServers implements Sink.
func (l Sinks) ChangeServers(changes registry.Changes, forwarders int) {
	for _, s := range l {
		s.ChangeServers(changes, forwarders)
	}
}

// Version implements Sink.
func (l Sinks) Version() uint64 { return l[0].Version() }

// Loads implements Sink.
func (l Sinks) Loads() []message.ServiceLoad { return nil }

// Expire implements Sink.
func (l Sinks) Expire() {}
