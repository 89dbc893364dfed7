package forwarder

import (
	"net/http"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
)

// Guards against a success that looks complete to callers although the server broke off in the head or
// the body of its answer.
func TestCutAnswerDoesNotLookComplete(t *testing.T) {
	server := http1test.Serve(t)
	for _, path := range []string{"/once/", "/cut/"} {
		for _, answer := range http1test.Answers(t) {
			t.Run(path+answer.Name, func(t *testing.T) {
				for n := range len(answer.Text) {
					server.Set(answer.Text[:n], http1test.Closed)
					s := newSite(t, 0)
					s.setServer(server.Address)
					status, _, body := s.send(path, nil)
					complete := status == http.StatusOK && !strings.HasSuffix(body, "[cut]")
					if complete && (answer.Framed() || n < answer.HeadBytes()) {
						t.Errorf("%d bytes: status %d, body %q", n, status, body)
					}
					if server.Requests() != 1 {
						t.Errorf("%d bytes: %d requests", n, server.Requests())
					}
				}
			})
		}
	}
}
