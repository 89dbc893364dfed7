package role

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/saturation"
)

// callersLoad counts the requests of callers who open a connection for each of them.
type callersLoad struct{ sent, served atomic.Int32 }

// share returns the share of the requests that were served.
func (l *callersLoad) share() float64 {
	return float64(l.served.Load()) / float64(max(1, l.sent.Load()))
}

// run has callers send requests for a time, each to the forwarder that choose returns.
func (l *callersLoad) run(ctx context.Context, callers int, gap, length time.Duration, choose func(n int) *ForwarderProcess) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := caller; ctx.Err() == nil; n += callers {
				id := fmt.Sprintf("crowd-%d-%d", caller, n)
				status := sendOverNewConnection(ctx, choose(n), id)
				if ctx.Err() != nil {
					return // the end of the load
				}
				l.sent.Add(1)
				if status == http.StatusOK {
					l.served.Add(1)
				}
				wait(ctx, gap)
			}
		})
	}
	group.Wait()
}

// sendOverNewConnection sends a request and returns the status, 0 without a complete answer.
func sendOverNewConnection(ctx context.Context, f *ForwarderProcess, id string) int {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address()+"/x", http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = "h"
	request.Header.Set("Oriolebend-Request", id)
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a forwarder that serves few of the callers whom a load balancer hands to it alone,
// because something that it may use is divided by the number of forwarders. All callers of three
// forwarders come to one, and open connections three times as often.
func TestAllCallersAtOneForwarder(t *testing.T) {
	is := is.New(t)
	_, _, forwarders := startCrashSite(t, 6)
	const callers, gap = 12, 90 * time.Millisecond
	var before, crowded callersLoad
	before.run(t.Context(), callers, gap, time.Second, func(n int) *ForwarderProcess { return forwarders[n%len(forwarders)] })
	crowded.run(t.Context(), callers, gap/3, 3*time.Second, func(int) *ForwarderProcess { return forwarders[0] })
	t.Logf("served %.3f of %d, then %.3f of %d at one forwarder", before.share(), before.sent.Load(), crowded.share(), crowded.sent.Load())
	is.True(before.share() > 0.9)
	is.True(crowded.share() >= 0.75*before.share())
}

// Guards against a forwarder that stays closed to callers, and is ready all the same, because its port
// could not be opened again at once after its link was full.
func TestPortForCallersIsOpenedAgain(t *testing.T) {
	is := is.New(t)
	_, _, forwarders := startCrashSite(t, 2)
	f := forwarders[0]
	is.True(f.Ready())
	f.applySaturation(saturation.Link, saturation.Use{})
	taken, err := net.Listen("tcp", f.Address())
	is.NoErr(err)
	opened := make(chan struct{})
	go func() {
		f.applySaturation(saturation.Free, saturation.Use{})
		close(opened)
	}()
	time.Sleep(unreadyAfter + resumeRetryDelay)
	is.True(!f.Ready())
	is.NoErr(taken.Close())
	select {
	case <-opened:
	case <-time.After(5 * time.Second):
		t.Fatal("the port was not opened again")
	}
	is.True(f.Ready())
	is.Equal(sendOverNewConnection(t.Context(), f, "after"), http.StatusOK)
}
