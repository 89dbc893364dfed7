package role

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// The benchmark of followers runs them in a child process, so that the processor time
// and memory of the control VMs are measured separately. Both processes share a clock.

// followersVariable holds the followersConfig of a child process.
const followersVariable = "ORIOLEBEND_BENCH_FOLLOWERS"

// startInterval is the time between the starts of two followers.
const startInterval = 2 * time.Millisecond

type followersConfig struct {
	Entries  int
	Sidecars int
	// Claims lets the child's entries claim requests instead of following the state.
	Claims bool
	// Process is the role that the child runs, empty for followers. Engine is the
	// engine's URL for a sidecar.
	Process  string
	Engine   string
	Controls []follow.Control
	Files    peer.Files
	// SidecarFiles is the certificate of the followers that announce a server.
	SidecarFiles peer.Files
}

// followersReport is the report of a child process on all of its followers.
type followersReport struct {
	// Times holds the time at which each follower had a revision in force, in
	// nanoseconds.
	Times    []int64
	CPU      time.Duration
	Memory   uint64
	Sent     int64
	Received int64
	Packets  int64
}

// benchFollower is one follower with its own endpoint and, as a sidecar, its
// announcer.
type benchFollower struct {
	follower *Follower

	mu      sync.Mutex
	reached []benchReached
}

type benchReached struct {
	revision uint64
	at       int64
}

// reachedAt returns when a revision or a later one first came into force, zero if none
// has.
func (f *benchFollower) reachedAt(revision uint64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reached {
		if r.revision >= revision {
			return r.at
		}
	}
	return 0
}

// wire counts the datagrams and bytes of sockets.
type wire struct {
	sent, received, packets atomic.Int64
	// dropping drops all datagrams, as if the VM were lost.
	dropping atomic.Bool
}

type wireSocket struct {
	net.PacketConn
	wire *wire
}

// ReadFrom implements net.PacketConn.
func (s wireSocket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(b)
	for err == nil && s.wire.dropping.Load() {
		n, from, err = s.PacketConn.ReadFrom(b)
	}
	s.wire.received.Add(int64(n))
	s.wire.packets.Add(1)
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (s wireSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	if s.wire.dropping.Load() {
		return len(b), nil
	}
	s.wire.sent.Add(int64(len(b)))
	s.wire.packets.Add(1)
	return s.PacketConn.WriteTo(b, to)
}

// runFollowers runs the child process. Each line on its input is a request, which it
// answers with a line on its output.
func runFollowers(config string, in io.Reader, out io.Writer) error {
	var c followersConfig
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		return err
	}
	credentials, err := peer.LoadFiles(c.Files)
	if err != nil {
		return err
	}
	if c.Process != "" {
		return runProcess(c, credentials, in, out)
	}
	if c.Claims {
		return runClaims(c, credentials, in, out)
	}
	count := &wire{}
	var followers []*benchFollower
	for i := range c.Entries + c.Sidecars {
		f, err := startBenchFollower(c, credentials, count, i)
		if err != nil {
			return err
		}
		followers = append(followers, f)
		time.Sleep(startInterval)
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var revision uint64
		var within time.Duration
		var memory bool
		if _, err := fmt.Sscan(lines.Text(), &revision, &within, &memory); err != nil {
			return err
		}
		report := followersReport{Times: awaitReached(followers, revision, within)}
		report.Sent, report.Received, report.Packets = count.sent.Load(), count.received.Load(), count.packets.Load()
		report.CPU = processorTime()
		if memory {
			report.Memory = usedMemory()
		}
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return err
		}
	}
	return lines.Err()
}

// awaitReached returns when each follower had a revision in force, zero for a follower
// that did not in time.
func awaitReached(followers []*benchFollower, revision uint64, within time.Duration) []int64 {
	times := make([]int64, len(followers))
	for limit := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		missing := false
		for i, f := range followers {
			times[i] = f.reachedAt(revision)
			missing = missing || times[i] == 0
		}
		if !missing || time.Now().After(limit) {
			return times
		}
	}
}

// benchEndpoint opens a separate endpoint for each process that is simulated.
func benchEndpoint(credentials peer.Credentials, count *wire) (*peer.Endpoint, error) {
	socket, err := net.ListenPacket("udp", loopback)
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Config{Socket: wireSocket{socket, count}, Credentials: credentials})
}

func startBenchFollower(c followersConfig, credentials peer.Credentials, count *wire, i int) (*benchFollower, error) {
	if i >= c.Entries {
		own, err := peer.LoadFiles(c.SidecarFiles)
		if err != nil {
			return nil, err
		}
		credentials = own
	}
	endpoint, err := benchEndpoint(credentials, count)
	if err != nil {
		return nil, err
	}
	role := "entry"
	var announcer *Announcer
	if i >= c.Entries {
		role = "sidecar"
		announcer = benchAnnouncer(c, endpoint, i-c.Entries)
	}
	f := &benchFollower{}
	f.follower = NewFollower(FollowerConfig{
		Reducer: follow.Config{
			Node: fmt.Sprintf("%s-region-1-domain-12-%d", role, i), Role: role, Controls: c.Controls, Seed: uint64(i + 1),
		},
		Dialer: endpoint,
		Apply: func(view declared.View, _ follow.Changed) {
			f.mu.Lock()
			f.reached = append(f.reached, benchReached{revision: view.Revision, at: time.Now().UnixNano()})
			f.mu.Unlock()
			if announcer != nil {
				announcer.SetReached(view.Revision)
			}
		},
		Observer: discardObserver{},
	})
	loop := NewLoop(&reducer.State{Follow: f.follower.State}, func(e reducer.Effect) {
		if effect, ok := e.(follow.Effect); ok {
			f.follower.Perform(effect)
		}
	}, f.follower.Tick())
	go loop.Run(context.Background())
	f.follower.Start(context.Background(), loop.Post)
	return f, nil
}

func benchAnnouncer(c followersConfig, dialer peer.Dialer, i int) *Announcer {
	a := &Announcer{Dialer: dialer, Logger: slog.New(slog.DiscardHandler)}
	for _, control := range c.Controls {
		a.Control = append(a.Control, control.Address)
	}
	a.Prepare()
	a.SetServer(benchServer(i))
	go a.Run(context.Background())
	return a
}

func benchServer(i int) oriolebend.Server {
	role := []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode}[i%2]
	return oriolebend.Server{
		Name: fmt.Sprintf("server-%d", i), Region: "region-1", FailureDomain: fmt.Sprintf("domain-%d", i%12),
		GateAddress: "10.20.30.40:7470", Incarnation: 1764690000000000000, Role: role, State: oriolebend.ServerServing,
		Models:   []oriolebend.LoadedModel{{Model: fmt.Sprintf("model-%d", i/2%34), Version: "v1"}},
		KVTokens: 160000, LinkBytes: 2e9,
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usedMemory returns the bytes of heap and stacks after a garbage collection.
func usedMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// residentMemory returns the resident memory of this process in bytes.
func residentMemory() uint64 {
	status, _ := os.ReadFile("/proc/self/status")
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes uint64
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}

// discardObserver discards everything.
type discardObserver struct{}

// Count implements Observer.
func (discardObserver) Count(string, oriolebend.Reason, string) {}

// Observe implements Observer.
func (discardObserver) Observe(string, oriolebend.Urgency, float64) {}
