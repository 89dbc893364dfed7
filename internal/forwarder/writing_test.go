package forwarder

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// writingPlaces grants placements at its engines and passes on the end of each.
type writingPlaces struct {
	outdatedPlaces
	ends chan dispatch.Ended
}

func (p *writingPlaces) Ended(e dispatch.Ended) { p.ends <- e }

// Guards against an allocator that does not learn how fast engines write: from complete streams and
// from those that break off, without the silence before the end.
func TestWritingTimeIsReported(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	const pause, silence, written = 30 * time.Millisecond, 400 * time.Millisecond, 4
	breaks := false
	s.server("a", oriolebend.Decode, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/reservations" {
			_, _ = io.WriteString(w, `{"reservation":"h1"}`)
			return
		}
		for i := range written {
			events(w, i+1, i+1)
			time.Sleep(pause)
		}
		if breaks {
			time.Sleep(silence)
			abort(nil, nil)
		}
	})
	places := &writingPlaces{outdatedPlaces: outdatedPlaces{engines: s.servers}, ends: make(chan dispatch.Ended, 1)}
	s.forwarder.config.Places = places
	for _, breaks = range []bool{false, true} {
		s.generation("/cut/")
		e := <-places.ends
		is.Equal(e.Events, written)
		is.True(e.Writing >= (written-1)*pause-10*time.Millisecond)
		is.True(e.Writing < silence)
	}
}
