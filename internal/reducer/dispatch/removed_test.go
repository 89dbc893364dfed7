package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestRemovedServerIsLeaving guards against an allocator that keeps granting placements at crashed
// engines, each of which is returned. The engine was listed here and then removed, and the
// allocator has not received the removal. A removed engine must be reported as leaving, while an
// engine that was never listed is accepted.
func TestRemovedServerIsLeaving(t *testing.T) {
	is := is.New(t)
	at := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
	s := New(Config{})
	engine := func(i int, incarnation uint64) message.BackendServer {
		return message.BackendServer{Instance: fmt.Sprint(i), Incarnation: incarnation, Service: "s", Phase: message.PhaseReady}
	}
	reason := func(server message.BackendServer) oriolebend.Reason {
		if r, refused := Reduce(s, PlacementOffered{Server: server})[0].(Refused); refused {
			return r.Reason
		}
		return ""
	}
	is.Equal(reason(engine(1, 1)), oriolebend.Reason("")) // never listed
	Reduce(s, FleetChanged{At: at, Servers: []message.BackendServer{engine(1, 1), engine(2, 1)}})
	is.Equal(reason(engine(1, 1)), oriolebend.Reason(""))
	Reduce(s, FleetChanged{At: at, Left: []string{"1"}, Servers: []message.BackendServer{engine(2, 2)}})
	is.Equal(reason(engine(1, 1)), oriolebend.ReasonLeaving)
	is.Equal(reason(engine(2, 1)), oriolebend.ReasonLeaving) // it has restarted
	is.Equal(reason(engine(2, 2)), oriolebend.Reason(""))
	still := SendRequested{At: at, Grant: Grant{Server: engine(1, 1)}}
	_, refused := Reduce(s, still)[0].(Refused)
	is.True(refused)

	// Removed servers are forgotten after a time, so that a year of restarts takes no memory.
	for day := range 100 {
		later := at.Add(time.Duration(day) * rememberRemoved)
		Reduce(s, FleetChanged{At: later, Servers: []message.BackendServer{engine(day+10, 1)}})
		Reduce(s, FleetChanged{At: later, Left: []string{fmt.Sprint(day + 10)}})
	}
	is.True(len(s.removed) <= 3)
}
