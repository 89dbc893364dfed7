package caller

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against content in the log: for every outcome of a request, the log at
// level debug holds the ID and the reason, but no text from the caller, the engine
// or the service.
func TestLogHoldsNoContent(t *testing.T) {
	const secret = "patron4711"
	lost := &oriolebend.Problem{Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanUnknown}
	for _, chunks := range [][]Chunk{
		{{Text: secret, Tokens: 1}, {End: &End{Finish: message.FinishStop, Tokens: 1}}},
		{{Text: secret, Tokens: 1}, {Problem: lost}},
		{{Call: &message.CallAnswer{Status: 200, Body: []byte(secret)}}},
		{{Call: &message.CallAnswer{Status: 7, Body: []byte(secret)}}},
		{{Offset: 3, Text: secret}},
		{{Replay: &message.Answer{Body: []byte(secret), Finish: message.FinishStop}}},
	} {
		is := is.New(t)
		var out strings.Builder
		logger, err := logging.New(settings.Log{Level: "debug"}, &out)
		is.NoErr(err)
		config := testConfig(&fakeRouter{chunks: chunks})
		config.Logger = logger
		handler := New(config)
		for _, request := range []string{
			"POST /v1/completions\n\n" + `{"model":"planner-lm","prompt":"` + secret + `","stream":true}`,
			"POST /v1/completions\n\n" + `{"model":"planner-lm","prompt":"` + secret + `"}`,
			"POST /v1/completions\n\n" + `{"model":"planner-lm","prompt":` + secret,
			"POST /v1/completions\n\n" + `{"model":"` + secret + `","` + secret + `":1,"` + secret + `":2}`,
			"POST /services/dispatch-api/" + secret + "\nIdempotency-Key: " + secret + "\n\n" + secret,
			"POST /v1/completions\nAuthorization: Bearer " + secret + "\n\n{}",
		} {
			exchange(t, handler, request)
		}
		is.True(strings.Contains(out.String(), "reason=malformed"))
		is.True(!strings.Contains(out.String(), secret))
	}
}
