package reducer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func TestEachEventReachesItsPart(t *testing.T) {
	is := is.New(t)
	s := &State{
		Entry: entry.New(entry.Config{Name: "entry-1"}),
		Gate:  gate.New(gate.Config{Role: oriolebend.Service}),
	}
	at := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	announced := Reduce(s, gate.Ticked{At: at})
	is.Equal(announced, []Effect{gate.Announce{State: oriolebend.ServerServing}}) // the gate of a service is ready at once
	drained := Reduce(s, entry.Stopping{At: at})
	is.Equal(drained, []Effect{entry.Drained{}}) // an entry without requests is drained at once
}

// Guards against events that are ignored without notice: a new part's event is
// posted, but the part is missing in Reduce's switch.
func TestUnknownEventPanics(t *testing.T) {
	is := is.New(t)
	defer func() {
		err, ok := recover().(error)
		is.True(ok)
		var unknown *UnknownEventError
		is.True(errors.As(err, &unknown))
	}()
	Reduce(&State{}, "not an event")
}
