package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// benchLeader returns a leader of the given number of members, all recorded in the log, and their
// announcements.
func benchLeader(servers int) (*State, []message.Announce) {
	view := declared.NewView()
	var announces []message.Announce
	for i := range servers {
		s := oriolebend.Server{
			Name: fmt.Sprintf("server-%d", i), State: oriolebend.ServerServing, Role: oriolebend.Decode, Incarnation: 1,
			Models: []oriolebend.LoadedModel{{Model: "m", Version: "v1"}},
		}
		view.Servers[s.Name] = s
		announces = append(announces, message.Announce{Server: s})
	}
	s := New(Config{})
	Reduce(s, LeadershipGained{At: time.Unix(0, 0), View: view})
	Reduce(s, Ticked{At: time.Unix(0, 0)})
	return s, announces
}

// BenchmarkRenewal measures the renewal of one sidecar at the leader.
func BenchmarkRenewal(b *testing.B) {
	for _, servers := range []int{25, 1100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			s, announces := benchLeader(servers)
			for i := 0; b.Loop(); i++ {
				Reduce(s, Announced{At: time.Unix(0, 0), Announce: announces[i%servers]})
			}
		})
	}
}

// BenchmarkTick measures one tick of the leader, of which there are five a second.
func BenchmarkTick(b *testing.B) {
	s, _ := benchLeader(1100)
	for b.Loop() {
		Reduce(s, Ticked{At: time.Unix(0, 0)})
	}
}

// BenchmarkPermit measures one permit request in a pool of 1100 servers.
func BenchmarkPermit(b *testing.B) {
	s, announces := benchLeader(1100)
	for _, a := range announces {
		Reduce(s, Announced{At: time.Unix(99, 0), Announce: a})
	}
	view := s.view
	view.Merge(2, nil, []oriolebend.Resource{{
		Kind: oriolebend.KindPool, Name: "p",
		Spec: &oriolebend.Pool{Role: oriolebend.Decode, Model: "m", Version: "v2", MinServers: 1100, Selector: &oriolebend.Selector{}},
	}})
	Reduce(s, Committed{At: time.Unix(0, 0), View: view})
	for b.Loop() {
		Reduce(s, PermitRequested{At: time.Unix(100, 0), Permit: message.Permit{Server: "server-1", Out: true}})
	}
}
