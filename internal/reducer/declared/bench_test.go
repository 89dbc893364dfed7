package declared

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// benchmarkState returns a state of the expected size: 34 models with three
// versions and two pools each, and 1,100 servers that are declared and
// announced.
func benchmarkState() *State {
	s := New()
	apply := func(r oriolebend.Resource) {
		s.Apply(0, Command{Order: &Order{Action: oriolebend.ActionApply, Kind: r.Kind, Name: r.Name, Resource: &r, Who: "ana"}})
	}
	const models, servers = 34, 1100
	for i := range models {
		m := fmt.Sprintf("model-%d", i)
		apply(oriolebend.Resource{Kind: oriolebend.KindModel, Name: m, Spec: &oriolebend.Model{Versions: []string{"v1", "v2", "v3"}}})
		for _, v := range []string{"v1", "v2", "v3"} {
			spec := &oriolebend.Version{Model: m, Version: v, WeightURL: "http://weights.internal/" + m + "/" + v, WeightBytes: 70 << 30}
			apply(oriolebend.Resource{Kind: oriolebend.KindVersion, Name: oriolebend.VersionName(m, v), Spec: spec})
		}
		for _, role := range []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode} {
			spec := &oriolebend.Pool{Role: role, Model: m, Version: "v1", MinServers: 4}
			apply(oriolebend.Resource{Kind: oriolebend.KindPool, Name: m + "-" + string(role), Spec: spec})
		}
	}
	for i := range servers {
		role := []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode}[i%2]
		pool := fmt.Sprintf("model-%d-%s", i/2%models, role)
		name := fmt.Sprintf("server-%d", i)
		apply(oriolebend.Resource{Kind: oriolebend.KindServer, Name: name, Spec: &oriolebend.DeclaredServer{Pool: pool}})
		s.Apply(0, Command{Members: &Members{Announced: []oriolebend.Server{benchmarkServer(name, role, i)}}})
	}
	return s
}

func benchmarkServer(name string, role oriolebend.PoolRole, i int) oriolebend.Server {
	return oriolebend.Server{
		Name: name, Region: "region-1", FailureDomain: fmt.Sprintf("domain-%d", i%12),
		GateAddress: "10.20.30.40:7470", Incarnation: 1764690000000000000, Role: role, State: oriolebend.ServerServing,
		Models:   []oriolebend.LoadedModel{{Model: fmt.Sprintf("model-%d", i/2%34), Version: "v1"}},
		KVTokens: 160000, LinkBytes: 2e9,
	}
}

// benchmarkOrder returns the i-th of many changes, spread over the servers.
func benchmarkOrder(i int) Command {
	state := []oriolebend.ServerState{oriolebend.ServerLeaving, oriolebend.ServerServing}[i/1100%2]
	name := fmt.Sprintf("server-%d", i%1100)
	return Command{At: time.Unix(int64(i), 0), Order: &Order{
		Action: oriolebend.ActionApply, Kind: oriolebend.KindServer, Name: name, Who: "ana",
		OrderID: fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i),
		Resource: &oriolebend.Resource{
			Kind: oriolebend.KindServer, Name: name,
			Spec: &oriolebend.DeclaredServer{State: state, Pool: "model-0-decode"},
		},
	}}
}

// BenchmarkApply decodes and applies one change of an operator.
func BenchmarkApply(b *testing.B) {
	s := benchmarkState()
	b.ReportAllocs()
	bytes := 0
	for i := 0; b.Loop(); i++ {
		data, err := cbor.Marshal(benchmarkOrder(i))
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
		s.Apply(0, throughEncoding(b, benchmarkOrder(i)))
	}
	b.ReportMetric(float64(bytes), "logBytes/op")
}

// BenchmarkFeed applies one change, and makes and encodes the update for every
// follower.
func BenchmarkFeed(b *testing.B) {
	for _, followers := range []int{320, 1420} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) {
			s := benchmarkState()
			bytes := 0
			for i := 0; b.Loop(); i++ {
				from := s.Revision()
				s.Apply(0, benchmarkOrder(i))
				for range followers {
					bytes = encodedUpdate(b, s, from)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/follower")
		})
	}
}

func encodedUpdate(b *testing.B, s *State, from uint64) int {
	update, err := s.Update(from)
	if err != nil {
		b.Fatal(err)
	}
	data, err := cbor.Marshal(update)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// BenchmarkCatchUp makes the update for a follower that reconnects after many
// changes, and for one that needs the complete state.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{1, 400, 100000} {
		b.Run(fmt.Sprintf("missed=%d", missed), func(b *testing.B) {
			s := benchmarkState()
			from := s.Revision()
			for i := range missed {
				s.Apply(0, benchmarkOrder(i))
			}
			bytes := 0
			for b.Loop() {
				bytes = encodedUpdate(b, s, from)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
	b.Run("everything", func(b *testing.B) {
		s := benchmarkState()
		bytes := 0
		for b.Loop() {
			bytes = encodedUpdate(b, s, 0)
		}
		b.ReportMetric(float64(bytes), "bytes")
	})
}

// BenchmarkAtRest reports the sizes of the messages between a follower and a
// control VM while nothing changes.
func BenchmarkAtRest(b *testing.B) {
	update, _ := cbor.Marshal(message.Update{Revision: 1 << 30, From: 1 << 30, Confirmed: true, Age: time.Second})
	reached, _ := cbor.Marshal(message.Reached{Node: "entry-region1-domain12-320", Revision: 1 << 30, Role: "entry"})
	announce, _ := cbor.Marshal(message.Announce{Server: benchmarkServer("server-1099", oriolebend.Decode, 1099), Reached: 1 << 30})
	for b.Loop() {
	}
	b.ReportMetric(float64(len(update)), "updateBytes")
	b.ReportMetric(float64(len(reached)), "reachedBytes")
	b.ReportMetric(float64(len(announce)), "announceBytes")
}

// BenchmarkSnapshot encodes and restores a snapshot after many changes.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []int{0, 400, 100000} {
		s := benchmarkState()
		for i := range changes {
			s.Apply(0, benchmarkOrder(i))
		}
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("write/changes=%d", changes), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("read/changes=%d", changes), func(b *testing.B) {
			for b.Loop() {
				if err := New().Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPoolServers computes the pools of all members, as the leader and a
// status query do once for a revision.
func BenchmarkPoolServers(b *testing.B) {
	view := benchmarkState().View()
	for b.Loop() {
		view.PoolServers()
	}
}
