package engine_test

import (
	"errors"
	"testing"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a malformed answer of an engine that is taken for an answer.
func TestMalformedAnswerIsNoAnswerOfAnEngine(t *testing.T) {
	server := http1test.Serve(t)
	client := engine.NewClient(engine.Config{BaseURL: server.URL()})
	defer client.Close()
	calls := map[string]func() error{
		`{"part":{"offset":0,"tokens":1,"text":"a","finish":"stop"}}` + "\n": func() error {
			return client.Decode(t.Context(), engine.DecodeRequest{}, func(message.Part) error { return nil })
		},
		`{"result":{"handle":"h"}}` + "\n": func() error {
			_, err := client.Prefill(t.Context(), engine.PrefillRequest{})
			return err
		},
		`{"done":true}` + "\n": func() error { return client.Order(t.Context(), engine.Order{}) },
		`{"running":1}`: func() error {
			_, err := client.Load(t.Context())
			return err
		},
		`{}`: func() error { return client.Cancel(t.Context(), message.Attempt{}) },
	}
	for _, defect := range []http1test.Defect{http1test.DefectStatus, http1test.DefectName} {
		for body, call := range calls {
			for _, answer := range http1test.BrokenAnswers(t, defect, body) {
				server.Set(answer.Text, http1test.Closed)
				err := call()
				if err == nil {
					t.Fatalf("%s %s: %q is an answer", defect, answer.Name, body)
				}
				_, malformed := errors.AsType[*httpclient.MalformedError](err)
				if malformed && reasonOf(t, err) != oriolebend.ReasonEngineFailed {
					t.Errorf("%s %s: %v", defect, answer.Name, err)
				}
			}
		}
	}
}
