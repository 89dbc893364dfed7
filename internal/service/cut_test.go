package service_test

import (
	"errors"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/service"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a call that is reported as answered, or as not run, although the service broke off in the
// head or the body of its answer.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	server := http1test.Serve(t)
	client := service.NewClient(service.Config{BaseURL: server.URL()})
	for _, answer := range http1test.Answers(t) {
		for n := range len(answer.Text) {
			server.Set(answer.Text[:n], http1test.Closed)
			got, err := client.Call(t.Context(), tip)
			if err == nil && (answer.Framed() || n < answer.HeadBytes()) {
				t.Errorf("%s, %d bytes: status %d, body %q", answer.Name, n, got.Status, got.Body)
			}
			if failure, ok := errors.AsType[*service.Error](err); err != nil && (!ok || failure.Ran != oriolebend.RanUnknown) {
				t.Errorf("%s, %d bytes: %v", answer.Name, n, err)
			}
			if server.Requests() != 1 {
				t.Errorf("%s, %d bytes: %d requests", answer.Name, n, server.Requests())
			}
		}
	}
}
