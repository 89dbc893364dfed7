package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: places at engines that have crashed come back one after the other, and whoever
// gives them goes on giving them. Sequence: the engine was told of and has gone; the control
// VM that gives places has not heard of it. Cause: an engine that is not known here, told of
// as such. One that has gone is told as leaving, one that was never heard of is taken.
func TestServerThatHasGone(t *testing.T) {
	is := is.New(t)
	at := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
	s := New(Config{})
	engine := func(i int, incarnation uint64) message.BackendServer {
		return message.BackendServer{Instance: fmt.Sprint(i), Incarnation: incarnation, Service: "s", Phase: message.PhaseReady}
	}
	reason := func(server message.BackendServer) oriolebend.Reason {
		if r, refused := Reduce(s, AskedFresh{Server: server})[0].(Refused); refused {
			return r.Reason
		}
		return ""
	}
	is.Equal(reason(engine(1, 1)), oriolebend.Reason("")) // never heard of
	Reduce(s, FleetChanged{At: at, Servers: []message.BackendServer{engine(1, 1), engine(2, 1)}})
	is.Equal(reason(engine(1, 1)), oriolebend.Reason(""))
	Reduce(s, FleetChanged{At: at, Left: []string{"1"}, Servers: []message.BackendServer{engine(2, 2)}})
	is.Equal(reason(engine(1, 1)), oriolebend.ReasonLeaving)
	is.Equal(reason(engine(2, 1)), oriolebend.ReasonLeaving) // it has started again
	is.Equal(reason(engine(2, 2)), oriolebend.Reason(""))
	still := AskedStill{At: at, Grant: Grant{Server: engine(1, 1)}}
	_, refused := Reduce(s, still)[0].(Refused)
	is.True(refused)

	// What has gone is forgotten in the end, so that a year of restarts takes no memory.
	for day := range 100 {
		later := at.Add(time.Duration(day) * goneFor)
		Reduce(s, FleetChanged{At: later, Servers: []message.BackendServer{engine(day+10, 1)}})
		Reduce(s, FleetChanged{At: later, Left: []string{fmt.Sprint(day + 10)}})
	}
	is.True(len(s.gone) <= 3)
}
