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

// oneLog applies what is proposed at the leader at once.
type oneLog struct {
	store *operator.Store
	leads bool
}

func (l oneLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if !l.leads {
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}
	}
	return l.store.Apply(0, command), nil
}

func (l oneLog) Confirm(context.Context) error { return nil }

func (l oneLog) Leader() (name, address string) { return "c1", "" }

// newControls returns the URLs of a leader c1 and a follower c2.
func newControls(t *testing.T) (leader, follower string) {
	store := operator.NewStore()
	serve := func(name string, leads bool) string {
		config := operator.Config{
			Node: name, Store: store, Log: oneLog{store: store, leads: leads},
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

// lossy carries requests, and loses the answers to the first of them, and to
// one of so many orders.
type lossy struct {
	lose   int
	oneOf  int
	orders int
}

func (l *lossy) RoundTrip(r *http.Request) (*http.Response, error) {
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

// TestLostAnswerIsNoRace: symptom: an operator is told that she lost a race
// against herself. Sequence: the order is accepted, its answer is lost, the
// client sends it again. Cause: the second try had another order id.
func TestLostAnswerIsNoRace(t *testing.T) {
	is := is.New(t)
	leader, follower := newControls(t)
	c := client.New(client.Config{
		Addresses: []string{follower, leader}, Token: "secret",
		HTTP: &http.Client{Transport: &lossy{lose: 3}}, WaitFirst: time.Millisecond,
	})
	none := uint64(0)
	result, err := c.Apply(t.Context(), model("m", "v1"), client.Options{Expect: &none})
	is.NoErr(err)
	is.Equal(result.Outcome, oriolebend.ChangeApplied)
	is.True(result.Resent) // one of the lost answers was the first
	is.Equal(result.Revision, uint64(1))
}

func TestRaceTellsTheWinner(t *testing.T) {
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

// TestOperatorsRace has operators add versions to one model at once, over
// connections that lose answers. Each reads, adds its own, and begins anew when
// another won; in the end none is missing and none stands twice.
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
			HTTP: &http.Client{Transport: &lossy{oneOf: 2 + o}}, WaitFirst: time.Millisecond, WaitMost: 2 * time.Millisecond,
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
	is.NoErr(r.Check()) // each once
}

// addVersion reports false if another operator won.
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

func TestControlAway(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	c := client.New(client.Config{Addresses: []string{closed.URL}, Tries: 2, WaitFirst: time.Millisecond})
	_, err := c.Apply(t.Context(), model("m", "v"), client.Options{OrderID: "o1"})
	var away *client.Error
	is.True(errors.As(err, &away))
	is.Equal(away.Problem.Reason, oriolebend.ReasonControlAway)
	is.Equal(away.Problem.Ran, oriolebend.RanUnknown) // it can't know
	is.Equal(away.Problem.OrderID, "o1")
}

// cutting breaks each answer off after some bytes, perhaps within a line.
type cutting struct{ after int64 }

func (c cutting) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		response.Body = struct {
			io.Reader
			io.Closer
		}{io.LimitReader(response.Body, c.after), response.Body}
	}
	return response, err
}

// TestWatchGoesOn breaks a watch off again and again; it goes on where it was,
// and each change is seen once.
func TestWatchGoesOn(t *testing.T) {
	is := is.New(t)
	leader, follower := newControls(t)
	c := client.New(client.Config{Addresses: []string{leader, follower}, Token: "secret", WaitFirst: time.Millisecond})
	watcher := client.New(client.Config{
		Addresses: []string{follower, leader}, Token: "secret",
		HTTP: &http.Client{Transport: cutting{after: 250}}, WaitFirst: time.Millisecond,
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
		case e.Bookmark && len(names) < 6: // another change comes
			put(string(rune('a' + len(names))))
		case e.Bookmark:
			return stop
		}
		return nil
	})
	is.Equal(err, stop)
	is.Equal(names, []string{"a", "b", "c", "d", "e", "f"})
}
