package adversary

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
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

// arrival is a request that reached the server, without the body of an Upload, and what the server sent from
// then on until the next request on the connection.
type arrival struct {
	id, method, target, body string
	sent                     string
	// malformed is set if the request can't be read.
	malformed bool
	// brokenOff is set if the connection ended by a reset, or with the body unread.
	brokenOff bool
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
	listener, err := http1test.ListenSmall(context.Background())
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
	c := &connection{Server: s, conn: conn, reader: bufio.NewReader(conn)}
	for c.exchange() {
	}
}

// connection is one connection of a forwarder.
type connection struct {
	*Server
	conn   *net.TCPConn
	reader *bufio.Reader
	// request is the current request, unread is set while its body has not been read.
	request strict.Request
	unread  bool
}

// exchange reads a request and answers it. It returns false once the connection has ended.
func (c *connection) exchange() bool {
	var err error
	c.request, err = strict.ReadRequestHead(c.reader)
	id := namedID(c.request.Fields)
	e, i := c.find(id)
	c.unread = true
	if early := e.Upload && e.Request == ""; err == nil && !early {
		err = c.drain()
	}
	if errors.Is(err, strict.ErrNotAllowed) {
		c.record(&arrival{malformed: true})
	}
	if err != nil {
		return false
	}
	a := &arrival{id: id, method: c.request.Method, target: c.request.Target, body: c.request.Body}
	c.record(a)
	return c.play(a, resolve(e.Steps, c.prefix, i)) && c.drain() == nil
}

// drain reads the rest of the request.
func (c *connection) drain() error {
	if !c.unread {
		return nil
	}
	c.unread = false
	return c.request.ReadBody(c.reader)
}

// find returns the exchange of a request and its index. A request of no exchange is answered at once.
func (s *Server) find(id string) (Exchange, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, e := range s.conversation {
		if id == exchangeID(s.prefix, i) {
			return e, i
		}
	}
	answer := "HTTP/1.1 200 OK\r\n" + RequestHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	return Exchange{Steps: []Step{{Action: Write, Bytes: answer}}}, 0
}

// record adds an arrival.
func (s *Server) record(a *arrival) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, a)
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
func (c *connection) play(a *arrival, steps []Step) bool {
	for _, step := range steps {
		switch step.Action {
		case Write:
			c.recordSent(a, step.Bytes)
			if _, err := io.WriteString(c.conn, step.Bytes); err != nil {
				return false
			}
		case Flood:
			c.flood(a, step.Bytes)
			return false
		case Pause:
			time.Sleep(step.Length)
		case Drain:
			if c.drain() != nil {
				return false
			}
		case Reset:
			c.recordBrokenOff(a)
			_ = c.conn.SetLinger(0)
			return false
		case Close:
			if c.unread {
				c.recordBrokenOff(a)
			}
			return false
		}
	}
	return true
}

func (s *Server) recordSent(a *arrival, text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.sent += text
}

func (s *Server) recordBrokenOff(a *arrival) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.brokenOff = true
}

// flood writes a part until the connection is closed. The first block is recorded, which is longer than
// any answer of a conversation.
func (c *connection) flood(a *arrival, part string) {
	block := strings.Repeat(part, 1+(16<<10)/max(1, len(part)))
	c.recordSent(a, block)
	for sent := 0; sent < floodBytes; sent += len(block) {
		if _, err := io.WriteString(c.conn, block); err != nil {
			return
		}
	}
}
