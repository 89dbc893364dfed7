package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// instantLog applies commands that are proposed at the leader immediately.
type instantLog struct {
	store *operator.Store
	leads bool
}

func (l instantLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if !l.leads {
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}
	}
	return l.store.Apply(0, command), nil
}

func (l instantLog) Confirm(context.Context) error { return nil }

func (l instantLog) Leader() (name, address string) { return "c1", "" }

// newControls returns the URLs of a leader c1 and a follower c2.
func newControls(t *testing.T) (leader, follower string) {
	store := operator.NewStore()
	serve := func(name string, leads bool) string {
		config := operator.Config{
			Node: name, Store: store, Log: instantLog{store: store, leads: leads},
			Tokens:           []string{"ana=secret"},
			OperatorURL:      func(string) string { return leader },
			BookmarkInterval: 10 * time.Millisecond,
		}
		server := httptest.NewServer(operator.New(config))
		t.Cleanup(server.Close)
		return server.URL
	}
	leader = serve("c1", true)
	follower = serve("c2", false)
	return leader, follower
}

// lossyTransport sends requests and drops the answers to the first lose requests, and to
// one of every oneOf orders.
type lossyTransport struct {
	lose   int
	oneOf  int
	orders int
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	lost := l.lose > 0
	l.lose--
	if l.oneOf > 0 && r.Method != http.MethodGet && response.StatusCode == http.StatusOK {
		l.orders++
		lost = l.orders%l.oneOf == 0
	}
	if lost {
		_ = response.Body.Close()
		return nil, errors.New("connection reset")
	}
	return response, nil
}

func model(name string, versions ...string) oriolebend.Resource {
	return oriolebend.Resource{Kind: oriolebend.KindModel, Name: name, Spec: &oriolebend.Model{Versions: versions}}
}

// TestRetryAfterLostAnswerIsNoRace guards against an order that loses a race against its
// own retry: the order was accepted, its answer was lost, and the client sent the order
// again under another order id.
func TestRetryAfterLostAnswerIsNoRace(t *testing.T) {
	is := is.New(t)
	leader, follower := newControls(t)
	c := client.New(client.Config{
		Addresses: []string{follower, leader}, Token: "secret",
		HTTP: &http.Client{Transport: &lossyTransport{lose: 3}}, WaitFirst: time.Millisecond,
	})
	none := uint64(0)
	result, err := c.Apply(t.Context(), model("m", "v1"), client.Options{Expect: &none})
	is.NoErr(err)
	is.Equal(result.Outcome, oriolebend.ChangeApplied)
	is.True(result.Resent) // one of the lost answers was that to the applied order
	is.Equal(result.Revision, uint64(1))
}

func TestRaceReportsTheWinner(t *testing.T) {
	is := is.New(t)
	leader, follower := newControls(t)
	c := client.New(client.Config{Addresses: []string{follower, leader}, Token: "secret"})
	first, err := c.Apply(t.Context(), model("m", "v1"), client.Options{})
	is.NoErr(err)
	_, err = c.Apply(t.Context(), model("m", "v2"), client.Options{Expect: &first.Revision})
	is.NoErr(err)
	_, err = c.Apply(t.Context(), model("m", "v3"), client.Options{Expect: &first.Revision})
	is.Equal(client.ReasonOf(err), oriolebend.ReasonRevisionRace)
	var refused *client.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Problem.Result.Current.Spec, &oriolebend.Model{Versions: []string{"v2"}})
	is.Equal(refused.Problem.Result.Winner.Who, "ana")
	_, err = c.Get(t.Context(), oriolebend.ResourceKey{Kind: oriolebend.KindModel, Name: "x"})
	is.Equal(client.ReasonOf(err), oriolebend.ReasonUnknownRequest)
}

// TestOperatorsRace has operators add versions to one model concurrently, over connections
// that lose answers. Each operator reads the model, adds a version, and starts again if
// another operator won. In the end each version must be listed exactly once.
func TestOperatorsRace(t *testing.T) {
	const operators, each = 4, 10
	is := is.New(t)
	leader, follower := newControls(t)
	first := client.New(client.Config{Addresses: []string{leader}, Token: "secret"})
	_, err := first.Apply(t.Context(), model("m", "v"), client.Options{})
	is.NoErr(err)
	var group sync.WaitGroup
	for o := range operators {
		c := client.New(client.Config{
			Addresses: []string{follower, leader}, Token: "secret", Tries: 50,
			HTTP: &http.Client{Transport: &lossyTransport{oneOf: 2 + o}}, WaitFirst: time.Millisecond, WaitMost: 2 * time.Millisecond,
		})
		group.Go(func() {
			for i := 0; i < each; {
				if addVersion(t, c, fmt.Sprintf("%d-%d", o, i)) {
					i++
				}
			}
		})
	}
	group.Wait()
	r, err := first.Get(t.Context(), model("m").Key())
	is.NoErr(err)
	versions := r.Spec.(*oriolebend.Model).Versions
	is.Equal(len(versions), 1+operators*each)
	is.NoErr(r.Check()) // no version is listed twice
}

// addVersion returns false if another operator won the race.
func addVersion(t *testing.T, c *client.Client, version string) bool {
	r, err := c.Get(t.Context(), model("m").Key())
	if err != nil {
		t.Error(err)
		return true
	}
	versions := append(slices.Clone(r.Spec.(*oriolebend.Model).Versions), version)
	_, err = c.Apply(t.Context(), model("m", versions...), client.Options{Expect: &r.Revision})
	if err != nil && client.ReasonOf(err) != oriolebend.ReasonRevisionRace {
		t.Error(err)
	}
	return client.ReasonOf(err) != oriolebend.ReasonRevisionRace
}

func TestControlUnreachable(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	c := client.New(client.Config{Addresses: []string{closed.URL}, Tries: 2, WaitFirst: time.Millisecond})
	_, err := c.Apply(t.Context(), model("m", "v"), client.Options{OrderID: "o1"})
	var unreachable *client.Error
	is.True(errors.As(err, &unreachable))
	is.Equal(unreachable.Problem.Reason, oriolebend.ReasonControlAway)
	is.Equal(unreachable.Problem.Ran, oriolebend.RanUnknown) // the client can't know
	is.Equal(unreachable.Problem.OrderID, "o1")
}

// truncatingTransport cuts each answer off after a number of bytes, possibly within a line.
type truncatingTransport struct{ after int64 }

func (c truncatingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		response.Body = struct {
			io.Reader
			io.Closer
		}{io.LimitReader(response.Body, c.after), response.Body}
	}
	return response, err
}

// TestWatchResumes cuts a watch off repeatedly. It must resume where it was, and report
// each change once.
func TestWatchResumes(t *testing.T) {
	is := is.New(t)
	leader, follower := newControls(t)
	c := client.New(client.Config{Addresses: []string{leader, follower}, Token: "secret", WaitFirst: time.Millisecond})
	watcher := client.New(client.Config{
		Addresses: []string{follower, leader}, Token: "secret",
		HTTP: &http.Client{Transport: truncatingTransport{after: 250}}, WaitFirst: time.Millisecond,
	})
	stop := errors.New("seen enough")
	var names []string
	put := func(name string) {
		_, err := c.Apply(t.Context(), model(name, "v"), client.Options{})
		is.NoErr(err)
	}
	put("a")
	err := watcher.Watch(t.Context(), 0, func(e oriolebend.WatchEvent) error {
		switch {
		case e.Resource != nil:
			names = append(names, e.Resource.Name)
		case e.Bookmark && len(names) < 6: // make another change
			put(string(rune('a' + len(names))))
		case e.Bookmark:
			return stop
		}
		return nil
	})
	is.Equal(err, stop)
	is.Equal(names, []string{"a", "b", "c", "d", "e", "f"})
}
