package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// commandList is a state machine that stores every command.
type commandList struct {
	mu       sync.Mutex
	Commands []string
	discard  bool
}

func (l *commandList) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.discard {
		return nil
	}
	l.Commands = append(l.Commands, string(command))
	return fmt.Appendf(nil, "%d", len(l.Commands))
}

func (l *commandList) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.Commands)
}

func (l *commandList) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Commands = nil
	return json.Unmarshal(snapshot, &l.Commands)
}

func (l *commandList) encoded() []byte {
	data, err := l.Snapshot()
	if err != nil {
		panic(err)
	}
	return data
}

// group runs members over an in-memory network in one process.
type group struct {
	t       testing.TB
	network *peertest.Network
	folder  string
	config  Config
	running map[string]*runningMember
	// disk replaces the file system of the members that start from now on.
	disk disk.FileSystem
	// discardCommands has the state machines store no commands, for benchmarks.
	discardCommands bool
}

type runningMember struct {
	*Replica
	machine *commandList
	stop    context.CancelFunc
	err     chan error
}

func newGroup(t testing.TB, config Config, names ...string) *group {
	g := &group{
		t: t, network: peertest.NewNetwork(1), folder: t.TempDir(),
		config: config, running: map[string]*runningMember{},
	}
	for _, name := range names {
		g.config.Members = append(g.config.Members, message.Member{Name: name, Address: name + ":1"})
	}
	for _, name := range names {
		g.start(name)
	}
	return g
}

func (g *group) start(name string) *runningMember {
	g.t.Helper()
	machine := &commandList{discard: g.discardCommands}
	config := g.config
	config.Name = name
	config.DataFolder = filepath.Join(g.folder, name)
	config.Dialer = g.network.Dialer(name)
	config.Machine = machine
	config.FileSystem = g.disk
	r, err := New(config)
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(g.t.Context())
	m := &runningMember{Replica: r, machine: machine, stop: stop, err: make(chan error, 1)}
	listening, endListening := context.WithCancel(g.t.Context())
	g.network.Listen(listening, name+":1", name, func(ctx context.Context, s peer.Stream) { r.Serve(ctx, s) })
	go func() {
		defer endListening()
		m.err <- r.Run(ctx)
	}()
	g.running[name] = m
	return m
}

// halt stops a member gracefully.
func (g *group) halt(name string) error {
	m := g.running[name]
	m.stop()
	delete(g.running, name)
	return <-m.err
}

func (g *group) haltAll() {
	for name := range g.running {
		if err := g.halt(name); err != nil {
			g.t.Error(err)
		}
	}
}

// leader waits until a member leads and has confirmed it.
func (g *group) leader() *runningMember {
	g.t.Helper()
	for range 1000 {
		for _, m := range g.running {
			ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
			err := m.Confirm(ctx)
			cancel()
			if err == nil {
				return m
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("no leader")
	return nil
}

func (g *group) others(leader *runningMember) []*runningMember {
	var others []*runningMember
	for _, m := range g.running {
		if m != leader {
			others = append(others, m)
		}
	}
	return others
}

// converge waits until all members have the same state.
func (g *group) converge() {
	g.t.Helper()
	want := g.leader().machine.encoded()
	for range 1000 {
		same := true
		for _, m := range g.running {
			same = same && bytes.Equal(m.machine.encoded(), want)
		}
		if same {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("the members differ")
}

func problem(t *testing.T, err error) *oriolebend.Problem {
	t.Helper()
	var p *oriolebend.Problem
	if !errors.As(err, &p) {
		t.Fatalf("not a problem: %v", err)
	}
	return p
}

func TestOneMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a")
		defer g.haltAll()
		result, err := g.leader().Propose(t.Context(), []byte("x"))
		is.NoErr(err)
		is.Equal(string(result), "1")
		is.NoErr(g.halt("a"))
		a := g.start("a")
		g.leader()
		is.Equal(a.machine.Commands, []string{"x"})
	})
}

func TestThreeMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		leader := g.leader()
		for i := range 10 {
			_, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%d", i))
			is.NoErr(err)
		}
		g.converge()
		follower := g.others(leader)[0]
		_, err := follower.Propose(t.Context(), []byte("x"))
		p := problem(t, err)
		is.Equal(p.Reason, oriolebend.ReasonNotLeader)
		is.Equal(p.Ran, oriolebend.RanNo)
		name, address := follower.Leader()
		is.Equal(name+":1", address)
		is.Equal(name, leader.config.Name)
	})
}
