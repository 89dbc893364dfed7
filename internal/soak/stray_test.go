package soak

import (
	"embed"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// strayFiles holds the bytes that belong to no request, a file each.
//
//go:embed testdata/strays
var strayFiles embed.FS

// strayAnswers are bytes that a server sends on a kept connection after a complete answer. They
// reach the forwarder once it has sent the next request, before that request's answer.
type strayAnswers struct {
	mutex   sync.Mutex
	current stray
	until   time.Time
}

// stray is what is sent ahead of an answer, once or until the connection is closed.
type stray struct {
	bytes   []byte
	endless bool
}

func (s *strayAnswers) begin(what stray, length time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.current, s.until = what, time.Now().Add(length)
}

func (s *strayAnswers) end() { s.begin(stray{}, 0) }

// next returns what to send now.
func (s *strayAnswers) next() stray {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().After(s.until) {
		return stray{}
	}
	return s.current
}

// ahead returns a writer to the server that sends the bytes to the forwarder ahead of each request
// but the first of the connection.
func (s *strayAnswers) ahead(server io.Writer, forwarder net.Conn) io.Writer {
	return &strayWriter{strays: s, server: server, forwarder: forwarder}
}

type strayWriter struct {
	strays    *strayAnswers
	server    io.Writer
	forwarder net.Conn
	reused    bool
}

// Write implements io.Writer. It is called with one request at a time.
func (w *strayWriter) Write(request []byte) (int, error) {
	if next := w.strays.next(); w.reused {
		_, err := w.forwarder.Write(next.bytes)
		for err == nil && next.endless {
			_, err = w.forwarder.Write(next.bytes)
		}
		if err != nil {
			return 0, err
		}
	}
	w.reused = true
	return w.server.Write(request)
}

const (
	// strayShare is the share of the faults that come with stray bytes of a server.
	strayShare = 0.4
	strayFor   = 600 * time.Millisecond
)

// randomStrays draws a server and the bytes that it sends ahead of its answers, or nothing.
func randomStrays(random *rand.Rand, f *fleet) fault {
	files, err := strayFiles.ReadDir("testdata/strays")
	if err != nil {
		f.t.Fatal(err)
	}
	name := files[random.IntN(len(files))].Name()
	server := f.servers[random.IntN(len(f.servers))]
	if random.Float64() >= strayShare {
		return noFault
	}
	bytes, err := strayFiles.ReadFile("testdata/strays/" + name)
	if err != nil {
		f.t.Fatal(err)
	}
	return fault{"stray bytes of " + server.name + ": " + strings.TrimSuffix(name, ".http"), func() {
		server.notices.noteFault()
		server.proxy.strays.begin(stray{bytes: bytes}, strayFor)
	}}
}

// endlessShare is the share of the faults that come with a server that sends without end.
const endlessShare = 0.1

// randomEndless draws a server that sends a head or a body without end, or nothing.
func randomEndless(random *rand.Rand, f *fleet) fault {
	parts := []string{"HTTP/1.1 200 OK\r\n", "X: y\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nbody"}
	part := parts[random.IntN(len(parts))]
	server := f.servers[random.IntN(len(f.servers))]
	if random.Float64() >= endlessShare {
		return noFault
	}
	return fault{"endless bytes of " + server.name + ": " + strings.TrimSpace(part), func() {
		server.notices.noteFault()
		server.proxy.strays.begin(stray{bytes: []byte(strings.Repeat(part, 64)), endless: true}, strayFor)
	}}
}
