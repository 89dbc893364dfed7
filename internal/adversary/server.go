package adversary

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/http1/strict"
)

// Headers of the exchanges with servers.
const (
	RequestHeader = "Oriolebend-Request"
	RanHeader     = "Oriolebend-Ran"
)

// floodBytes bounds what a Flood writes, so that a forwarder which reads without end does not take the
// memory of the test.
const floodBytes = 64 << 20

// arrival is a request that reached the server, and what the server sent from then on until the next
// request on the connection.
type arrival struct {
	id, method, target, body string
	sent                     string
	// malformed is set if the request can't be read.
	malformed bool
}

// Server plays the part of the backend server in a conversation.
type Server struct {
	listener net.Listener

	mutex        sync.Mutex
	conversation Conversation
	prefix       string
	arrivals     []*arrival
	connections  map[net.Conn]bool
}

// Listen starts a server on loopback.
func Listen() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("adversary: listen: %w", err)
	}
	s := &Server{listener: listener, connections: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *Server) Close() error {
	s.begin(nil, "")
	return s.listener.Close()
}

// begin makes the server play a conversation; it closes all connections of the one before.
func (s *Server) begin(c Conversation, prefix string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conversation, s.prefix, s.arrivals = c, prefix, nil
	for conn := range s.connections {
		_ = conn.Close()
	}
}

// seen returns the requests that have arrived, with what was sent until now.
func (s *Server) seen() []*arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var seen []*arrival
	for _, a := range s.arrivals {
		current := *a
		seen = append(seen, &current)
	}
	return seen
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *Server) serve(conn *net.TCPConn) {
	s.mutex.Lock()
	s.connections[conn] = true
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		delete(s.connections, conn)
		s.mutex.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := strict.ReadRequest(reader)
		if errors.Is(err, strict.ErrNotAllowed) {
			s.record(&arrival{malformed: true})
		}
		if err != nil {
			return
		}
		a := &arrival{id: namedID(request.Fields), method: request.Method, target: request.Target, body: request.Body}
		if !s.play(conn, a, s.record(a)) {
			return
		}
	}
}

// record adds an arrival, and returns the steps with which it is answered.
func (s *Server) record(a *arrival) []Step {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, a)
	for i, e := range s.conversation {
		if a.id == exchangeID(s.prefix, i) {
			return resolve(e.Steps, s.prefix, i)
		}
	}
	return []Step{{Action: Write, Bytes: "HTTP/1.1 200 OK\r\n" + RequestHeader + ": " + a.id + "\r\nContent-Length: 0\r\n\r\n"}}
}

// namedID returns the request that a message names, empty if it names none.
func namedID(f strict.Fields) string { return strings.Join(f.Values(RequestHeader), " and ") }

func exchangeID(prefix string, i int) string { return fmt.Sprintf("%s-%d", prefix, i) }

func expand(text, prefix string, i int) string {
	return strings.NewReplacer(OwnID, exchangeID(prefix, i), OtherID, exchangeID(prefix, i-1)).Replace(text)
}

// resolve replaces the placeholders in the steps of an exchange.
func resolve(steps []Step, prefix string, i int) []Step {
	resolved := make([]Step, 0, len(steps))
	for _, step := range steps {
		step.Bytes = expand(step.Bytes, prefix, i)
		resolved = append(resolved, step)
	}
	return resolved
}

// play carries out the steps; it returns false once the connection has ended.
func (s *Server) play(conn *net.TCPConn, a *arrival, steps []Step) bool {
	for _, step := range steps {
		switch step.Action {
		case Write:
			s.mutex.Lock()
			a.sent += step.Bytes
			s.mutex.Unlock()
			if _, err := io.WriteString(conn, step.Bytes); err != nil {
				return false
			}
		case Flood:
			s.flood(conn, a, step.Bytes)
			return false
		case Pause:
			time.Sleep(step.Length)
		case Reset:
			_ = conn.SetLinger(0)
			return false
		case Close:
			return false
		}
	}
	return true
}

// flood writes a part until the connection is closed. The first block is recorded, which is longer than
// any answer of a conversation.
func (s *Server) flood(conn net.Conn, a *arrival, part string) {
	block := strings.Repeat(part, 1+(16<<10)/max(1, len(part)))
	s.mutex.Lock()
	a.sent += block
	s.mutex.Unlock()
	for sent := 0; sent < floodBytes; sent += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}
