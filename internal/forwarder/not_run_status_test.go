package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that runs twice because its server's own failure was forwarded with a
// status that promises callers that the request has not run.
func TestNotRunStatusOfAServerThatMayHaveRunIsNotForwarded(t *testing.T) {
	promises := []int{
		http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}
	for _, path := range []string{"/once/", "/cut/", "/safe/"} {
		for _, status := range promises {
			t.Run(fmt.Sprintf("%s %d", path, status), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 0)
				runs := 0
				s.server("a", "", func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					runs++
					w.WriteHeader(status)
				})
				got, _, _ := s.send(path, nil)
				if path == "/safe/" {
					is.Equal(got, status) // the request may be sent again in any case
					return
				}
				is.Equal(got, http.StatusBadGateway)
				is.Equal(runs, 1)
			})
		}
	}
}
