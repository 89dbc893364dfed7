package forwarder

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// crash ends the connection and has the server refuse others, as a process that ends.
func (s *site) crash(index int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_ = s.backends[index].Listener.Close()
		abort(w, r)
	}
}

// Symptom: on call one can't tell a server that crashed from a connection that broke.
// A line tells it of the first, and none of the second.
func TestEndedServerIsTold(t *testing.T) {
	for _, test := range []struct {
		name  string
		path  string
		ended bool
	}{
		{name: "crashed", path: "/once/", ended: true},
		{name: "crashed before a stream began", path: "/cut/", ended: true},
		{name: "connection broken", path: "/once/"},
		{name: "connection of a stream broken", path: "/cut/"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			handler := http.HandlerFunc(abort)
			if test.ended {
				handler = s.crash(0)
			}
			s.server("a", "", handler)
			status, _, _ := s.ask(test.path, nil)
			is.Equal(status, http.StatusBadGateway)
			s.forwarder.Wait()
			is.Equal(strings.Contains(s.log.String(), "server has ended"), test.ended)
		})
	}
}
