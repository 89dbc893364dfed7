package caller

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// The tests in this file check that a client library of callers works with the
// handler unchanged.

func openaiClient(t *testing.T, router *fakeRouter) openai.Client {
	server := httptest.NewServer(New(testConfig(router)))
	t.Cleanup(server.Close)
	return openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("lintang-token"))
}

func planChunks() []Chunk {
	return []Chunk{
		{Text: "corridor", Tokens: 1},
		{Offset: 1, Text: " open", Tokens: 2},
		{End: &End{Finish: message.FinishStop, Tokens: 3}},
	}
}

func planChat() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:       "planner-lm",
		Messages:    []openai.ChatCompletionMessageParamUnion{openai.UserMessage("plan the corridor")},
		MaxTokens:   openai.Int(20),
		Temperature: openai.Float(0.1),
	}
}

func TestOpenaiComplete(t *testing.T) {
	is := is.New(t)
	client := openaiClient(t, &fakeRouter{chunks: planChunks()})
	chat, err := client.Chat.Completions.New(t.Context(), planChat())
	is.NoErr(err)
	is.Equal(chat.Choices[0].Message.Content, "corridor open")
	is.Equal(chat.Choices[0].FinishReason, "stop")
	is.Equal(chat.Usage.CompletionTokens, int64(3))
	is.True(chat.Created > 0)

	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:  "planner-lm@v3",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("plan")},
	})
	is.NoErr(err)
	is.Equal(completion.Choices[0].Text, "corridor open")
}

func TestOpenaiModels(t *testing.T) {
	is := is.New(t)
	client := openaiClient(t, &fakeRouter{})
	page, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(len(page.Data), 4)
	is.Equal(page.Data[3].ID, "planner-lm@v3:bridges")
}

func TestOpenaiStream(t *testing.T) {
	is := is.New(t)
	client := openaiClient(t, &fakeRouter{chunks: planChunks()})
	params := planChat()
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		is.True(accumulated.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(accumulated.Choices[0].Message.Content, "corridor open")
	is.Equal(accumulated.Usage.CompletionTokens, int64(3))
}

// Guards against an incomplete answer that a client takes for a complete one: the
// decode server dies in the middle of a stream, and the client takes the broken
// stream for a finished one.
func TestOpenaiStreamBreaksOff(t *testing.T) {
	is := is.New(t)
	lost := &oriolebend.Problem{Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanUnknown}
	client := openaiClient(t, &fakeRouter{chunks: []Chunk{planChunks()[0], {Problem: lost}}})
	stream := client.Chat.Completions.NewStreaming(t.Context(), planChat())
	for stream.Next() {
	}
	is.True(stream.Err() != nil)
	is.True(strings.Contains(stream.Err().Error(), "serverLost"))
}

// TestOpenaiErrors checks that the library's error type shows the reason, and that
// the library retries only requests that may run again: it retries a refusal with
// "ran: no" and a retry delay, and does not retry after a lost outcome.
func TestOpenaiErrors(t *testing.T) {
	for _, c := range []struct {
		name    string
		problem oriolebend.Problem
		status  int
		sent    int
	}{
		{"not run", oriolebend.Problem{Reason: oriolebend.ReasonOverloaded, Ran: oriolebend.RanNo, RetryAfter: time.Millisecond}, 503, 3},
		{"not run, no retry", oriolebend.Problem{Reason: oriolebend.ReasonDeadline, Ran: oriolebend.RanNo}, 504, 1},
		{"unknown", oriolebend.Problem{Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown, RetryAfter: time.Millisecond}, 502, 1},
		{"key reused", oriolebend.Problem{Reason: oriolebend.ReasonKeyReused, Ran: oriolebend.RanNo}, 422, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			router := &fakeRouter{chunks: []Chunk{{Problem: &c.problem}}}
			client := openaiClient(t, router)
			_, err := client.Chat.Completions.New(t.Context(), planChat())
			var apiError *openai.Error
			is.True(errors.As(err, &apiError))
			is.Equal(apiError.StatusCode, c.status)
			is.Equal(apiError.Code, string(c.problem.Reason))
			is.Equal(len(router.submitted()), c.sent)
		})
	}
}

// Guards against engine memory that stays held after the caller cancels in the
// middle of its stream, because the request's context does not end.
func TestOpenaiCancel(t *testing.T) {
	is := is.New(t)
	router := &fakeRouter{chunks: planChunks()[:1], hold: true, cancelled: make(chan struct{})}
	client := openaiClient(t, router)
	ctx, cancel := context.WithCancel(t.Context())
	stream := client.Chat.Completions.NewStreaming(ctx, planChat())
	is.True(stream.Next())
	cancel()
	<-router.cancelled
}

// Guards against the same fault before any output, for an answer in one piece.
func TestOpenaiCancelComplete(t *testing.T) {
	router := &fakeRouter{hold: true, cancelled: make(chan struct{})}
	client := openaiClient(t, router)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for len(router.submitted()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := client.Chat.Completions.New(ctx, planChat())
	is.New(t).True(errors.Is(err, context.Canceled))
	<-router.cancelled
}
