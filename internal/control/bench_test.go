package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/peer"
)

// benchEntries is the number of streams, benchCallers the number of concurrent claims over all of
// them.
const (
	benchEntries = 32
	benchCallers = 1024
)

// fileLog is a fakeLog that writes and syncs each command to a file before it applies it.
type fileLog struct {
	fakeLog
	mu   sync.Mutex
	file *os.File
}

func (l *fileLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if err := l.write(command); err != nil {
		return nil, err
	}
	return l.fakeLog.Propose(ctx, command)
}

func (l *fileLog) write(command []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(command); err != nil {
		return err
	}
	return l.file.Sync()
}

// BenchmarkClaims measures claims per second through clients and one server, for several group
// limits and times until a quorum has synced. One operation is one claim.
func BenchmarkClaims(b *testing.B) {
	for _, syncFor := range []time.Duration{0, 2 * time.Millisecond, 8 * time.Millisecond} {
		for _, group := range []int{1, 16, 128, 512} {
			b.Run(fmt.Sprintf("sync=%s/group=%d", syncFor, group), func(b *testing.B) {
				g := &fakeGroup{leader: "c1", machines: map[string]*Records{}, syncFor: syncFor}
				benchClaims(b, g, &fakeLog{group: g, self: "c1"}, group, benchCallers)
			})
		}
	}
}

// BenchmarkClaimsOnDisk measures the same with each group synced to a file in the temporary folder.
func BenchmarkClaimsOnDisk(b *testing.B) {
	for _, group := range []int{1, 16, 128, 512} {
		b.Run(fmt.Sprint("group=", group), func(b *testing.B) {
			file, err := os.Create(filepath.Join(b.TempDir(), "log"))
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = file.Close() }()
			g := &fakeGroup{leader: "c1", machines: map[string]*Records{}}
			log := &fileLog{fakeLog: fakeLog{group: g, self: "c1"}, file: file}
			benchClaims(b, g, log, group, benchCallers)
		})
	}
}

// BenchmarkClaimAlone measures the delay that a claim adds to a request when no other claim is in
// progress, without network.
func BenchmarkClaimAlone(b *testing.B) {
	for _, syncFor := range []time.Duration{0, 2 * time.Millisecond} {
		b.Run(fmt.Sprint("sync=", syncFor), func(b *testing.B) {
			g := &fakeGroup{leader: "c1", machines: map[string]*Records{}, syncFor: syncFor}
			benchClaims(b, g, &fakeLog{group: g, self: "c1"}, 0, 1)
		})
	}
}

// BenchmarkClaimAloneOnDisk measures that delay with a sync to a file.
func BenchmarkClaimAloneOnDisk(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	g := &fakeGroup{leader: "c1", machines: map[string]*Records{}}
	log := &fileLog{fakeLog: fakeLog{group: g, self: "c1"}, file: file}
	benchClaims(b, g, log, 0, 1)
}

type benchLog interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Confirm(ctx context.Context) error
	Leader() (name, address string)
}

func benchClaims(b *testing.B, g *fakeGroup, log benchLog, group, callers int) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.machines["c1"] = NewRecords()
	server := NewServer(ServerConfig{Self: "c1", Log: log, Records: g.machines["c1"], MaxGroup: group})
	net := &fakeNet{handlers: map[string]peer.Handler{"c1": server.Serve}, unresponsive: map[string]bool{}, ctx: ctx}
	go server.Run(ctx)
	clients := make([]*Client, benchEntries)
	for i := range clients {
		clients[i] = NewClient(ClientConfig{Dialer: net, Members: []string{"c1"}, Owner: fmt.Sprint("e", i)})
	}
	g.set(func(g *fakeGroup) { g.proposed = 0 })
	claimMany(b, clients, callers)
	b.ReportMetric(float64(b.N)/float64(g.proposed), "claims/entry")
}

// claimMany claims b.N requests through the clients, with the given number of concurrent callers.
func claimMany(b *testing.B, clients []*Client, callers int) {
	b.Helper()
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for caller := range callers {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				claim := tip(fmt.Sprint("k", i), fmt.Sprint("r", i))
				if _, err := clients[caller%len(clients)].Claim(context.Background(), claim); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}
