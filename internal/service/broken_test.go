package service_test

import (
	"errors"
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
	calls := map[string]func() (message.CallAnswer, error){
		"call":   func() (message.CallAnswer, error) { return client.Call(t.Context(), tip) },
		"status": func() (message.CallAnswer, error) { return client.Status(t.Context(), query) },
	}
	for _, defect := range []http1test.Defect{http1test.DefectStatus, http1test.DefectName, http1test.DefectTrailer} {
		for _, answer := range http1test.BrokenAnswers(t, defect, http1test.Body) {
			for name, call := range calls {
				server.Set(answer.Text, http1test.Closed)
				got, err := call()
				failure, ok := errors.AsType[*service.Error](err)
				if !ok || failure.Ran != oriolebend.RanUnknown {
					t.Errorf("%s: %s %s: status %d, body %q, error %v", name, defect, answer.Name, got.Status, got.Body, err)
				}
			}
		}
	}
}
