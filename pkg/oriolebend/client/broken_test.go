package client_test

import (
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// Guards against operators who see a routing that came in a malformed answer, or whose order follows a
// redirect of one.
func TestMalformedAnswerIsNotRead(t *testing.T) {
	server := http1test.Serve(t)
	operator := client.New(client.Config{Addresses: []string{server.URL()}, Tries: 1})
	for _, defect := range []http1test.Defect{http1test.DefectStatus, http1test.DefectName} {
		for _, answer := range http1test.BrokenAnswers(t, defect, `{"version":12,"services":[{"name":"s"}],"routes":[]}`) {
			server.Set(answer.Text, http1test.Closed)
			if got, err := operator.Routing(t.Context()); err == nil {
				t.Errorf("%s %s: routing %v", defect, answer.Name, got)
			}
		}
	}
}
