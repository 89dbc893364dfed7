package streamrecord

import (
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/disk"
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

// BenchmarkSave measures a write of the records: of a control VM of a large site, and of a full table.
func BenchmarkSave(b *testing.B) {
	for _, streams := range []int{300, 3_000, DefaultLimit} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			var t Table
			for stream := range uint64(streams) {
				t.Add(time.Now(), message.StreamRecord{
					Stream: xxhash.Sum64String(strconv.FormatUint(stream, 10)), ResumableFor: time.Minute,
					Origin: message.StreamOrigin{Service: "planner-lm", SoftwareVersion: "v1.2.0"},
				})
			}
			folder := b.TempDir()
			for b.Loop() {
				if err := disk.WriteNote(disk.OS{}, folder, noteName, t.saved(time.Now())); err != nil {
					b.Fatal(err)
				}
			}
			info, err := os.Stat(filepath.Join(folder, noteName))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(info.Size())/float64(streams), "B/stream")
		})
	}
}
