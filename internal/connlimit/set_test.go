package connlimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type conn struct {
	peer    string
	since   time.Time
	serving bool
}

func (c *conn) Peer() string { return c.peer }

func (c *conn) WaitingSince() (time.Time, bool) { return c.since, !c.serving }

// Guards against a peer that loses a connection to one with more of them, and against a connection that
// is closed while it serves a request.
func TestClosable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set[*conn]
		var all []*conn
		peer := func(name string) string { return fmt.Sprint(rapid.IntRange(1, 4).Draw(t, name)) }
		for n := range rapid.IntRange(0, 20).Draw(t, "connections") {
			c := &conn{peer: peer("peer"), since: time.Unix(int64(n), 0), serving: rapid.Bool().Draw(t, "serving")}
			s.Add(c)
			all = append(all, c)
			if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				s.Remove(c)
				s.Remove(c)
				all = all[:len(all)-1]
			}
		}
		newcomer := peer("newcomer")
		open := map[string]int{newcomer: 1}
		most := 1
		for _, c := range all {
			open[c.peer]++
			most = max(most, open[c.peer])
		}
		var want *conn
		for _, c := range all {
			if want == nil && !c.serving && open[c.peer] == most {
				want = c
			}
		}
		got, found := s.Closable(newcomer)
		if got != want || found != (want != nil) || s.Len() != len(all) {
			t.Fatalf("closable %v, expected %v, of %v for %s", got, want, all, newcomer)
		}
	})
}
