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

// TestMain runs the child process of the benchmark of followers, or the tests.
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
	// settleFor lets QUIC's search for the packet size end before what a
	// follower costs at rest is measured.
	settleFor = 8 * time.Second
	restFor   = 8 * time.Second
	// reachWithin bounds the wait until all followers have a revision.
	reachWithin = 20 * time.Second
)

// benchFleet is three control VMs in this process, and followers in another.
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

// report waits until the followers have a revision, and returns what they say.
func (x *benchFleet) report(revision uint64) followersReport {
	x.b.Helper()
	var r followersReport
	x.ask(&r, revision, int64(reachWithin), false)
	return r
}

// ask sends the child a line and reads its report.
func (x *benchFleet) ask(report any, line ...any) {
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

// apply has a resource applied by the leader and returns its revision.
func (x *benchFleet) apply(r oriolebend.Resource, id string) (uint64, error) {
	command, err := control.Encode(control.PartDeclared, declared.Command{At: time.Now(), Order: &declared.Order{
		Action: oriolebend.ActionApply, Kind: r.Kind, Name: r.Name, Resource: &r, Who: "ana", OrderID: id,
	}})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachWithin)
	defer cancel()
	reply, err := x.controls[x.leader()].replica.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	result, err := control.Decode[oriolebend.ChangeResult](reply)
	return result.Revision, err
}

// applyAgain applies a resource as often as it takes to be accepted; the order
// id keeps it one order.
func (x *benchFleet) applyAgain(r oriolebend.Resource, id string) uint64 {
	limit := time.Now().Add(reachWithin)
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

// applyAll applies resources side by side and returns the highest revision.
func (x *benchFleet) applyAll(resources []oriolebend.Resource) uint64 {
	revisions := make([]uint64, len(resources))
	var all sync.WaitGroup
	for i, r := range resources {
		id := fmt.Sprintf("01234567-89ab-cdef-0123-%012d", x.orders+i)
		all.Go(func() {
			revisions[i] = x.applyAgain(r, id)
		})
	}
	all.Wait()
	x.orders += len(resources)
	return slices.Max(revisions)
}

// declare declares the fleet of the size in view.
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

// benchChange is one operator's change of a server.
func benchChange(i int, state oriolebend.ServerState) oriolebend.Resource {
	i %= benchServers
	role := []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode}[i%2]
	return oriolebend.Resource{
		Kind: oriolebend.KindServer, Name: fmt.Sprintf("server-%d", i),
		Spec: &oriolebend.DeclaredServer{State: state, Pool: fmt.Sprintf("model-%d-%s", i/2%benchModels, role)},
	}
}

// delays are the times from an instant until the followers had what came
// after it; those that never had it count as the longest wait.
func delays(from int64, times []int64) []time.Duration {
	list := make([]time.Duration, 0, len(times))
	for _, t := range times {
		if t == 0 {
			list = append(list, reachWithin)
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

// BenchmarkFollowers measures what followers cost the control VMs and
// themselves, and how long a change takes from its apply until it is in force
// at each of them. The control VMs are this process, the followers another.
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
			time.Sleep(settleFor)
			x.measureRest(n)
			x.measureChanges(n)
			x.measureBurst()
		})
	}
}

// BenchmarkLeaderChange measures how long a change takes from the instant at
// which the leader hands over and stops, or falls silent. Run with
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

func (x *benchFleet) measureRest(n float64) {
	before, cpu := x.report(1), processorTime()
	from := time.Now()
	time.Sleep(restFor)
	after := x.report(1)
	seconds := time.Since(from).Seconds()
	cpu = processorTime() - cpu
	used := usedMemory()
	var settled followersReport
	x.ask(&settled, 1, int64(reachWithin), true)
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

// measureLeaderChange loses the leader and applies a change at the same
// instant, as often as it takes to be accepted.
func (x *benchFleet) measureLeaderChange(silent bool) {
	i := x.leader()
	lost := x.controls[i]
	at := time.Now().UnixNano()
	x.controls = slices.Delete(x.controls, i, i+1)
	stopped := make(chan struct{})
	x.wires[i].silent.Store(silent)
	go func() {
		defer close(stopped)
		if !silent {
			_ = lost.Stop(context.Background())
		}
	}()
	revision := x.applyAgain(benchChange(300, oriolebend.ServerLeaving), "leader-change")
	x.b.ReportMetric(float64(time.Now().UnixNano()-at)/1e6, "accepted-ms")
	reportDelays(x.b, "inForce", delays(at, x.report(revision).Times))
	<-stopped
	if silent {
		_ = lost.Kill()
	}
}
