package cli

import (
	"io"
	"log/slog"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// newLogger returns a logger as the settings ask for.
func newLogger(l settings.Log, out io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
