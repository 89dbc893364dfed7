package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// reply is what a scriptedServer writes when a request has arrived.
type reply struct {
	// runs is set if the server runs the request.
	runs  bool
	bytes string
	// late is written to the same connection once the next request has arrived.
	late string
}

// scriptedServer answers the requests that arrive, on any connection, with one reply each. Requests
// after the last reply run and are answered with success.
type scriptedServer struct {
	mutex   sync.Mutex
	replies []reply
	ran     map[string]bool
	// previous is the connection of the last request, to which late is still to be written.
	previous net.Conn
	late     string
}

// afterScript is the reply to requests after the last reply of a script.
var afterScript = reply{runs: true, bytes: "HTTP/1.1 200 OK\r\n" + headerRequest + ": $id\r\nContent-Length: 2\r\n\r\nok"}

// parseReplies parses replies that are separated by lines "next". The first line of each is "runs"
// or "rejects", a line "late" precedes late bytes, and a line "." stands for an empty line. A "+" at
// the end leaves out the end of the last line.
func parseReplies(script string) []reply {
	var replies []reply
	for part := range strings.SplitSeq(script, "next\n") {
		verb, text, _ := strings.Cut(part, "\n")
		text, late, _ := strings.Cut(text, "late\n")
		replies = append(replies, reply{runs: verb == "runs", bytes: wireBytes(text), late: wireBytes(late)})
	}
	return replies
}

// wireBytes returns the bytes that lines of a script stand for.
func wireBytes(lines string) string {
	lines = strings.ReplaceAll("\n"+lines, "\n.\n", "\n\n")[1:]
	return strings.ReplaceAll(strings.TrimSuffix(lines, "+\n"), "\n", "\r\n")
}

// start adds the server to a site.
func (v *scriptedServer) start(s *site, role oriolebend.PoolRole) {
	s.t.Helper()
	address := http1test.Listen(s.t, func(conn *net.TCPConn, _ func()) { v.serve(conn) })
	s.servers = append(s.servers, message.BackendServer{
		Instance: fmt.Sprintf("i%d", len(s.servers)), Service: "s", Address: address,
		FailureDomain: "a", Phase: message.PhaseReady, Role: role, SoftwareVersion: "v1",
	})
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
}

func (v *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if err := v.answer(conn, r.Header.Get(headerRequest)); err != nil {
			return
		}
	}
}

// answer replies to a request, after the late bytes of the previous reply, and records whether the
// request runs.
func (v *scriptedServer) answer(conn net.Conn, id string) error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.late != "" {
		_, _ = io.WriteString(v.previous, v.late) // the connection may have been closed
	}
	n := afterScript
	if len(v.replies) > 0 {
		n, v.replies = v.replies[0], v.replies[1:]
	}
	v.ran[id] = v.ran[id] || n.runs
	v.previous, v.late = conn, strings.ReplaceAll(n.late, "$id", id)
	_, err := io.WriteString(conn, strings.ReplaceAll(n.bytes, "$id", id))
	return err
}

func (v *scriptedServer) hasRun(id string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.ran[id]
}

// Guards against a request that may run once, is refused as not run, and runs: its refusal was not
// the server's answer to it.
//
// TestRefusedRequestHasNotRun runs testdata/refusals. Each command sends requests, one after the
// other, to a server that answers as its input says, and prints for each the status that its caller
// receives and whether the server has run it. The arguments are path, requests (1 if there is none),
// generation, for generations of a model engine, and prefill, for prompts that another engine reads.
func TestRefusedRequestHasNotRun(t *testing.T) {
	datadriven.Walk(t, "testdata/refusals", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			calls := refusalCalls{path: "/once/", requests: 1}
			d.MaybeScanArgs(t, "path", &calls.path)
			d.MaybeScanArgs(t, "requests", &calls.requests)
			calls.generation, calls.prefill = d.HasArg("generation"), d.HasArg("prefill")
			return calls.run(t, d.Input+"\n")
		})
	})
}

// refusalCalls are the requests of one command.
type refusalCalls struct {
	path                string
	requests            int
	generation, prefill bool
}

func (c refusalCalls) run(t *testing.T, script string) string {
	header := map[string]string{}
	kv, role := 0, oriolebend.PoolRole("")
	if c.generation {
		kv, role, header = 1<<20, oriolebend.Decode, map[string]string{headerPrompt: "1000", headerOutput: "10"}
	}
	s := newSite(t, kv, func(c *Config) { c.Places = nil })
	server := &scriptedServer{replies: parseReplies(script), ran: map[string]bool{}}
	server.start(s, role)
	if c.prefill {
		s.server("a", oriolebend.Prefill, answer(`{"result":"r","tokens":1000}`))
	}
	var out strings.Builder
	for n := range c.requests {
		id := fmt.Sprintf("r%d", n+1)
		header[headerRequest] = id
		status, _, _ := s.send(c.path, header)
		ran := "did not run"
		if server.hasRun(id) {
			ran = "ran"
		}
		fmt.Fprintf(&out, "%s: %d, %s\n", id, status, ran)
	}
	return out.String()
}
