package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// fullState returns a state with as many suspects as it keeps, each at a number of crashes.
func fullState(crashes int) *State {
	s := New(Config{TrackAnswers: true})
	for i := range maxSuspects / 4 {
		for n := range crashes {
			at := scriptStart.Add(time.Duration(n) * time.Second)
			first := Fingerprint(4*i+1) << 40
			Reduce(s, Crashed{
				At: at, Server: message.ServerStart{Instance: fmt.Sprintf("i-%05x%05x", i, n)},
				Suspects: Suspects{Request: first, Parts: []Fingerprint{first + 1, first + 2, first + 3}},
			})
		}
	}
	return s
}

// BenchmarkTable reports the memory of a full table, and the bytes of one report between processes.
func BenchmarkTable(b *testing.B) {
	for _, crashes := range []int{1, maxReports} {
		b.Run(fmt.Sprintf("%d crashes each", crashes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := fullState(crashes)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s.decide(scriptStart)
			}
			report, err := cbor.Marshal(s.reportsOf(scriptStart.Add(time.Second), 1<<40+1)[0])
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			b.ReportMetric(float64(len(report)), "B/report")
		})
	}
}

// BenchmarkQuarantined measures what the table costs a request.
func BenchmarkQuarantined(b *testing.B) {
	s := fullState(3)
	request := Suspects{Request: 1 << 40, Parts: []Fingerprint{1 << 41, 1 << 42, 1 << 43}}
	for b.Loop() {
		s.Quarantined(scriptStart, request)
	}
}

// BenchmarkAnswered measures what the record of an answer costs.
func BenchmarkAnswered(b *testing.B) {
	s := fullState(3)
	request := Suspects{Request: 1 << 40, Parts: []Fingerprint{1 << 41, 1 << 42, 1 << 43}}
	for b.Loop() {
		Reduce(s, Answered{At: scriptStart, Suspects: request})
	}
}
