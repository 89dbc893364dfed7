package caller

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// briefTokens is the typical length of a brief, a long planning prompt, in tokens.
const briefTokens = 8000

func briefBody() string {
	return `{"model":"planner-lm","stream":true,"prompt":"` + strings.Repeat("road ", briefTokens) + `"}`
}

func BenchmarkDecodeBrief(b *testing.B) {
	body := []byte(briefBody())
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeCommand(body, formCompletion); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreamBrief measures a complete request: the body of a brief, and an
// answer of 200 events of one token.
func BenchmarkStreamBrief(b *testing.B) {
	const events = 200
	var chunks []Chunk
	for i := range events {
		chunks = append(chunks, Chunk{Offset: i, Tokens: 1, Text: " road"})
	}
	chunks = append(chunks, Chunk{End: &End{Finish: message.FinishLength, Tokens: events}})
	config := testConfig(&fakeRouter{chunks: chunks})
	config.Caller = settings.Caller{Open: true}
	handler, body := New(config), briefBody()
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/completions", strings.NewReader(body)))
		if !strings.HasSuffix(recorder.Body.String(), "[DONE]\n\n") {
			b.Fatal(recorder.Body.String())
		}
	}
}
