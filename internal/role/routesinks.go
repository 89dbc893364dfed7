package role

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// routeSinks hands on what one RouteFollower learns to several parts.
type routeSinks []RouteSink

// SetRouting implements RouteSink.
func (l routeSinks) SetRouting(r oriolebend.Routing) {
	for _, s := range l {
		s.SetRouting(r)
	}
}

// ChangeServers implements RouteSink.
func (l routeSinks) ChangeServers(changes registry.Changes, forwarders int) {
	for _, s := range l {
		s.ChangeServers(changes, forwarders)
	}
}

// Version implements RouteSink.
func (l routeSinks) Version() uint64 { return l[0].Version() }

// Loads implements RouteSink.
func (l routeSinks) Loads() []message.ServiceLoad { return nil }

// Expire implements RouteSink.
func (l routeSinks) Expire() {}
