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
	mutex sync.Mutex
	bytes []byte
	until time.Time
}

func (s *strayAnswers) begin(bytes []byte, length time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bytes, s.until = bytes, time.Now().Add(length)
}

func (s *strayAnswers) end() { s.begin(nil, 0) }

// current returns the bytes to send now, nil if there are none.
func (s *strayAnswers) current() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().After(s.until) {
		return nil
	}
	return s.bytes
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
	if stray := w.strays.current(); stray != nil && w.reused {
		if _, err := w.forwarder.Write(stray); err != nil {
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
		return fault{"no stray bytes", func() {}}
	}
	bytes, err := strayFiles.ReadFile("testdata/strays/" + name)
	if err != nil {
		f.t.Fatal(err)
	}
	return fault{"stray bytes of " + server.name + ": " + strings.TrimSuffix(name, ".http"), func() {
		server.notices.noteFault()
		server.proxy.strays.begin(bytes, strayFor)
	}}
}
