package command

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/reached"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// alone is the log of a control VM that is the only one.
type alone struct{ store *operator.Store }

func (l alone) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.store.Apply(0, command), nil
}

func (l alone) Confirm(context.Context) error { return nil }

func (l alone) Leader() (name, address string) { return "c1", "" }

// TestCommands runs the scripts of testdata, each against a control VM of its
// own. "run CODE ARGS" runs a command and checks its exit code.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/scripts",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"run": run,
		},
	})
}

func setup(env *testscript.Env) error {
	store := operator.NewStore()
	members := declared.Members{Announced: []oriolebend.Server{{
		Name: "s1", State: oriolebend.ServerServing, Role: oriolebend.Decode, FailureDomain: "bdg-a",
		Models: []oriolebend.LoadedModel{{Model: "planner-lm", Version: "v1"}},
	}}}
	command, err := control.Encode(control.PartDeclared, declared.Command{Members: &members})
	if err != nil {
		return err
	}
	store.Apply(0, command)
	server := httptest.NewServer(operator.New(operator.Config{
		Node: "c1", Store: store, Log: alone{store: store}, Open: true,
		Reports: func() []reached.Report {
			return []reached.Report{{Node: "entry-1", Revision: 4, At: time.Now(), Control: "c1"}}
		},
	}))
	env.Defer(server.Close)
	env.Setenv("CONTROL", server.URL)
	return nil
}

func run(ts *testscript.TestScript, _ bool, args []string) {
	for i := range args {
		if args[i] == "-f" {
			args[i+1] = ts.MkAbs(args[i+1])
		}
	}
	root := &ff.Command{Name: "oriolebend", Subcommands: Commands(ts.Stdout(), ts.Stderr())}
	err := root.ParseAndRun(context.Background(), args[1:])
	code := 0
	var exit *ExitError
	switch {
	case errors.As(err, &exit):
		code = exit.Code
	case err != nil:
		code = 1
	}
	if err != nil {
		fmt.Fprintln(ts.Stderr(), err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s: %v", code, args[0], err)
	}
}
