// Package logging sets up the log of a process. Log lines name the request, attempt and
// reason, and never contain data that callers or services sent: prompts, bodies, answers
// and tokens may be personal or secret.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/settings"
)

const (
	// maxTextBytes bounds a text in a line. Without it, an error that quotes its
	// unreadable input could write a whole prompt to the log.
	maxTextBytes = 256
	// Withheld replaces a value that must not be logged.
	Withheld = "[withheld]"
)

// LevelError reports an unknown log level in the settings.
type LevelError struct{ Level string }

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is not debug, info, warn or error", e.Level)
}

// FormatError reports an unknown log format in the settings.
type FormatError struct{ Format string }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("log format %q is not text or json", e.Format)
}

// New returns a logger that writes to w with the level and format of the settings.
// Errors are *LevelError or *FormatError.
func New(l settings.Log, w io.Writer) (*slog.Logger, error) {
	level := slog.LevelInfo
	if l.Level != "" {
		if err := level.UnmarshalText([]byte(l.Level)); err != nil {
			return nil, &LevelError{Level: l.Level}
		}
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: redact}
	switch l.Format {
	case "", "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return nil, &FormatError{Format: l.Format}
}

// withheldKeys are the keys of attributes whose values must not be logged, unless they
// are integers.
var withheldKeys = map[string]bool{
	"prompt": true, "messages": true, "body": true, "answer": true, "text": true, "content": true,
	"token": true, "tokens": true, "authorization": true, "header": true, "headers": true,
	"key": true, "secret": true, "password": true,
}

// redact is called for each attribute. It withholds the values of withheldKeys and values
// of composite types, and shortens texts.
func redact(_ []string, a slog.Attr) slog.Attr {
	a.Value = a.Value.Resolve()
	integer := a.Value.Kind() == slog.KindInt64 || a.Value.Kind() == slog.KindUint64
	if withheldKeys[strings.ToLower(a.Key)] && !integer {
		return slog.String(a.Key, Withheld)
	}
	switch a.Value.Kind() {
	case slog.KindString:
		return slog.String(a.Key, shorten(a.Value.String()))
	case slog.KindAny:
		return slog.Attr{Key: a.Key, Value: redactAny(a.Value.Any())}
	default:
		return a
	}
}

// redactAny returns the text of errors, of fmt.Stringers, of attempts and of values whose
// kind is string. It keeps source positions, and returns only the type of any other value,
// so that a request that is passed to the log by mistake is not written there.
func redactAny(value any) slog.Value {
	switch v := value.(type) {
	case nil:
		return slog.AnyValue(nil)
	case error:
		return slog.StringValue(shorten(v.Error()))
	case fmt.Stringer:
		return slog.StringValue(shorten(v.String()))
	case *slog.Source:
		return slog.AnyValue(v)
	case message.Attempt:
		return slog.StringValue(fmt.Sprintf("%s/%d", v.RequestID, v.Number))
	}
	if v := reflect.ValueOf(value); v.Kind() == reflect.String {
		return slog.StringValue(shorten(v.String()))
	}
	return slog.StringValue(fmt.Sprintf("%s %T", Withheld, value))
}

func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "…"
}
