package streamrecord

import (
	"runtime"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// BenchmarkTable measures a full table: the time to add a record, and the memory for each entry.
func BenchmarkTable(b *testing.B) {
	at := time.Now()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var t Table
	stream := uint64(0)
	add := func() {
		stream += 2
		t.Add(at, message.StreamRecord{
			Stream: stream, Content: stream + 1, ResumableFor: time.Minute,
			Origin: message.StreamOrigin{Service: "planner-lm", SoftwareVersion: "v1.2.0"},
		})
	}
	for range DefaultLimit {
		add()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for b.Loop() {
		add()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(t.Len()), "B/entry")
}
