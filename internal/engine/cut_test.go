package engine_test

import (
	"context"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a result that is taken for complete although the engine broke off its answer, and against
// an engine that counts as faulty because it was lost.
func TestCutAnswerIsALostServer(t *testing.T) {
	server := http1test.Serve(t)
	client := engine.NewClient(engine.Config{BaseURL: server.URL()})
	for _, call := range []struct {
		// last are the last bytes of the body that count.
		name, body, last string
		do               func(ctx context.Context) error
	}{
		{"decode", `{"part":{"offset":0,"tokens":1,"text":"a"}}` + "\n" + `{"part":{"offset":1,"tokens":1,"text":"b","finish":"stop"}}` + "\n", `"stop"}}`, func(ctx context.Context) error {
			return client.Decode(ctx, engine.DecodeRequest{}, func(message.Part) error { return nil })
		}},
		{"prefill", `{"result":{"handle":"h"}}` + "\n", `"h"}}`, func(ctx context.Context) error {
			_, err := client.Prefill(ctx, engine.PrefillRequest{})
			return err
		}},
		{"order", `{"done":true}` + "\n", `true}`, func(ctx context.Context) error { return client.Order(ctx, engine.Order{}) }},
		{"load", `{"running":1}`, `1}`, func(ctx context.Context) error {
			_, err := client.Load(ctx)
			return err
		}},
	} {
		for _, answer := range http1test.Frame(call.body) {
			for n := range len(answer.Text) {
				server.Set(answer.Text[:n], http1test.Closed)
				err := call.do(t.Context())
				if err == nil && !strings.Contains(answer.Text[:n], call.last) {
					t.Errorf("%s, %s, %d bytes: complete", call.name, answer.Name, n)
				}
				if err != nil && reasonOf(t, err) != oriolebend.ReasonServerLost {
					t.Errorf("%s, %s, %d bytes: %v", call.name, answer.Name, n, err)
				}
			}
		}
	}
}
