package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// The messages that an entry exchanges with each gate that it probes.
var (
	benchReserve = message.Reserve{
		Attempt: message.Attempt{RequestID: "01981f5e-7f0a-7c31-b6a4-3f0d5a1c9e77", Number: 1},
		Phase:   message.PhasePrefill, Entry: "entry-1", Organisation: "dispatch",
		Urgency: oriolebend.Patient, Model: "planner-lm", Version: "1",
		PromptTokens: 8_000, MaxTokens: 440, Deadline: 1200 * time.Millisecond,
		Prefix: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63, 1<<63 + 1, 1<<63 + 2, 1<<63 + 3, 1<<63 + 4},
	}
	benchOffer = message.Offer{
		Attempt: benchReserve.Attempt, Granted: true, StartIn: 40 * time.Millisecond,
		Took: 400 * time.Millisecond, Queued: 2, CachedTokens: 4_096, FreeTokens: 90_000,
		LinkBytes: 1.5e9, LeaseFor: 3 * time.Second,
	}
)

// offering is a handler that answers each message with an offer, and a record with its answer.
func offering(_ context.Context, s Stream) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		var answer message.Message = benchOffer
		if r, ok := m.(message.StreamRecordRequest); ok {
			answer = message.StreamRecordAnswer{ID: r.ID}
		}
		if s.Send(answer) != nil {
			return
		}
	}
}

// counting is a socket that counts its datagrams in both directions.
type counting struct {
	net.PacketConn
	bytes, packets atomic.Int64
}

func (c *counting) count(n int) {
	c.bytes.Add(int64(n))
	c.packets.Add(1)
}

// ReadFrom implements net.PacketConn.
func (c *counting) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	c.count(n)
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *counting) WriteTo(b []byte, to net.Addr) (int, error) {
	c.count(len(b))
	return c.PacketConn.WriteTo(b, to)
}

type bench struct {
	b        *testing.B
	material Material
}

func newBench(b *testing.B) bench {
	b.Helper()
	a, err := DevAuthority()
	noError(b, err)
	m, err := a.Issue(Identity{Name: "gate-1", Role: "sidecar"})
	noError(b, err)
	return bench{b: b, material: m}
}

func noError(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (x bench) listen(socket net.PacketConn) *Endpoint {
	x.b.Helper()
	e, err := Listen(Config{
		Address: "127.0.0.1:0", Socket: socket, Credentials: Fixed(x.material), Handler: offering,
	})
	noError(x.b, err)
	x.b.Cleanup(func() { _ = e.Close() })
	return e
}

func (x bench) counted() (*Endpoint, *counting) {
	x.b.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	noError(x.b, err)
	c := &counting{PacketConn: socket}
	return x.listen(c), c
}

func exchange(b *testing.B, s Stream) {
	if err := s.Send(benchReserve); err != nil {
		b.Fatal(err)
	}
	if _, err := s.Receive(); err != nil {
		b.Fatal(err)
	}
}

// benchRecord is what a forwarder sends to a control VM when a stream begins.
var benchRecord = message.StreamRecordRequest{ID: 1000, Records: []message.StreamRecord{{
	Stream: 1 << 60, Content: 1 << 61, ResumableFor: 14 * time.Second,
	Origin: message.StreamOrigin{Service: "planner-lm", SoftwareVersion: "v1.2.0"},
}}}

func recordExchange(b *testing.B, s Stream) {
	b.Helper()
	noError(b, s.Send(benchRecord))
	_, err := s.Receive()
	noError(b, err)
}

func oneSession(b *testing.B, e *Endpoint, address string) {
	s, err := e.Open(context.Background(), address)
	if err != nil {
		b.Fatal(err)
	}
	exchange(b, s)
	_ = s.Close()
}

// BenchmarkRoundTrip measures one exchange on a session that stays open for many
// requests.
func BenchmarkRoundTrip(b *testing.B) {
	x := newBench(b)
	gate, entry := x.listen(nil), x.listen(nil)
	s, err := entry.Open(context.Background(), gate.Address())
	noError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		exchange(b, s)
	}
}

// BenchmarkSession measures a session with one exchange, which is how entries use
// sessions.
func BenchmarkSession(b *testing.B) {
	x := newBench(b)
	gate, entry := x.listen(nil), x.listen(nil)
	oneSession(b, entry, gate.Address())
	b.ReportAllocs()
	for b.Loop() {
		oneSession(b, entry, gate.Address())
	}
}

func BenchmarkSessionParallel(b *testing.B) {
	x := newBench(b)
	gate, entry := x.listen(nil), x.listen(nil)
	oneSession(b, entry, gate.Address())
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			oneSession(b, entry, gate.Address())
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "sessions/s")
}

// BenchmarkConnection measures a connection for each session, handshake included.
func BenchmarkConnection(b *testing.B) {
	x := newBench(b)
	gate := x.listen(nil)
	for b.Loop() {
		entry, err := Listen(Config{Address: "127.0.0.1:0", Credentials: Fixed(x.material)})
		noError(b, err)
		oneSession(b, entry, gate.Address())
		_ = entry.Close()
	}
}

// BenchmarkNetworkConnection is BenchmarkConnection between processes that trust the network.
func BenchmarkNetworkConnection(b *testing.B) {
	credentials, err := NetworkCredentials(Identity{Role: RoleForwarder, Name: "f"})
	noError(b, err)
	x := newBench(b)
	x.material = Material(credentials.(Fixed))
	gate := x.listen(nil)
	for b.Loop() {
		entry, err := Listen(Config{Address: "127.0.0.1:0", Credentials: credentials})
		noError(b, err)
		oneSession(b, entry, gate.Address())
		_ = entry.Close()
	}
}

// BenchmarkWireBytes reports the bytes of UDP payload in both directions.
func BenchmarkWireBytes(b *testing.B) {
	cases := map[string]func(*testing.B, *Endpoint, string) func(){
		"handshake": nil,
		"session": func(b *testing.B, e *Endpoint, address string) func() {
			return func() { oneSession(b, e, address) }
		},
		"openSession": func(b *testing.B, e *Endpoint, address string) func() {
			s, err := e.Open(context.Background(), address)
			noError(b, err)
			exchange(b, s)
			return func() { exchange(b, s) }
		},
		"streamRecord": func(b *testing.B, e *Endpoint, address string) func() {
			s, err := e.Open(context.Background(), address)
			noError(b, err)
			return func() { recordExchange(b, s) }
		},
	}
	for name, prepare := range cases {
		b.Run(name, func(b *testing.B) {
			x := newBench(b)
			gate := x.listen(nil)
			entry, socket := x.counted()
			oneSession(b, entry, gate.Address())
			n := 1
			if prepare != nil {
				step := prepare(b, entry, gate.Address())
				time.Sleep(50 * time.Millisecond)
				socket.bytes.Store(0)
				socket.packets.Store(0)
				for n = 0; b.Loop(); n++ {
					step()
				}
			}
			b.ReportMetric(float64(socket.bytes.Load())/float64(n), "wire-B/op")
			b.ReportMetric(float64(socket.packets.Load())/float64(n), "packets/op")
		})
	}
}

// BenchmarkStreamRecord measures one exchange of a record on an open session, both sides together.
func BenchmarkStreamRecord(b *testing.B) {
	x := newBench(b)
	gate, entry := x.listen(nil), x.listen(nil)
	s, err := entry.Open(context.Background(), gate.Address())
	noError(b, err)
	recordExchange(b, s)
	began := cpuTime()
	for b.Loop() {
		recordExchange(b, s)
	}
	b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(b.N), "cpu-µs/op")
}

func BenchmarkCodec(b *testing.B) {
	for _, m := range []message.Message{benchReserve, benchOffer, message.Part{Attempt: benchReserve.Attempt, Offset: 40, Tokens: 1, Text: " bridge"}} {
		b.Run(string(m.Kind()), func(b *testing.B) {
			frame, err := Codec{}.Append(nil, m)
			noError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				frame, err = Codec{}.Append(frame[:0], m)
				noError(b, err)
				_, err = Codec{}.Read(bytes.NewReader(frame))
				noError(b, err)
			}
			b.ReportMetric(float64(len(frame)), "frame-B")
		})
	}
}

// BenchmarkTCPRoundTrip measures the same frames over one TLS connection on TCP.
func BenchmarkTCPRoundTrip(b *testing.B) {
	x := newBench(b)
	config := handshakeTLS(x.material, []string{Protocol})
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	noError(b, err)
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		serveTCP(c)
	}()
	client := config.Clone()
	client.ServerName = "127.0.0.1"
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	noError(b, err)
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var frame []byte
	b.ReportAllocs()
	for b.Loop() {
		frame, err = Codec{}.Append(frame[:0], benchReserve)
		noError(b, err)
		_, err = c.Write(frame)
		noError(b, err)
		_, err = Codec{}.Read(reader)
		noError(b, err)
	}
}

func serveTCP(c net.Conn) {
	reader := bufio.NewReader(c)
	var frame []byte
	for {
		if _, err := (Codec{}).Read(reader); err != nil {
			return
		}
		frame, _ = Codec{}.Append(frame[:0], benchOffer)
		if _, err := c.Write(frame); err != nil {
			return
		}
	}
}

// usedMemory returns the size of heap and stacks after a garbage collection.
func usedMemory() (bytes uint64, goroutines int) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse, runtime.NumGoroutine()
}

// BenchmarkIdleConnection reports the memory of one idle connection, for both sides
// together and without the endpoints themselves. Run with -benchtime=1x.
func BenchmarkIdleConnection(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := newBench(b)
			entry := x.listen(nil)
			m0, g0 := usedMemory()
			gates := make([]*Endpoint, n)
			for i := range gates {
				gates[i] = x.listen(nil)
			}
			m1, g1 := usedMemory()
			for _, gate := range gates {
				oneSession(b, entry, gate.Address())
			}
			time.Sleep(time.Second)
			m2, g2 := usedMemory()
			b.ReportMetric(float64(m1-m0)/float64(n), "endpoint-B")
			b.ReportMetric(float64(g1-g0)/float64(n), "endpoint-goroutines")
			b.ReportMetric(float64(m2-m1)/float64(n), "connection-B")
			b.ReportMetric(float64(g2-g1)/float64(n), "connection-goroutines")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkKeepalive reports the cost of connections without messages, with and
// without an open session. The processor time is the sum of both sides. After the settle time
// the search for the packet size has ended. Run with -benchtime=1x.
func BenchmarkKeepalive(b *testing.B) {
	const connections, span, settle = 200, 6 * time.Second, 8 * time.Second
	for _, sessions := range []int{0, 1} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			x := newBench(b)
			entry, socket := x.counted()
			for range connections {
				s, err := entry.Open(context.Background(), x.listen(nil).Address())
				noError(b, err)
				exchange(b, s)
				if sessions == 0 {
					_ = s.Close()
				}
			}
			time.Sleep(settle)
			before, packets, cpu := socket.bytes.Load(), socket.packets.Load(), cpuTime()
			time.Sleep(span)
			per := connections * span.Seconds()
			b.ReportMetric(float64(socket.bytes.Load()-before)/per, "wire-B/s")
			b.ReportMetric(float64(socket.packets.Load()-packets)/per, "packets/s")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/per, "cpu-µs/s")
		})
	}
}
