package cli_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolebend/oriolebend/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oriolebend": func() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds:                commands,
		Setup:               chooseAddresses,
	})
}
