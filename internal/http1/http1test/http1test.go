// Package http1test has servers for tests that break off an answer of HTTP/1.1 at any of its bytes.
package http1test

import (
	"bufio"
	_ "embed" // for the answers
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

//go:embed answers.txt
var answersFile string

// Body is the body of each of Answers.
const Body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Answer is one answer of a server.
type Answer struct {
	Name string
	Text string
}

// Answers returns an answer for each way in which its end is known.
func Answers(t *testing.T) []Answer {
	t.Helper()
	var answers []Answer
	for line := range strings.Lines(answersFile) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, quoted, _ := strings.Cut(strings.TrimSpace(line), " ")
		text, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("answer %s: %v", name, err)
		}
		answers = append(answers, Answer{Name: name, Text: text})
	}
	return answers
}

// Frame returns answers with a body of its own, whose end is known by its length, by chunks and by the end
// of its connection.
func Frame(body string) []Answer {
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	return []Answer{
		{Name: "length", Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)},
		{Name: "chunks", Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks},
		{Name: "unframed", Text: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body},
	}
}

// HeadBytes returns the length of the head of the answer, with interim answers before it.
func (a Answer) HeadBytes() int { return len(a.Text) - len(a.framedBody()) }

// framedBody returns what follows the head.
func (a Answer) framedBody() string {
	end := "\r\n\r\n"
	if !strings.Contains(a.Text, "\r") {
		end = "\n\n"
	}
	text := a.Text
	for strings.HasPrefix(text, "HTTP/1.1 1") {
		_, text, _ = strings.Cut(text, end)
	}
	_, body, _ := strings.Cut(text, end)
	return body
}

// Framed reports whether the answer states where it ends, other than by the end of its connection.
func (a Answer) Framed() bool {
	return strings.Contains(a.Text, "Content-Length") || strings.Contains(a.Text, "chunked")
}

// Ending is how a server ends a connection.
type Ending string

// Endings.
const (
	// Closed ends the connection in order.
	Closed Ending = "closed"
	// Reset resets it.
	Reset Ending = "reset"
)

// Server answers each request with the same bytes and then ends the connection.
type Server struct {
	Address string

	mutex    sync.Mutex
	answer   string
	ending   Ending
	requests int
}

// Listen starts a server on loopback and returns its address. It passes each connection to serve, which
// closes it, together with a function that ends the server.
func Listen(t *testing.T, serve func(conn *net.TCPConn, stop func())) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accept(t, listener, serve)
	return listener.Addr().String()
}

// accept passes each connection to serve, until the test or serve ends the server.
func accept(t *testing.T, listener net.Listener, serve func(conn *net.TCPConn, stop func())) {
	stop := func() { _ = listener.Close() }
	t.Cleanup(stop)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), stop)
		}
	}()
}

// Serve starts a server on loopback that ends with the test.
func Serve(t *testing.T) *Server {
	t.Helper()
	s := &Server{}
	s.Address = Listen(t, func(conn *net.TCPConn, _ func()) { s.serve(conn) })
	return s
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return fmt.Sprintf("http://%s", s.Address) }

// Set sets the bytes with which requests are answered from now on.
func (s *Server) Set(answer string, e Ending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answer, s.ending, s.requests = answer, e, 0
}

// Requests returns the number of requests since the last Set.
func (s *Server) Requests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mutex.Lock()
	answer, ending := s.answer, s.ending
	s.requests++
	s.mutex.Unlock()
	_, _ = io.WriteString(conn, answer)
	if ending == Reset {
		_ = conn.SetLinger(0)
	}
}
