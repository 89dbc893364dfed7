package record

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// benchRecords is how many records the benchmarks of size hold.
const benchRecords = 200_000

// groupSizes are the numbers of requests that share a log entry.
var groupSizes = []int{1, 16, 128}

// benchClaim is a claim as entries send it: a key and an id of 36 bytes each.
func benchClaim(i int) message.Claim {
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

func benchSettle(c message.Claim, to message.RecordState, a *message.Answer) message.Settle {
	return message.Settle{
		Scope: c.Scope, RequestID: c.RequestID, Owner: c.Owner, Attempt: 1,
		State: to, Server: "liquidacion-1", Answer: a,
	}
}

// groups returns the commands of the requests from first on: claims, moves to
// running of those that may run once, and outcomes.
func groups(first, count, size int) []Command {
	var commands []Command
	for begin := first; begin < first+count; begin += size {
		var claims, running, answered Command
		for i := begin; i < begin+size; i++ {
			c := benchClaim(i)
			claims.Claim = append(claims.Claim, c)
			if c.Once {
				running.Settle = append(running.Settle, benchSettle(c, message.RecordRunning, nil))
			}
			answered.Settle = append(answered.Settle, benchSettle(c, message.RecordAnswered, nil))
		}
		commands = append(commands, claims, running, answered)
	}
	for i := range commands {
		commands[i].At = scriptStart
	}
	return commands
}

// BenchmarkApply carries whole requests through: claim, running for one in
// ten, answered. One operation is one request.
func BenchmarkApply(b *testing.B) {
	for _, size := range groupSizes {
		b.Run(fmt.Sprint("group=", size), func(b *testing.B) {
			commands := groups(0, (b.N+size-1)/size*size, size)
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

func filled(b *testing.B, answer *message.Answer) *State {
	b.Helper()
	s := New()
	for i, c := range groups(0, benchRecords, 100) {
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

// BenchmarkMemory reports the heap that a settled record takes, without and
// with a stored answer of 1 KiB.
func BenchmarkMemory(b *testing.B) {
	for _, body := range []int{0, 1024} {
		b.Run(fmt.Sprint("answer=", body), func(b *testing.B) {
			for range b.N {
				before := heap()
				var answer *message.Answer
				if body > 0 {
					answer = &message.Answer{Status: 200}
				}
				s := filled(b, answer)
				for _, r := range s.records {
					if r.answer != nil {
						r.answer = &message.Answer{Status: 200, Body: make([]byte, body)}
					}
				}
				b.ReportMetric(float64(heap()-before)/benchRecords, "heapB/record")
				b.ReportMetric(float64(s.Sizes().Bytes)/benchRecords, "countedB/record")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSnapshot reports the time and size of a snapshot, the time of the
// copy that it is made from, and that of its restoration, for 200,000 records.
func BenchmarkSnapshot(b *testing.B) {
	s := filled(b, nil)
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
		s := filled(b, nil)
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
