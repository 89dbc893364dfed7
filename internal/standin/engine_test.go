package standin

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/standin/answer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var models = []oriolebend.LoadedModel{{Model: "planner-lm", Version: "1"}}

func TestPrefillAndDecodeOverLoopback(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	prefill := NewEngine(EngineConfig{Models: models, PrefillTokens: 1e6})
	defer prefill.Close()
	decode := NewEngine(EngineConfig{Role: oriolebend.Decode, Models: models, DecodeStep: time.Millisecond})
	defer decode.Close()
	a, err := Serve(prefill.Handler())
	is.NoErr(err)
	defer a.Close()
	b, err := Serve(decode.Handler())
	is.NoErr(err)
	defer b.Close()

	prompt := strings.Repeat("Cileunyi to Garut: one lane open. ", 600)
	attempt := message.Attempt{RequestID: "r1", Number: 1}
	result, err := engine.NewClient(engine.Config{BaseURL: a.URL()}).Prefill(ctx, engine.PrefillRequest{Attempt: attempt, Model: "planner-lm", Prompt: prompt})
	is.NoErr(err)
	var text strings.Builder
	request := engine.DecodeRequest{Attempt: attempt, Model: "planner-lm", SourceURL: result.SourceURL, Prompt: prompt, MaxTokens: 100}
	err = engine.NewClient(engine.Config{BaseURL: b.URL()}).Decode(ctx, request, func(p message.Part) error {
		text.WriteString(p.Text)
		return nil
	})
	is.NoErr(err)
	is.NoErr(answer.Check("planner-lm", "", prompt, 100, text.String()))
}
