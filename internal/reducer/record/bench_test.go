package record

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// benchRecords is the number of records in the benchmarks of memory and
// snapshots.
const benchRecords = 200_000

// groupSizes are the numbers of requests that share a log entry.
var groupSizes = []int{1, 16, 128}

// benchmarkClaim returns a claim of a typical size, with a key and an id of 36
// bytes each.
func benchmarkClaim(i int) message.Claim {
	return message.Claim{
		Scope: message.Scope{
			Organisation: fmt.Sprint("organisation-", i%210), Operation: "tip",
			Key: fmt.Sprintf("2f1b6c1e-5d0a-4c55-9f6e-%012d", i),
		},
		RequestID:    fmt.Sprintf("7c9e6679-7425-40de-944b-%012d", i),
		Fingerprint:  "v1:18646dffecef676f45b79ea2a6ff0e25",
		Owner:        fmt.Sprintf("entry-%d/1767225600", i%320),
		OwnerAddress: "10.0.0.1:7000",
		Once:         i%10 == 0,
		LeaseFor:     10 * time.Second,
	}
}

func benchmarkSettle(c message.Claim, to message.RecordState, a *message.Answer) message.Settle {
	return message.Settle{
		Scope: c.Scope, RequestID: c.RequestID, Owner: c.Owner, Attempt: 1,
		State: to, Server: "liquidacion-1", Answer: a,
	}
}

// requestCommands returns the commands of count requests from first on, size
// requests in a command: their claims, the transitions to running of requests
// that may run at most once, and their outcomes.
func requestCommands(first, count, size int) []Command {
	var commands []Command
	for begin := first; begin < first+count; begin += size {
		var claims, running, answered Command
		for i := begin; i < begin+size; i++ {
			c := benchmarkClaim(i)
			claims.Claim = append(claims.Claim, c)
			if c.Once {
				running.Settle = append(running.Settle, benchmarkSettle(c, message.RecordRunning, nil))
			}
			answered.Settle = append(answered.Settle, benchmarkSettle(c, message.RecordAnswered, nil))
		}
		commands = append(commands, claims, running, answered)
	}
	for i := range commands {
		commands[i].At = scriptStart
	}
	return commands
}

// BenchmarkApply applies all commands of a request: claim, running for one
// request in ten, answered. One operation is one request.
func BenchmarkApply(b *testing.B) {
	for _, size := range groupSizes {
		b.Run(fmt.Sprint("group=", size), func(b *testing.B) {
			commands := requestCommands(0, (b.N+size-1)/size*size, size)
			encoded := make([][]byte, len(commands))
			bytes := 0
			for i, c := range commands {
				encoded[i], _ = c.Encode()
				bytes += len(encoded[i])
			}
			s := New()
			s.limits.MaxRecords = b.N + size
			b.ReportAllocs()
			b.ResetTimer()
			for i, data := range encoded {
				c, err := DecodeCommand(data)
				if err != nil {
					b.Fatal(err)
				}
				result := s.Apply(uint64(i+1), c)
				if _, err := result.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "logB/request")
		})
	}
}

func filledState(b *testing.B, answer *message.Answer) *State {
	b.Helper()
	s := New()
	for i, c := range requestCommands(0, benchRecords, 100) {
		for j := range c.Settle {
			if c.Settle[j].State == message.RecordAnswered {
				c.Settle[j].Answer = answer
			}
		}
		s.Apply(uint64(i+1), c)
	}
	if s.Sizes().Records != benchRecords {
		b.Fatal(s.Sizes())
	}
	return s
}

// BenchmarkMemory reports the heap memory of a settled record, without and with
// a stored answer of 1 KiB.
func BenchmarkMemory(b *testing.B) {
	for _, body := range []int{0, 1024} {
		b.Run(fmt.Sprint("answer=", body), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				var answer *message.Answer
				if body > 0 {
					answer = &message.Answer{Status: 200}
				}
				s := filledState(b, answer)
				for _, r := range s.records {
					if r.answer != nil {
						r.answer = &message.Answer{Status: 200, Body: make([]byte, body)}
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/benchRecords, "heapB/record")
				b.ReportMetric(float64(s.Sizes().Bytes)/benchRecords, "countedB/record")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSnapshot reports, for 200,000 records, the time and size of a
// snapshot, the time to copy the state for it, and the time to restore it.
func BenchmarkSnapshot(b *testing.B) {
	s := filledState(b, nil)
	var shot []byte
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			shot, _ = s.Snapshot()
		}
		b.ReportMetric(float64(len(shot))/benchRecords, "B/record")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchRecords, "ns/record")
	})
	b.Run("image", func(b *testing.B) {
		for b.Loop() {
			s.Image()
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchRecords, "ns/record")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := New().Restore(shot); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchRecords, "ns/record")
	})
}

// BenchmarkExpire removes settled records in batches of 1,024.
func BenchmarkExpire(b *testing.B) {
	const batch = 1024
	var spent time.Duration
	removed, longest := 0, time.Duration(0)
	for range b.N {
		b.StopTimer()
		s := filledState(b, nil)
		index := s.Index()
		b.StartTimer()
		for more := true; more; {
			index++
			begin := time.Now()
			e := s.Apply(index, Command{At: scriptStart.Add(25 * time.Hour), Expire: &Expire{Limit: batch}}).Expired
			took := time.Since(begin)
			spent += took
			longest = max(longest, took)
			removed += e.Records
			more = e.More
		}
	}
	b.ReportMetric(float64(spent.Nanoseconds())/float64(removed), "ns/record")
	b.ReportMetric(float64(longest.Microseconds()), "longestµs/batch")
}

// BenchmarkFingerprint hashes a call with a body of 2 KiB of JSON.
func BenchmarkFingerprint(b *testing.B) {
	body := []byte(`{"items":[`)
	for i := range 40 {
		body = fmt.Appendf(body, `{"name":"item %d","amount":"10.00","currency":"COP"},`, i)
	}
	body = append(body, `{}]}`...)
	for b.Loop() {
		Fingerprint(ValidatedCommand{Operation: "tip", Service: "liquidacion", Method: "POST", Path: "/tips", Body: body})
	}
}
