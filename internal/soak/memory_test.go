package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// slowPeers is the number of concurrent callers of each kind of load.
	slowPeers = 120
	// idleConnections is more than a VM with memoryMB has room for.
	idleConnections = 3000
	// longAnswer, longEvent and longBody are the sizes in bytes of long response bodies, stream
	// events and request bodies.
	longAnswer = 2 << 20
	longEvent  = 1000 << 10
	longBody   = 3900 << 10
	// slowFor is for how long each load runs.
	slowFor = 8 * time.Second
	// pingWithin is the target duration of a ping, inTimeShare the share that must meet it.
	pingWithin  = 300 * time.Millisecond
	inTimeShare = 0.99
	// reconnectDelay is for how long a caller waits after its connection has ended.
	reconnectDelay = 250 * time.Millisecond
)

// memorySite is the product with servers that answer immediately, send a long response, read
// nothing, or send a stream event that does not end.
type memorySite struct {
	t         *testing.T
	system    *system
	forwarder *process
	address   string
	// direct is the address of the server that answers pings.
	direct string
}

// TestMemoryHoldsUnderSlowPeers guards against callers and servers that each stay within their
// limits but send or read slowly, and together exhaust the memory of a small VM.
func TestMemoryHoldsUnderSlowPeers(t *testing.T) {
	s := startMemorySite(t, memoryMB)
	for _, load := range []struct {
		name string
		peer func(ctx context.Context, n int)
		max  int
	}{
		{"callers that read nothing", s.readsNothing, slowPeers},
		{"uploads that do not end", s.uploadsEndlessly, slowPeers},
		{"uploads of unknown length that do not end", s.uploadsChunksEndlessly, slowPeers},
		{"servers that read nothing", s.sendsToNonReadingServer, slowPeers},
		{"streams of one event that does not end", s.readsEndlessEvent, slowPeers},
		{"idle connections", s.staysIdle, idleConnections},
	} {
		t.Run(load.name, func(t *testing.T) { s.run(t, load.max, load.peer) })
	}
	t.Run("all at once", func(t *testing.T) {
		all := []func(context.Context, int){
			s.readsNothing, s.uploadsEndlessly, s.uploadsChunksEndlessly, s.sendsToNonReadingServer, s.readsEndlessEvent,
		}
		s.run(t, slowPeers*len(all), func(ctx context.Context, n int) { all[n%len(all)](ctx, n) })
	})
}

func startMemorySite(t *testing.T, megabytes int) *memorySite {
	t.Helper()
	is := is.New(t)
	system := startSystemWithMemory(t, build(t), megabytes)
	s := &memorySite{t: t, system: system, address: system.callers[0]}
	s.forwarder = system.forwarderAt(s.address)
	quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "pong")
	}))
	long := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		_, _ = w.Write(zeros[:longAnswer])
	}))
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(zeros[:longEvent])
		<-r.Context().Done()
	}))
	t.Cleanup(endless.CloseClientConnections)
	t.Cleanup(quick.Close)
	t.Cleanup(long.CloseClientConnections)
	nonReading, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = nonReading.Close() })
	go acceptWithoutReading(nonReading)
	s.declare()
	go s.announce("quick", quick.Listener.Addr().String())
	go s.announce("long", long.Listener.Addr().String())
	go s.announce("nonreading", nonReading.Addr().String())
	go s.announce("endless", endless.Listener.Addr().String())
	system.awaitReady(settle)
	deadline := time.Now().Add(settle)
	s.direct = quick.Listener.Addr().String()
	for ping(s.address) > pingWithin {
		is.True(time.Now().Before(deadline)) // no ping is answered in time
		time.Sleep(50 * time.Millisecond)
	}
	return s
}

// acceptWithoutReading accepts connections and reads nothing from them.
func acceptWithoutReading(listener net.Listener) {
	var kept []net.Conn
	for {
		conn, err := listener.Accept()
		if err != nil {
			for _, c := range kept {
				_ = c.Close()
			}
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		kept = append(kept, conn)
	}
}

func (s *memorySite) declare() {
	s.t.Helper()
	routing := oriolebend.Routing{Version: 1, Limits: oriolebend.CallerLimits{MaxBodyBytes: 4 << 20}}
	for _, name := range []string{"quick", "long", "nonreading", "endless"} {
		routing.Services = append(routing.Services, oriolebend.RouteService{Name: name})
		routing.Routes = append(routing.Routes, oriolebend.Route{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Repeat: oriolebend.RepeatIdempotent, Attempts: 2,
			Stream:  name == "endless",
			Timeout: oriolebend.Duration(5 * time.Second), AnswerWithin: oriolebend.Duration(pingWithin),
			Targets: []oriolebend.RouteTarget{{Service: name, Weight: 1}},
		})
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), settle)
	defer cancel()
	_, err := s.system.operator().DeclareRouting(ctx, routing)
	is.New(s.t).NoErr(err)
}

// announce announces a server to a control VM. Its service has the same name.
func (s *memorySite) announce(name, address string) {
	for n := uint64(1); s.t.Context().Err() == nil; n++ {
		body, err := json.Marshal(oriolebend.Backend{Service: name, Address: address, Sequence: n})
		if err != nil {
			s.t.Error(err)
			return
		}
		url := fmt.Sprintf("http://%s:%d/v1/backends/%s", s.system.controls[0], s.system.port, name)
		request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPut, url, bytes.NewReader(body))
		if err == nil {
			request.Header.Set("Authorization", "Bearer "+token)
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// run loads the forwarder with peers, sends pings at the same time, and checks the pings and
// the memory of the forwarder.
func (s *memorySite) run(t *testing.T, peers int, peer func(ctx context.Context, n int)) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), slowFor)
	defer cancel()
	var group sync.WaitGroup
	for n := range peers {
		group.Go(func() { peer(ctx, n) })
	}
	pings := s.pingsOfAnotherProcess(t, slowFor)
	group.Wait()
	peak, err := s.forwarder.peakBytes()
	is.NoErr(err) // the process has exited
	t.Logf("peak %d MB, %s", peak>>20, pings)
	is.True(peak <= memoryMB<<20)
	is.True(float64(pings.InTime) >= inTimeShare*float64(pings.Sent))
	deadline := time.Now().Add(settle)
	for s.held() != 0 {
		is.True(time.Now().Before(deadline)) // bytes are not released
		time.Sleep(100 * time.Millisecond)
	}
}

// peakBytes returns the peak resident memory of the process so far.
func (p *process) peakBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	value, err := strconv.ParseInt(kilobytes, 10, 64)
	return value << 10, err
}

// held returns the bytes of bodies that the forwarder holds according to its metrics, -1 if they are
// unavailable. The head of the call for the metrics is held itself.
func (s *memorySite) held() int64 {
	ip, _, _ := net.SplitHostPort(s.address)
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", ip, s.system.port+2))
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	sum, found := int64(0), 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "} ")
		if strings.Contains(name, "_bytes_held{") && !strings.Contains(name, "head_bytes_held{") {
			bytes, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return -1
			}
			sum, found = sum+int64(bytes), found+1
		}
	}
	if found == 0 {
		return -1
	}
	return sum
}

// chunkBytes is the size of chunk without its framing.
const chunkBytes = 64 << 10

// zeros is the content of bodies, chunk one chunk of a body of unknown length. Hundreds of
// peers share them.
var (
	zeros = make([]byte, longBody)
	chunk = fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, zeros[:chunkBytes])
)

// dial opens a connection with small kernel buffers.
func (s *memorySite) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", s.address, time.Second)
	if err != nil {
		return nil
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	return conn
}

// repeat calls do with new connections until the context ends, with reconnectDelay in between.
func (s *memorySite) repeat(ctx context.Context, do func(conn net.Conn)) {
	for ctx.Err() == nil {
		if conn := s.dial(); conn != nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			do(conn)
			stop()
			_ = conn.Close()
		}
		time.Sleep(reconnectDelay)
	}
}

func (s *memorySite) readsNothing(ctx context.Context, _ int) {
	s.repeat(ctx, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /long/x HTTP/1.1\r\nHost: soak.example\r\n\r\n")
		<-ctx.Done()
	})
}

func (s *memorySite) readsEndlessEvent(ctx context.Context, _ int) {
	s.repeat(ctx, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "POST /endless/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
}

func (s *memorySite) uploadsEndlessly(ctx context.Context, _ int) {
	s.repeat(ctx, func(conn net.Conn) {
		_, err := fmt.Fprintf(conn, "POST /quick/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: %d\r\n\r\n", longBody)
		if err == nil {
			_, _ = conn.Write(zeros[:longBody-1])
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

func (s *memorySite) uploadsChunksEndlessly(ctx context.Context, _ int) {
	s.repeat(ctx, func(conn net.Conn) {
		_, err := io.WriteString(conn, "POST /quick/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\n")
		for sent := 0; err == nil && sent < longBody; sent += chunkBytes {
			_, err = conn.Write(chunk)
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

func (s *memorySite) sendsToNonReadingServer(ctx context.Context, _ int) {
	s.repeat(ctx, func(conn net.Conn) {
		_, err := fmt.Fprintf(conn, "POST /nonreading/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: %d\r\n\r\n", longAnswer)
		if err == nil {
			_, _ = conn.Write(zeros[:longAnswer])
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

func (s *memorySite) staysIdle(ctx context.Context, _ int) {
	s.repeat(ctx, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		time.Sleep(time.Second) // the forwarder closed it to make room for another one
	})
}
