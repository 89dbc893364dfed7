package forwarder

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a server that leaves gets requests until it ends, and ends under some of them.
// Sequence: it says so in its answers; its announcement is late, or goes to a control VM that is
// cut off. Cause: what it says to the forwarder itself is not read. Proof: with the word in its
// answers alone a server gets requests on every way for as long as it runs.
func TestLeavingSaidInAnswersHoldsOnEveryWay(t *testing.T) {
	const (
		// drain is for how long a server serves on that has said that it leaves.
		drain  = time.Second
		length = drain + 500*time.Millisecond
	)
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, way.kv)
			var mutex sync.Mutex
			var arrivals []time.Time
			way.start(s, func(w http.ResponseWriter) bool {
				mutex.Lock()
				defer mutex.Unlock()
				arrivals = append(arrivals, time.Now())
				w.Header().Set(ownLeaving, "1")
				return false
			})
			for began := time.Now(); time.Since(began) < length; time.Sleep(10 * time.Millisecond) {
				s.ask(way.path, way.header)
			}
			late := 0
			for _, at := range arrivals {
				if at.Sub(arrivals[0]) > drain {
					late++
				}
			}
			t.Logf("%d requests, %d of them late", len(arrivals), late)
			is.True(len(arrivals) > 0)
			is.Equal(late, 0)
		})
	}
}
