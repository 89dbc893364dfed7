package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Sizes that the users expect.
const (
	benchModels        = 34
	benchOrganisations = 210
	benchTokens        = 160_000
)

// benchGate returns a gate with the given number of queued reservations. If it
// isn't zero, twenty decodes fill the gate's memory.
func benchGate(b *testing.B, queued int) *State {
	s := New(Config{QueueBound: queued + 10, Lease: time.Hour, StartWithin: time.Hour})
	info := engine.Info{Role: oriolebend.Decode, KVTokens: benchTokens, BlockTokens: 16, Incarnation: 1}
	for i := range benchModels {
		info.Models = append(info.Models, oriolebend.LoadedModel{Model: fmt.Sprint("model", i), Version: "1"})
	}
	Reduce(s, EngineKnown{At: epoch, Info: info})
	Reduce(s, WorkListed{At: epoch})
	Reduce(s, CacheListed{At: epoch})
	for i := range queued {
		Reduce(s, benchReserve(i, "wait"))
	}
	if s.queue.length < queued-30 {
		b.Fatalf("only %d reservations queued", s.queue.length)
	}
	return s
}

func benchReserve(i int, kind string) Received {
	id := fmt.Sprint(kind, i)
	return Received{At: epoch, Session: SessionID(id), Message: message.Reserve{
		Attempt:      message.Attempt{RequestID: id, Number: 1},
		Phase:        message.PhaseDecode,
		Entry:        "entry-17",
		Organisation: fmt.Sprint("org", i%benchOrganisations),
		Urgency:      oriolebend.Patient,
		Model:        fmt.Sprint("model", i%benchModels),
		PromptTokens: 7800,
		MaxTokens:    200,
		StartIn:      300 * time.Millisecond,
		Hold:         true,
	}}
}

// BenchmarkReserveRelease measures one Reserve and its Release, at a gate with
// empty memory and at gates with full memory and queues.
func BenchmarkReserveRelease(b *testing.B) {
	for _, queued := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint("queue=", queued), func(b *testing.B) {
			s := benchGate(b, queued)
			events := make([]Received, 4096)
			for i := range events {
				events[i] = benchReserve(i, "bench")
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				e := events[i%len(events)]
				m := e.Message.(message.Reserve)
				m.Attempt.Number = uint32(i/len(events) + 1)
				e.Message = m
				Reduce(s, e)
				Reduce(s, Received{At: epoch, Session: e.Session, Message: message.Release{Attempt: m.Attempt}})
			}
		})
	}
}

// BenchmarkTick measures the cost of one Ticked event.
func BenchmarkTick(b *testing.B) {
	for _, queued := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint("queue=", queued), func(b *testing.B) {
			s := benchGate(b, queued)
			b.ReportAllocs()
			for b.Loop() {
				Reduce(s, Ticked{At: epoch})
			}
		})
	}
}

// BenchmarkBytes reports the encoded size of one Reserve and its Offer.
func BenchmarkBytes(b *testing.B) {
	for _, blocks := range []int{0, 8, 64} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			reserve := benchReserve(17, "0197b2c4-5d6e-7f80-9a1b-2c3d4e5f").Message.(message.Reserve)
			for i := range blocks {
				reserve.Prefix = append(reserve.Prefix, uint64(i)*0x9e3779b97f4a7c15)
			}
			offer := message.Offer{
				Attempt: reserve.Attempt, Granted: true, StartIn: 300 * time.Millisecond,
				FreeTokens: 42_000, LinkBytes: 1.25e9, LeaseFor: 3 * time.Second,
			}
			var encodedReserve, encodedOffer []byte
			for b.Loop() {
				encodedReserve, _ = cbor.Marshal(reserve)
				encodedOffer, _ = cbor.Marshal(offer)
			}
			b.ReportMetric(float64(len(encodedReserve)), "reserveBytes")
			b.ReportMetric(float64(len(encodedOffer)), "offerBytes")
		})
	}
}
