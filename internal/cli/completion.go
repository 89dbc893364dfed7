package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// completionScript completes the names of subcommands, the long flags of each, and file
// names. It works in bash, and in zsh after bashcompinit.
const completionScript = `_oriolebend() {
  local word="${COMP_WORDS[COMP_CWORD]}" flags=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "$word"))
    return
  fi
  case "${COMP_WORDS[1]}" in
%s  esac
  case "$word" in
    -*) COMPREPLY=($(compgen -W "$flags --help" -- "$word")) ;;
    *) COMPREPLY=($(compgen -f -- "$word")) ;;
  esac
}
complete -o filenames -F _oriolebend oriolebend
`

func completionCommand(out io.Writer, commands []*ff.Command) *ff.Command {
	return &ff.Command{
		Name:      "completion",
		Usage:     "oriolebend completion",
		ShortHelp: "print a completion script for bash, and for zsh after bashcompinit",
		LongHelp:  "Example:\n  source <(oriolebend completion)",
		Flags:     ff.NewFlagSet("completion"),
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments("completion", args); err != nil {
				return err
			}
			fmt.Fprint(out, completion(commands))
			return nil
		},
	}
}

func completion(commands []*ff.Command) string {
	names := []string{"completion"}
	var cases strings.Builder
	for _, c := range commands {
		names = append(names, c.Name)
		fmt.Fprintf(&cases, "    %s) flags=%q ;;\n", c.Name, strings.Join(longFlags(c), " "))
	}
	slices.Sort(names)
	return fmt.Sprintf(completionScript, strings.Join(names, " "), cases.String())
}

func longFlags(c *ff.Command) []string {
	var flags []string
	// WalkFlags returns an error only if the function returns one.
	_ = c.Flags.WalkFlags(func(f ff.Flag) error {
		if long, ok := f.GetLongName(); ok {
			flags = append(flags, "--"+long)
		}
		return nil
	})
	return flags
}
