package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/saturation"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// smallLink is the capacity of the smallest links of VMs, 10 Mbit/s, in bytes per second.
	smallLink = 10e6 / 8
	// endlessRequests are sent at once to a server that answers without end.
	endlessRequests = 16
	soundRequests   = 15
)

// endlessServer answers every request with a beginning, and then with a part again and again until
// its connection is closed.
func endlessServer(t *testing.T, begin, part string) string {
	t.Helper()
	return http1test.Listen(t, func(conn *net.TCPConn, _ func()) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, begin)
		block := strings.Repeat(part, 1+(16<<10)/len(part))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
	})
}

// declareEndless adds a server that answers without end, and routes to it.
func (s *site) declareEndless(address string) {
	s.servers = append(s.servers, message.BackendServer{
		Instance: "endless", Service: "endless", Address: address, FailureDomain: "a", Phase: message.PhaseReady, SoftwareVersion: "v1",
	})
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
	routing := s.forwarder.table.Load().Routing
	routing.Version++
	routing.Services = append(routing.Services, oriolebend.RouteService{Name: "endless"})
	for _, name := range []string{"once", "cut"} {
		routing.Routes = append(routing.Routes, oriolebend.Route{
			Name: "endless-" + name, Host: "h", PathPrefix: "/endless-" + name + "/", Repeat: oriolebend.RepeatNever, Stream: name == "cut", Attempts: 1,
			Timeout: oriolebend.Duration(2 * time.Second), AnswerWithin: oriolebend.Duration(200 * time.Millisecond),
			Targets: []oriolebend.RouteTarget{{Service: "endless", Weight: 1}},
		})
	}
	s.forwarder.SetRouting(routing)
}

// Guards against callers of sound servers who are turned away because another server sends bytes
// without end.
//
// TestEndlessAnswers plays each file of testdata/endless: the route, what the server sends once, and
// what it repeats, separated by lines "--". A "+" at the end of a line leaves out its end.
func TestEndlessAnswers(t *testing.T) {
	files, err := filepath.Glob("testdata/endless/*")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			lines := strings.ReplaceAll(strings.ReplaceAll(string(text), "\n", "\r\n"), "+\r\n", "")
			parts := strings.Split(lines, "--\r\n")
			s := newSmallLinkSite(t)
			s.server("a", "", answer("sound"))
			s.declareEndless(endlessServer(t, parts[1], parts[2]))
			var group sync.WaitGroup
			began := time.Now()
			for range endlessRequests {
				group.Go(func() { _, _ = s.trySend(strings.TrimSpace(parts[0])) })
			}
			ended := make(chan time.Duration, 1)
			go func() {
				group.Wait()
				ended <- time.Since(began)
			}()
			time.Sleep(300 * time.Millisecond)
			served := 0
			for range soundRequests {
				served += s.served()
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(served, soundRequests)
			is.True(<-ended < 3*time.Second) // all requests end at the timeout of their route
		})
	}
}

// newSmallLinkSite returns a site that turns new callers away while a small link is full.
func newSmallLinkSite(t *testing.T) *site {
	t.Helper()
	meter := saturation.New(saturation.Config{LinkBytes: smallLink})
	s := newSite(t, 0, func(c *Config) { c.Pool.Meter = meter })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s.callers = http1.Serve(listener, http1.Config{Handler: s.forwarder.Serve, Limits: s.forwarder.Limits, Meter: meter})
	t.Cleanup(s.callers.Close)
	return s
}

// served returns 1 if a sound request on a new connection is answered.
func (s *site) served() int {
	if status, err := s.trySend("/once/"); err != nil || status != http.StatusOK {
		return 0
	}
	return 1
}

// trySend sends a request on a new connection and reads its answer until it ends.
func (s *site) trySend(path string) (int, error) {
	conn, err := net.Dial("tcp", s.callers.Address())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	request := "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headerRequest + ": r1\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
