package service_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/service"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a malformed answer that callers receive as the answer of a plain service, and against one
// that says that the call has not run.
func TestMalformedAnswerIsNoAnswerOfAService(t *testing.T) {
	server := http1test.Serve(t)
	client := service.NewClient(service.Config{BaseURL: server.URL()})
	query := message.StatusQuery{Attempt: tip.Attempt, Path: "/status/{identity}", Identity: tip.Identity}
	for _, answer := range http1test.BrokenAnswers(t, http1test.DefectStatus, http1test.Body) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			server.Set(answer.Text, http1test.Closed)
			var got message.CallAnswer
			var err error
			if method == http.MethodPost {
				got, err = client.Call(t.Context(), tip)
			} else {
				got, err = client.Status(t.Context(), query)
			}
			failure, ok := errors.AsType[*service.Error](err)
			if !ok || failure.Ran != oriolebend.RanUnknown {
				t.Errorf("%s %s: status %d, body %q, error %v", method, answer.Name, got.Status, got.Body, err)
			}
		}
	}
}
