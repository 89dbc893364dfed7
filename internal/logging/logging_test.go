package logging

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

type request struct{ Prompt string }

// TestWithheld checks that data of callers is not logged, whatever the key and type of the
// attribute that holds it.
func TestWithheld(t *testing.T) {
	const secret = "patron 4711 disputes"
	long := strings.Repeat(secret, 100)
	for _, format := range []string{"text", "json"} {
		is := is.New(t)
		var out strings.Builder
		logger, err := New(settings.Log{Format: format, Level: "debug"}, &out)
		is.NoErr(err)
		logger.Debug("a", "prompt", secret, "Authorization", secret, "body", []byte(secret), "x", []byte(secret))
		logger.With("tokens", secret).WithGroup("g").Info("b", "request", request{secret}, "list", []string{secret})
		logger.Info("c", slog.Group("inner", "answer", secret), "pointer", &request{secret})
		logger.Info("d", "error", errors.New(long), "detail", long)
		is.Equal(strings.Count(out.String(), secret), 2*(maxTextBytes/len(secret)))
	}
}

func TestAttributes(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	logger, err := New(settings.Log{}, &out)
	is.NoErr(err)
	logger.Debug("below the level")
	problem := &oriolebend.Problem{
		RequestID: "r1", Reason: oriolebend.ReasonDeadline, Ran: oriolebend.RanNo, Cause: errors.New("late"),
	}
	logger.Info("refused", Problem(problem), Server("planner-1"), "tokens", 7, "took", 5*time.Millisecond)
	logger.Info("lost", Attempt(message.Attempt{RequestID: "r1", Number: 2}), Reason(oriolebend.ReasonServerLost))
	logger.Info("plain", "reason", oriolebend.ReasonLeaving, "attempt", message.Attempt{RequestID: "r1", Number: 3})
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		_, text, _ := strings.Cut(line, "msg=")
		got = append(got, text)
	}
	is.Equal(got, []string{
		"refused requestID=r1 reason=deadline ran=no cause=late server=planner-1 tokens=7 took=5ms",
		"lost requestID=r1 attempt=2 reason=serverLost",
		"plain reason=leaving attempt=r1/3",
	})
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	var level *LevelError
	_, err := New(settings.Log{Level: "loud"}, &strings.Builder{})
	is.True(errors.As(err, &level))
	var format *FormatError
	_, err = New(settings.Log{Format: "xml"}, &strings.Builder{})
	is.True(errors.As(err, &format))
}
