package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// ending is how a server ends an answer that has neither a length nor chunks.
type ending string

const (
	endsInOrder ending = "in order"
	endsReset   ending = "reset"
	endsCrashed ending = "crashed" // the process exits, and its connections are closed in order
)

// unframedServer adds a server that answers each request with a body and ends its connection. It
// counts the connections on which it read a request.
func (s *site) unframedServer(body string, e ending) *atomic.Int32 {
	s.t.Helper()
	requests := &atomic.Int32{}
	address := http1test.Listen(s.t, func(conn *net.TCPConn, stop func()) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return // a probe
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+body)
		switch e {
		case endsReset:
			_ = conn.SetLinger(0)
		case endsCrashed:
			stop()
		}
		_ = conn.Close()
	})
	s.servers = append(s.servers, message.BackendServer{
		Instance: "unframed", Service: "s", Address: address, FailureDomain: "a",
		Phase: message.PhaseReady, SoftwareVersion: "v1",
	})
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
	return requests
}

// Guards against a cut answer that looks complete, and a complete one that looks cut, when a server's
// answer has neither a length nor chunks and ends with its connection.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, test := range []struct {
		name, path, body string
		ending           ending
		want             string
	}{
		{name: "stream", path: "/cut/", body: whole, ending: endsInOrder, want: whole},
		{name: "stream that may be resumed", path: "/stream/", body: whole, ending: endsInOrder, want: whole},
		{name: "stream that ends inside an event", path: "/cut/", body: whole + "id: 3\nda", ending: endsInOrder, want: whole + "[cut]"},
		{name: "stream that lacks the empty line", path: "/cut/", body: whole + "id: 3\ndata: c\n", ending: endsInOrder, want: whole + "[cut]"},
		{name: "stream without an event", path: "/cut/", ending: endsInOrder, want: `{"reason":"outcomeLost","ran":"unknown"}`},
		{name: "stream without an event that may be resumed", path: "/stream/", ending: endsInOrder, want: `{"reason":"noServer","ran":"unknown"}`},
		{name: "stream that is reset", path: "/cut/", body: whole, ending: endsReset, want: "[cut]"},
		{name: "stream of a server that crashes", path: "/cut/", body: whole, ending: endsCrashed, want: whole + "[cut]"},
		{name: "call", path: "/once/", body: whole, ending: endsInOrder, want: whole},
		{name: "call that is reset", path: "/once/", body: whole, ending: endsReset, want: `{"reason":"outcomeLost","ran":"unknown"}`},
		{name: "call to a server that crashes", path: "/once/", body: whole, ending: endsCrashed, want: `{"reason":"outcomeLost","ran":"unknown"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			requests := s.unframedServer(test.body, test.ending)
			_, _, body := s.send(test.path, nil)
			if test.want == "[cut]" { // a reset may also take events along that were sent before it
				is.True(strings.HasSuffix(body, "[cut]") || strings.Contains(body, "outcomeLost"))
			} else {
				is.Equal(body, test.want)
			}
			is.Equal(requests.Load(), int32(1))
			if test.ending != endsInOrder {
				return
			}
			_, _, again := s.send(test.path, nil) // over another connection
			is.Equal(again, body)
			is.Equal(requests.Load(), int32(2))
		})
	}
}
