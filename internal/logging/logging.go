// Package logging sets up the log of a process. Lines carry the request,
// attempt and reason that they are about, and never what callers or services
// sent: prompts, bodies, answers and tokens may be personal or secret.
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
	// maxText bounds a text in a line, in bytes. An error that quotes what it
	// could not read would otherwise carry a whole prompt into the log.
	maxText = 256
	// Withheld stands for a value that is not logged.
	Withheld = "[withheld]"
)

// LevelError is a level of the settings that is not known.
type LevelError struct{ Level string }

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is not debug, info, warn or error", e.Level)
}

// FormatError is a format of the settings that is not known.
type FormatError struct{ Format string }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("log format %q is not text or json", e.Format)
}

// New returns a logger that writes to w as the settings ask for. Errors are
// *LevelError or *FormatError.
func New(l settings.Log, w io.Writer) (*slog.Logger, error) {
	level := slog.LevelInfo
	if l.Level != "" {
		if err := level.UnmarshalText([]byte(l.Level)); err != nil {
			return nil, &LevelError{Level: l.Level}
		}
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: clean}
	switch l.Format {
	case "", "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return nil, &FormatError{Format: l.Format}
}

// withheldKeys are names of attributes that hold what is not to be logged,
// whatever the type of their value.
var withheldKeys = map[string]bool{
	"prompt": true, "messages": true, "body": true, "answer": true, "text": true, "content": true,
	"token": true, "tokens": true, "authorization": true, "header": true, "headers": true,
	"key": true, "secret": true, "password": true,
}

// clean is called for each attribute. It withholds by name, withholds values
// that are not plain, and shortens texts.
func clean(_ []string, a slog.Attr) slog.Attr {
	a.Value = a.Value.Resolve()
	number := a.Value.Kind() == slog.KindInt64 || a.Value.Kind() == slog.KindUint64
	if withheldKeys[strings.ToLower(a.Key)] && !number {
		return slog.String(a.Key, Withheld)
	}
	switch a.Value.Kind() {
	case slog.KindString:
		return slog.String(a.Key, shorten(a.Value.String()))
	case slog.KindAny:
		return slog.Attr{Key: a.Key, Value: cleanAny(a.Value.Any())}
	default:
		return a
	}
}

// cleanAny gives the text of enums and of values that know their own, and of
// others only the type: a whole request passed to the log by mistake must not get there.
func cleanAny(value any) slog.Value {
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
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "…"
}
