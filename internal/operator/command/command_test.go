package command

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/reached"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// singleMemberLog is the log of a group with one control VM.
type singleMemberLog struct{ store *operator.Store }

func (l singleMemberLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.store.Apply(0, command), nil
}

func (l singleMemberLog) Confirm(context.Context) error { return nil }

func (l singleMemberLog) Leader() (name, address string) { return "c1", "" }

// TestCommands runs each script in testdata against a control VM of its own.
// "run CODE ARGS" runs a command and checks its exit code.
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
		Node: "c1", Store: store, Log: singleMemberLog{store: store}, Open: true, Group: &fakeGroup{},
		Reports: func() []reached.Report {
			return []reached.Report{{Node: "entry-1", Revision: 4, At: time.Now(), Control: "c1"}}
		},
	}))
	env.Defer(server.Close)
	env.Setenv("CONTROL", server.URL)
	return makeFolder(filepath.Join(env.WorkDir, "data"))
}

// fakeGroup is a group that stores the members that are added.
type fakeGroup struct{ members []oriolebend.GroupMember }

func (g *fakeGroup) Group() oriolebend.Group {
	return oriolebend.Group{Node: "c1", Role: "leader", Term: 3, Leader: "c1", Members: g.members}
}

func (g *fakeGroup) AddMember(_ context.Context, m message.Member) error {
	g.members = append(g.members, oriolebend.GroupMember{Name: m.Name, Address: m.Address, Match: 7})
	return nil
}

func (g *fakeGroup) RemoveMember(context.Context, string) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonInvalidResource, Ran: oriolebend.RanNo, Detail: "the rest would be too few",
	}
}

func (g *fakeGroup) Transfer(context.Context) error { return nil }

// makeFolder creates the data folder of a stopped control VM.
func makeFolder(folder string) error {
	store, _, err := disk.Open(disk.Config{Folder: folder, Group: "control", Name: "c1"})
	if err != nil {
		return err
	}
	entry := message.LogEntry{Index: 1, Term: 1, Type: message.EntryCommand, Command: []byte("x")}
	err = store.Save([]agreement.Persist{{Entries: []message.LogEntry{entry}}})
	return errors.Join(err, store.Close())
}

func run(ts *testscript.TestScript, _ bool, args []string) {
	for i := range args {
		if args[i] == "-f" {
			args[i+1] = ts.MkAbs(args[i+1])
		}
		if folder, ok := strings.CutPrefix(args[i], "./"); ok {
			args[i] = ts.MkAbs(folder)
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
