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
	told := Reduce(s, gate.Ticked{At: at})
	is.Equal(told, []Effect{gate.Announce{State: oriolebend.ServerServing}}) // the gate of a plain service is ready
	drained := Reduce(s, entry.Stopping{At: at})
	is.Equal(drained, []Effect{entry.Drained{}}) // an entry without requests has drained
}

// Symptom: an event is lost without a word. Sequence: a new part's event is
// posted, and Reduce was not told of the part. Cause: the switch lacks it.
func TestAnEventOfNoPartPanics(t *testing.T) {
	is := is.New(t)
	defer func() {
		err, ok := recover().(error)
		is.True(ok)
		var unknown *UnknownEventError
		is.True(errors.As(err, &unknown))
	}()
	Reduce(&State{}, "not an event")
}
