package forwarder

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server that leaves and still gets requests until it exits, some of which it then
// breaks off. The server reports its leaving in its answers; its announcement is late, or goes to a
// control VM that is cut off. A forwarder that did not read the header itself would send such a
// server requests of every kind for as long as it runs.
func TestReportedLeavingHoldsForEverySend(t *testing.T) {
	const (
		// drain is how long a server that has reported its leaving continues to serve.
		drain  = time.Second
		length = drain + 500*time.Millisecond
	)
	for _, kind := range sendKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, kind.kv)
			var mutex sync.Mutex
			var arrivals []time.Time
			kind.start(s, func(w http.ResponseWriter) bool {
				mutex.Lock()
				defer mutex.Unlock()
				arrivals = append(arrivals, time.Now())
				w.Header().Set(headerLeaving, "1")
				return false
			})
			for began := time.Now(); time.Since(began) < length; time.Sleep(10 * time.Millisecond) {
				s.send(kind.path, kind.header)
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
