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
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestMain runs the tests, or the child process of a benchmark if the environment
// variable followersVariable is set.
func TestMain(m *testing.M) {
	if config := os.Getenv(followersVariable); config != "" {
		if err := runFollowers(config, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const (
	benchControls = 3
	benchModels   = 34
	benchServers  = 1100
	// mtuDiscoveryTime is the time for QUIC's path MTU discovery to end before the idle
	// cost of a follower is measured.
	mtuDiscoveryTime = 8 * time.Second
	idleTime         = 8 * time.Second
	// reachTimeout bounds the wait until all followers have a revision in force.
	reachTimeout = 20 * time.Second
)

// benchFleet runs three control VMs in this process and followers in a child process.
type benchFleet struct {
	b        *testing.B
	controls []*ControlProcess
	wires    []*wire
	child    *exec.Cmd
	in       io.WriteCloser
	out      *bufio.Reader
	count    int
	orders   int
}

func newBenchFleet(b *testing.B, config followersConfig) *benchFleet {
	b.Helper()
	folder := b.TempDir()
	x := &benchFleet{b: b, count: config.Entries + config.Sidecars}
	names := []peer.Identity{{Role: "entry", Name: "follower"}, {Role: "sidecar", Name: "announcer"}}
	s, err := settings.Default()
	x.must(err)
	s.Caller.Listen, s.Metrics.Listen, s.Operator.Listen = "", "", loopback
	s.Control.Members = nil
	config.Files, config.SidecarFiles = benchFiles(folder, "follower"), benchFiles(folder, "announcer")
	var sockets []net.PacketConn
	for i := range benchControls {
		socket, err := net.ListenPacket("udp", loopback)
		x.must(err)
		sockets = append(sockets, socket)
		address := socket.LocalAddr().String()
		name := fmt.Sprintf("control-%d", i+1)
		names = append(names, peer.Identity{Role: "control", Name: name})
		s.Control.Members = append(s.Control.Members, settings.Member{Name: name, Address: address})
		config.Controls = append(config.Controls, follow.Control{Name: name, Address: address})
	}
	x.must(peer.IssueFiles(folder, names...))
	for i, m := range s.Control.Members {
		credentials, err := peer.LoadFiles(benchFiles(folder, m.Name))
		x.must(err)
		own := s
		own.Node.Name, own.Peer.Listen = m.Name, m.Address
		own.Control.DataFolder = filepath.Join(folder, "data", m.Name)
		count := &wire{}
		c, err := StartControl(Process{
			Settings: own, Credentials: credentials, Logger: slog.New(slog.DiscardHandler), Socket: wireSocket{sockets[i], count},
		})
		x.must(err)
		x.wires = append(x.wires, count)
		x.controls = append(x.controls, c)
	}
	b.Cleanup(x.stop)
	x.declare()
	x.startChild(config)
	return x
}

func benchFiles(folder, name string) peer.Files {
	return peer.Files{
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
}

func (x *benchFleet) must(err error) {
	x.b.Helper()
	if err != nil {
		x.b.Fatal(err)
	}
}

func (x *benchFleet) startChild(config followersConfig) {
	encoded, err := json.Marshal(config)
	x.must(err)
	x.child = exec.Command(os.Args[0])
	x.child.Env = append(os.Environ(), followersVariable+"="+string(encoded))
	x.child.Stderr = os.Stderr
	x.in, err = x.child.StdinPipe()
	x.must(err)
	out, err := x.child.StdoutPipe()
	x.must(err)
	x.out = bufio.NewReader(out)
	x.must(x.child.Start())
}

func (x *benchFleet) stop() {
	if x.child != nil {
		_ = x.in.Close()
		_ = x.child.Wait()
	}
	for _, c := range x.controls {
		_ = c.Kill()
	}
}

// report waits until the followers have a revision in force, and returns their report.
func (x *benchFleet) report(revision uint64) followersReport {
	x.b.Helper()
	var r followersReport
	x.queryChild(&r, revision, int64(reachTimeout), false)
	return r
}

// queryChild sends a line to the child process and reads its report.
func (x *benchFleet) queryChild(report any, line ...any) {
	x.b.Helper()
	_, err := fmt.Fprintln(x.in, line...)
	x.must(err)
	answer, err := x.out.ReadBytes('\n')
	x.must(err)
	x.must(json.Unmarshal(answer, report))
}

// leader waits for the control VM that leads.
func (x *benchFleet) leader() int {
	for range 2000 {
		for i, c := range x.controls {
			name, _ := c.replica.Leader()
			if name != c.process.Settings.Node.Name {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := c.replica.Confirm(ctx)
			cancel()
			if err == nil {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	x.b.Fatal("no leader")
	return 0
}

// apply applies a resource at the leader and returns its revision.
func (x *benchFleet) apply(r oriolebend.Resource, id string) (uint64, error) {
	command, err := control.Encode(control.PartDeclared, declared.Command{At: time.Now(), Order: &declared.Order{
		Action: oriolebend.ActionApply, Kind: r.Kind, Name: r.Name, Resource: &r, Who: "ana", OrderID: id,
	}})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	reply, err := x.controls[x.leader()].replica.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	result, err := control.Decode[oriolebend.ChangeResult](reply)
	return result.Revision, err
}

// applyUntilAccepted applies a resource repeatedly until it is accepted. The order id
// makes the attempts a single order.
func (x *benchFleet) applyUntilAccepted(r oriolebend.Resource, id string) uint64 {
	limit := time.Now().Add(reachTimeout)
	for {
		revision, err := x.apply(r, id)
		if err == nil {
			return revision
		}
		if time.Now().After(limit) {
			x.b.Error(err)
			return 0
		}
	}
}

// applyAll applies resources concurrently and returns the highest revision.
func (x *benchFleet) applyAll(resources []oriolebend.Resource) uint64 {
	revisions := make([]uint64, len(resources))
	var all sync.WaitGroup
	for i, r := range resources {
		id := fmt.Sprintf("01234567-89ab-cdef-0123-%012d", x.orders+i)
		all.Go(func() {
			revisions[i] = x.applyUntilAccepted(r, id)
		})
	}
	all.Wait()
	x.orders += len(resources)
	return slices.Max(revisions)
}

// declare declares the resources of the fleet.
func (x *benchFleet) declare() {
	var models, versions, pools, servers []oriolebend.Resource
	for i := range benchModels {
		m := fmt.Sprintf("model-%d", i)
		models = append(models, oriolebend.Resource{Kind: oriolebend.KindModel, Name: m, Spec: &oriolebend.Model{Versions: []string{"v1", "v2", "v3"}}})
		for _, v := range []string{"v1", "v2", "v3"} {
			spec := &oriolebend.Version{Model: m, Version: v, WeightURL: "http://weights.internal/" + m + "/" + v, WeightBytes: 70 << 30}
			versions = append(versions, oriolebend.Resource{Kind: oriolebend.KindVersion, Name: oriolebend.VersionName(m, v), Spec: spec})
		}
		for _, role := range []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode} {
			spec := &oriolebend.Pool{Role: role, Model: m, Version: "v1", MinServers: 4}
			pools = append(pools, oriolebend.Resource{Kind: oriolebend.KindPool, Name: m + "-" + string(role), Spec: spec})
		}
	}
	for i := range benchServers {
		servers = append(servers, benchChange(i, oriolebend.ServerServing))
	}
	for _, list := range [][]oriolebend.Resource{models, versions, pools, servers} {
		x.applyAll(list)
	}
}

// benchChange returns an operator's change of a server.
func benchChange(i int, state oriolebend.ServerState) oriolebend.Resource {
	i %= benchServers
	role := []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode}[i%2]
	return oriolebend.Resource{
		Kind: oriolebend.KindServer, Name: fmt.Sprintf("server-%d", i),
		Spec: &oriolebend.DeclaredServer{State: state, Pool: fmt.Sprintf("model-%d-%s", i/2%benchModels, role)},
	}
}

// delays returns the times from an instant until the followers had a revision in
// force. A follower that never had it counts as reachTimeout.
func delays(from int64, times []int64) []time.Duration {
	list := make([]time.Duration, 0, len(times))
	for _, t := range times {
		if t == 0 {
			list = append(list, reachTimeout)
			continue
		}
		list = append(list, time.Duration(t-from))
	}
	return list
}

func reportDelays(b *testing.B, name string, list []time.Duration) {
	slices.Sort(list)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(milliseconds(list[len(list)/2]), name+"-median-ms")
	b.ReportMetric(milliseconds(list[len(list)*99/100]), name+"-99th-ms")
	b.ReportMetric(milliseconds(list[len(list)-1]), name+"-most-ms")
}

// BenchmarkFollowers measures the cost of followers for the control VMs and for the
// followers, and the time from the apply of a change until it is in force at each
// follower. The control VMs run in this process, the followers in a child process.
// Run with -benchtime=1x.
func BenchmarkFollowers(b *testing.B) {
	for _, size := range []struct{ entries, sidecars int }{
		{80, 0}, {160, 0}, {320, 0}, {640, 0}, {0, 100}, {0, 200}, {0, 300}, {0, 550}, {0, 1100}, {320, 1100},
	} {
		b.Run(fmt.Sprintf("entries=%d/sidecars=%d", size.entries, size.sidecars), func(b *testing.B) {
			x := newBenchFleet(b, followersConfig{Entries: size.entries, Sidecars: size.sidecars})
			n := float64(x.count)
			cpu := processorTime()
			start := x.report(1)
			b.ReportMetric(float64((processorTime()-cpu).Microseconds())/n, "start-control-cpu-µs")
			b.ReportMetric(float64(start.Sent+start.Received)/n, "start-wire-B")
			time.Sleep(mtuDiscoveryTime)
			x.measureIdle(n)
			x.measureChanges(n)
			x.measureBurst()
		})
	}
}

// BenchmarkLeaderChange measures how long a change takes from the instant at which
// the leader transfers the leadership and stops, or drops all its packets. Run with
// -benchtime=1x.
func BenchmarkLeaderChange(b *testing.B) {
	for _, silent := range []bool{false, true} {
		b.Run(fmt.Sprintf("entries=320/silent=%t", silent), func(b *testing.B) {
			x := newBenchFleet(b, followersConfig{Entries: 320})
			x.report(1)
			time.Sleep(time.Second)
			x.measureLeaderChange(silent)
		})
	}
}

func (x *benchFleet) measureIdle(n float64) {
	before, cpu := x.report(1), processorTime()
	from := time.Now()
	time.Sleep(idleTime)
	after := x.report(1)
	seconds := time.Since(from).Seconds()
	cpu = processorTime() - cpu
	used := usedMemory()
	var settled followersReport
	x.queryChild(&settled, 1, int64(reachTimeout), true)
	b := x.b
	b.ReportMetric(float64(cpu.Microseconds())/seconds, "rest-controls-cpu-µs/s")
	b.ReportMetric(float64((after.CPU-before.CPU).Microseconds())/seconds/n, "rest-follower-cpu-µs/s")
	b.ReportMetric(float64(after.Sent-before.Sent)/seconds/n, "rest-sent-B/s")
	b.ReportMetric(float64(after.Received-before.Received)/seconds/n, "rest-received-B/s")
	b.ReportMetric(float64(used)/1e6, "controls-heap-MB")
	b.ReportMetric(float64(residentMemory())/1e6, "controls-rss-MB")
	b.ReportMetric(float64(settled.Memory)/n, "follower-B")
}

func (x *benchFleet) measureChanges(n float64) {
	const changes = 20
	var all []time.Duration
	before, cpu := x.report(1), processorTime()
	for i := range changes {
		at := time.Now().UnixNano()
		revision := x.applyAll([]oriolebend.Resource{benchChange(i, oriolebend.ServerLeaving)})
		all = append(all, delays(at, x.report(revision).Times)...)
	}
	after := x.report(1)
	reportDelays(x.b, "change", all)
	x.b.ReportMetric(float64((processorTime()-cpu).Microseconds())/changes/n, "change-control-cpu-µs")
	x.b.ReportMetric(float64((after.CPU-before.CPU).Microseconds())/changes/n, "change-follower-cpu-µs")
	x.b.ReportMetric(float64(after.Sent+after.Received-before.Sent-before.Received)/changes/n, "change-wire-B")
}

func (x *benchFleet) measureBurst() {
	const changes = 100
	var burst []oriolebend.Resource
	for i := range changes {
		burst = append(burst, benchChange(100+i, oriolebend.ServerLeaving))
	}
	at := time.Now().UnixNano()
	revision := x.applyAll(burst)
	x.b.ReportMetric(float64(time.Now().UnixNano()-at)/1e6, "burst-accepted-ms")
	reportDelays(x.b, "burst", delays(at, x.report(revision).Times))
}

// measureLeaderChange stops the leader, or has it drop all packets, and applies a
// change at the same instant, repeatedly until it is accepted.
func (x *benchFleet) measureLeaderChange(silent bool) {
	i := x.leader()
	lost := x.controls[i]
	at := time.Now().UnixNano()
	x.controls = slices.Delete(x.controls, i, i+1)
	stopped := make(chan struct{})
	x.wires[i].dropping.Store(silent)
	go func() {
		defer close(stopped)
		if !silent {
			_ = lost.Stop(context.Background())
		}
	}()
	revision := x.applyUntilAccepted(benchChange(300, oriolebend.ServerLeaving), "leader-change")
	x.b.ReportMetric(float64(time.Now().UnixNano()-at)/1e6, "accepted-ms")
	reportDelays(x.b, "inForce", delays(at, x.report(revision).Times))
	<-stopped
	if silent {
		_ = lost.Kill()
	}
}
