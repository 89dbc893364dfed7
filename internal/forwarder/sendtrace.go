package forwarder

import (
	"errors"
	"log/slog"
	"strings"

	"github.com/oriolebend/oriolebend/internal/backend"
)

// maxLoggedValue bounds the value of a server's header in a log line.
const maxLoggedValue = 64

// details returns what a log line states about a send without success: which connection carried it,
// and what says that the request did not run.
func (r result) details() []slog.Attr {
	trace := r.trace
	if failure, ok := errors.AsType[*backend.Error](r.err); ok {
		trace = failure.Trace
	}
	attributes := []slog.Attr{
		slog.Int("writtenBytes", trace.Written), slog.Int("connectionRequests", trace.Requests),
		slog.Int("skippedAnswers", trace.Skipped),
	}
	if trace.Owner != "" {
		attributes = append(attributes, slog.String("answerNames", string(trace.Owner)))
	}
	if len(r.verdict.NotRun) > 0 {
		value := strings.Join(r.verdict.NotRun, ", ")
		attributes = append(attributes, slog.String("notRun", value[:min(len(value), maxLoggedValue)]))
	}
	if r.verdict.Doubt != "" {
		attributes = append(attributes, slog.String("doubt", string(r.verdict.Doubt)))
	}
	return attributes
}
