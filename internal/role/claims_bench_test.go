package role

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	controlpeer "github.com/oriolebend/oriolebend/internal/control"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// claimEntries is the number of entries that send claims.
const claimEntries = 32

// claimDuration is how long each number of callers sends claims.
const claimDuration = 4 * time.Second

// claimsReport is the report of a child process on the requests that it claimed and
// settled.
type claimsReport struct {
	Requests int
	Failed   int
	Claims   []time.Duration
	Seconds  float64
	CPU      time.Duration
	Wire     int64
}

// runClaims runs a child process whose entries claim and settle requests. Each input
// line starts a round with that number of callers.
func runClaims(c followersConfig, credentials peer.Credentials, in io.Reader, out io.Writer) error {
	count := &wire{}
	var clients []*controlpeer.Client
	for i := range claimEntries {
		endpoint, err := benchEndpoint(credentials, count)
		if err != nil {
			return err
		}
		config := controlpeer.ClientConfig{
			Dialer: endpoint, Owner: fmt.Sprintf("entry-region-1-domain-12-%d/1764690000000000000", i), OwnerAddress: endpoint.Address(),
		}
		for _, control := range c.Controls {
			config.Members = append(config.Members, control.Address)
		}
		client := controlpeer.NewClient(config)
		go client.Run(context.Background())
		clients = append(clients, client)
	}
	lines := bufio.NewScanner(in)
	for round := 0; lines.Scan(); round++ {
		var callers int
		if _, err := fmt.Sscan(lines.Text(), &callers); err != nil {
			return err
		}
		report := claimAll(clients, callers, round, count)
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return err
		}
	}
	return lines.Err()
}

func claimAll(clients []*controlpeer.Client, callers, round int, count *wire) claimsReport {
	var report claimsReport
	var mu sync.Mutex
	var all sync.WaitGroup
	from, cpu, bytes := time.Now(), processorTime(), count.sent.Load()+count.received.Load()
	for caller := range callers {
		all.Go(func() {
			var took []time.Duration
			failed := 0
			for n := 0; time.Since(from) < claimDuration; n++ {
				id := fmt.Sprintf("01981f5e-7f0a-7c31-%04d-%04d%08d", round, caller, n)
				d, err := claimOne(clients[caller%len(clients)], id)
				if err != nil {
					failed++
					continue
				}
				took = append(took, d)
			}
			mu.Lock()
			defer mu.Unlock()
			report.Claims = append(report.Claims, took...)
			report.Failed += failed
		})
	}
	all.Wait()
	report.Seconds, report.CPU = time.Since(from).Seconds(), processorTime()-cpu
	report.Wire = count.sent.Load() + count.received.Load() - bytes
	report.Requests = len(report.Claims)
	slices.Sort(report.Claims)
	return report
}

// claimOne claims and settles one repeatable request and returns the duration of the
// claim.
func claimOne(client *controlpeer.Client, id string) (time.Duration, error) {
	ctx := context.Background()
	scope := message.Scope{Organisation: "organisation-17", Operation: "completions", Key: id}
	at := time.Now()
	answer, err := client.Claim(ctx, message.Claim{
		Scope: scope, RequestID: id, Fingerprint: "v1:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
	})
	took := time.Since(at)
	if err != nil {
		return took, err
	}
	_, err = client.Settle(ctx, message.Settle{
		RequestID: id, Scope: scope, Attempt: answer.Attempt, State: message.RecordAnswered, Server: "server-1099",
		Answer: &message.Answer{Status: 200},
	})
	return took, err
}

// BenchmarkClaims measures claims that clients send over QUIC to three control VMs,
// which sync to this machine's disk. The control VMs run in this process, the
// entries in a child process. Run with -benchtime=1x.
func BenchmarkClaims(b *testing.B) {
	x := newBenchFleet(b, followersConfig{Claims: true})
	for _, callers := range []int{1, 1, 16, 128, 1024} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			index, cpu, folder := x.controls[x.leader()].replica.Status().Applied, processorTime(), x.folderBytes()
			var r claimsReport
			x.queryChild(&r, callers)
			n := float64(r.Requests)
			cpu, index = processorTime()-cpu, x.controls[x.leader()].replica.Status().Applied-index
			b.ReportMetric(n/r.Seconds, "requests/s")
			b.ReportMetric(float64(r.Failed), "failed")
			b.ReportMetric(float64(r.Claims[len(r.Claims)/2].Microseconds()), "claim-median-µs")
			b.ReportMetric(float64(r.Claims[len(r.Claims)*99/100].Microseconds()), "claim-99th-µs")
			b.ReportMetric(2*n/float64(index), "writes/log-entry")
			b.ReportMetric(float64(cpu.Microseconds())/n, "controls-cpu-µs/request")
			b.ReportMetric(float64(r.CPU.Microseconds())/n, "entry-cpu-µs/request")
			b.ReportMetric(float64(r.Wire)/n, "wire-B/request")
			b.ReportMetric(float64(x.folderBytes()-folder)/benchControls/n, "disk-B/request")
		})
	}
}

// folderBytes returns the size of all data folders in bytes.
func (x *benchFleet) folderBytes() int64 {
	var bytes int64
	for _, c := range x.controls {
		files, _ := os.ReadDir(c.process.Settings.Control.DataFolder)
		for _, f := range files {
			if info, err := f.Info(); err == nil {
				bytes += info.Size()
			}
		}
	}
	return bytes
}
