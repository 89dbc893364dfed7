package serverlimit

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
)

// group is two control VMs, one of which leads, and forwarders that query it.
type group struct {
	network *peertest.Network
	servers map[string]*Server
	// leader is the leading control VM, known the one that forwarders believe to lead, and term
	// the leader's term.
	leader, known atomic.Value
	term          atomic.Uint64
}

var limitedServer = message.BackendServer{Instance: "i-1", Incarnation: 4}

// testGroup runs a test with two control VMs, on the clock of synctest.
func testGroup(t *testing.T, test func(*is.I, *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &group{network: peertest.NewNetwork(1), servers: map[string]*Server{}}
		for _, address := range []string{"c0:1", "c1:1"} {
			s := &Server{
				Leads: func() bool { return g.leader.Load() == address }, Term: g.term.Load,
				Logger: slog.New(slog.DiscardHandler),
			}
			s.Prepare()
			g.servers[address] = s
			go s.Run(ctx)
			g.network.Listen(ctx, address, address, s.Serve)
		}
		g.setLeader("c0:1")
		test(is.New(t), g)
		cancel()
		synctest.Wait()
	})
}

// setLeader makes a control VM the leader of a new term, which is known to the forwarders.
func (g *group) setLeader(address string) {
	g.leader.Store(address)
	g.known.Store(address)
	g.term.Add(1)
}

// client returns a forwarder's client.
func (g *group) client(name string) *Client {
	c := &Client{
		Dialer: g.network.Dialer(name), Logger: slog.New(slog.DiscardHandler),
		Leader: func() string { address, _ := g.known.Load().(string); return address },
	}
	c.Prepare()
	return c
}

// requestPermission requests a permission for the server, which has just reported a limit of two a
// second.
func requestPermission(c *Client) forwarder.Permission {
	return c.Permit(context.Background(), forwarder.PermissionRequest{Server: limitedServer, PerSecond: 2})
}

// The leader counts for all forwarders, takes back unused permissions, and answers that there is no
// limit once one forwarder has reported its end.
func TestLeaderCounts(t *testing.T) {
	testGroup(t, func(is *is.I, g *group) {
		first, second := g.client("f1"), g.client("f2")
		is.Equal(requestPermission(first), forwarder.Permission{After: 500 * time.Millisecond})
		time.Sleep(500 * time.Millisecond)
		is.True(requestPermission(second).Granted)
		is.True(!requestPermission(first).Granted)
		is.True(g.servers["c0:1"].Limited(limitedServer))
		is.True(!g.servers["c1:1"].Limited(limitedServer))
		second.Return(limitedServer)
		synctest.Wait()
		is.True(requestPermission(first).Granted)
		time.Sleep(10 * time.Millisecond)
		first.Ended(limitedServer, time.Millisecond)
		synctest.Wait()
		is.True(!g.servers["c0:1"].Limited(limitedServer))
		answer := second.Permit(context.Background(), forwarder.PermissionRequest{Server: limitedServer, PerSecond: 2, Age: 20 * time.Millisecond})
		is.Equal(answer, forwarder.Permission{Granted: true, Ended: true})
		first.Close()
		second.Close()
	})
}

// Guards against requests that each wait for an unreachable leader, and against two control VMs
// that each grant a server's limit. The leader stalls, and another control VM becomes the leader a
// second later. Meanwhile nothing is permitted, and no request waits after the first one; the new
// leader begins with an empty bucket.
func TestLeaderThatStandsStill(t *testing.T) {
	testGroup(t, func(is *is.I, g *group) {
		c := g.client("f1")
		requestPermission(c)
		time.Sleep(5 * time.Second)
		is.True(requestPermission(c).Granted)
		g.network.Cut("f1", "c0:1")
		g.network.Cut("c0:1", "f1")
		began := time.Now()
		is.Equal(requestPermission(c), forwarder.Permission{After: unreachableFor})
		is.Equal(time.Since(began), requestTimeout)
		answer := requestPermission(c)
		is.True(!answer.Granted && answer.After <= unreachableFor)
		is.Equal(time.Since(began), requestTimeout)
		g.setLeader("c1:1")
		answer = requestPermission(c)
		is.True(!answer.Granted) // the new leader begins with an empty bucket
		time.Sleep(answer.After)
		is.True(requestPermission(c).Granted)
		g.known.Store("")
		is.Equal(requestPermission(c), forwarder.Permission{After: unreachableFor})
		g.network.Heal()
		c.Close()
	})
}

// A control VM that does not lead counts nothing, even if forwarders believe that it leads.
func TestFollowerCountsNothing(t *testing.T) {
	testGroup(t, func(is *is.I, g *group) {
		g.known.Store("c1:1")
		c := g.client("f1")
		is.Equal(requestPermission(c), forwarder.Permission{After: unreachableFor})
		c.Close()
	})
}

// Guards against a server that gets less than its limit. Answers of the leader arrive after the
// requests were cancelled, so that their permissions are not used. A late permission is given back.
func TestLatePermissionIsGivenBack(t *testing.T) {
	testGroup(t, func(is *is.I, g *group) {
		c := g.client("f1")
		requestPermission(c)
		time.Sleep(time.Second)
		cancelled, cancelRequest := context.WithCancel(context.Background())
		cancelRequest()
		for range 20 {
			is.Equal(c.Permit(cancelled, forwarder.PermissionRequest{Server: limitedServer, PerSecond: 2}), forwarder.Permission{}) // no backoff: other requests may query the leader
			synctest.Wait()
		}
		is.True(requestPermission(c).Granted)
		c.Close()
	})
}
