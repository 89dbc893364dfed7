package forwarder

import (
	"net/http"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
)

// Guards against a malformed answer of a server that callers receive as an answer.
func TestMalformedAnswerOfAServer(t *testing.T) {
	server := http1test.Serve(t)
	for _, path := range []string{"/once/", "/safe/", "/cut/", "/stream/"} {
		for _, defect := range []http1test.Defect{http1test.DefectStatus, http1test.DefectName, http1test.DefectTrailer} {
			for _, answer := range http1test.BrokenAnswers(t, defect, http1test.Body) {
				server.Set(answer.Text, http1test.Closed)
				s := newSite(t, 0)
				s.setServer(server.Address)
				status, _, body := s.send(path, nil)
				brokenOff := defect == http1test.DefectTrailer && strings.HasSuffix(body, "[cut]") // events come before a trailer
				if status != http.StatusBadGateway && !brokenOff {
					t.Errorf("%s %s %s: status %d, body %q", path, defect, answer.Name, status, body)
				}
			}
		}
	}
}
