package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"
)

func versionCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "version",
		Usage:     "oriolebend version",
		ShortHelp: "print the version of the program",
		LongHelp:  "Example:\n  oriolebend version",
		Flags:     ff.NewFlagSet("version"),
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments("version", args); err != nil {
				return err
			}
			fmt.Fprintln(out, version())
			return nil
		},
	}
}

// version returns the module version of the program and the Go version that built it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "oriolebend (built without module information)"
	}
	return fmt.Sprintf("oriolebend %s %s", info.Main.Version, info.GoVersion)
}
