package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/settings"
)

func checkCommand(out io.Writer) *ff.Command {
	flags := ff.NewFlagSet("check")
	role := flags.StringLong("role", "", "check for this role: entry, sidecar, control or dev; the default is the one that the file is for")
	return &ff.Command{
		Name:      "check",
		Usage:     "oriolebend check [--role ROLE] FILE",
		ShortHelp: "check a settings file and report every fault",
		LongHelp:  "Example:\n  oriolebend check examples/lintang.toml",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Text: "check takes one settings file"}
			}
			return check(out, args[0], settings.Role(*role))
		},
	}
}

func check(out io.Writer, path string, role settings.Role) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if role == "" {
		role = settings.RoleOf(s)
	}
	if err := settings.Check(role, s); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: good for %s\n", path, role)
	return nil
}
