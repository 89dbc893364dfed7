package forwarder

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// Guards against requests that are refused because a restored server has ended: a request that could not
// be sent to it is sent to another server, also on a route with a single attempt, and the server is
// avoided from then on.
func TestRestoredServerThatHasEnded(t *testing.T) {
	for path, handler := range map[string]http.HandlerFunc{
		"/once/": answer("fresh"), "/cut/": func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) },
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			s.server("a", "", handler)
			s.server("a", "", handler)
			s.backends[0].Close()
			s.servers[0].Unconfirmed, s.servers[1].Unconfirmed = true, true
			s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
			for range 20 {
				status, _, _ := s.send(path, nil)
				is.Equal(status, http.StatusOK)
			}
			is.Equal(s.counts.seen["retry serverLost"], 1)
		})
	}
}
