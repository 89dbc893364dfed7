package backend

import (
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
)

// Guards against a malformed answer that is taken for an answer: a status that is none, or a name that other
// parsers read in another way.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	server := http1test.Serve(t)
	for _, defect := range []http1test.Defect{http1test.DefectStatus, http1test.DefectName, http1test.DefectTrailer} {
		for _, answer := range http1test.BrokenAnswers(t, defect, http1test.Body) {
			server.Set(answer.Text, http1test.Closed)
			status, body, err := read(t, server.Address)
			if err == nil {
				t.Errorf("%s %s: status %d, body %q", defect, answer.Name, status, body)
			}
		}
	}
}
