package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// floodConnections is the number of connections of one peer that never ends its requests,
	// stalledConnections is above the bound of each listener.
	floodConnections   = 256
	stalledConnections = 1400
	floodAddress       = "127.0.0.9"
	floodFor           = 3 * time.Second
	// soundShare of the sound calls beside a flood must be answered in time.
	soundShare = 0.95
)

// TestMemoryHoldsUnderEndlessRequests guards against a peer whose unfinished heads and bodies exhaust
// the memory of a small VM, at any listener of a process.
func TestMemoryHoldsUnderEndlessRequests(t *testing.T) {
	s := startMemorySite(t, smallestMemoryMB)
	ip, _, _ := net.SplitHostPort(s.address)
	control := s.system.processes[0]
	for _, listener := range []struct {
		name    string
		address string
		process *process
	}{
		{"callers", s.address, s.forwarder},
		{"metrics of a forwarder", fmt.Sprintf("%s:%d", ip, s.system.port+2), s.forwarder},
		{"operators", fmt.Sprintf("%s:%d", s.system.controls[0], s.system.port), control},
		{"metrics of a control VM", fmt.Sprintf("%s:%d", s.system.controls[0], s.system.port+2), control},
	} {
		for _, flood := range []struct {
			name        string
			connections int
			send        func(io.Writer)
		}{
			{"header lines", floodConnections, sendHeaderLines},
			{"one header line", floodConnections, sendHeaderLine},
			{"heads that stall", stalledConnections, sendHalfHead},
			{"bodies", floodConnections, sendHalfBody},
		} {
			t.Run(listener.name+", "+flood.name, func(t *testing.T) {
				s.flood(t, listener.address, listener.process, flood.connections, flood.send)
			})
		}
	}
}

// flood sends requests without end from one address to another, sends pings at the same time, and checks the pings
// and the memory of the process.
func (s *memorySite) flood(t *testing.T, address string, p *process, connections int, send func(io.Writer)) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), floodFor)
	defer cancel()
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			for ctx.Err() == nil {
				floodOnce(ctx, address, send)
				time.Sleep(reconnectDelay)
			}
		})
	}
	pings := s.pingsOfAnotherProcess(t, floodFor)
	group.Wait()
	peak, err := p.peakBytes()
	is.NoErr(err) // the process has exited
	t.Logf("peak %d MB, %s", peak>>20, pings)
	is.True(peak <= smallestMemoryMB<<20)
	is.True(float64(pings.InTime) >= soundShare*float64(pings.Sent))
}

// floodOnce sends on one connection until the other side or the context ends it.
func floodOnce(ctx context.Context, address string, send func(io.Writer)) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(floodAddress)}, Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	send(conn)
	_, _ = io.Copy(io.Discard, conn)
}

const requestLine = "POST /metrics HTTP/1.1\r\nHost: soak.example\r\n"

// pieceInterval is the interval between two writes of a flood, so that this process keeps up with its
// own pings.
const pieceInterval = 5 * time.Millisecond

// sendHeaderLines sends header lines, each with another name, until a write fails.
func sendHeaderLines(w io.Writer) {
	sendPieces(w, requestLine, headerLines)
}

// sendHeaderLine sends one header line until a write fails.
func sendHeaderLine(w io.Writer) {
	sendPieces(w, requestLine+"X-Long: ", letters)
}

func sendPieces(w io.Writer, start, text string) {
	_, err := io.WriteString(w, start)
	for at := 0; err == nil; at = (at + pieceBytes) % len(text) {
		_, err = io.WriteString(w, text[at:at+pieceBytes])
		time.Sleep(pieceInterval)
	}
}

// pieceBytes divides the length of headerLines and letters.
const pieceBytes = 4 << 10

var (
	headerLines = makeHeaderLines()
	letters     = strings.Repeat("x", pieceBytes)
)

// makeHeaderLines returns 1 MiB of header lines of eight bytes.
func makeHeaderLines() string {
	var lines strings.Builder
	for n := range 1 << 17 {
		fmt.Fprintf(&lines, "%05x:\r\n", n)
	}
	return lines.String()
}

// halfHeadBytes is just below the bound of the callers' listener.
const halfHeadBytes = 15 << 10

// sendHalfHead sends as much of a head as listeners accept, and nothing more.
func sendHalfHead(w io.Writer) {
	_, _ = io.WriteString(w, requestLine+headerLines[:halfHeadBytes])
}

// sendHalfBody sends nearly all of a body.
func sendHalfBody(w io.Writer) {
	_, err := fmt.Fprintf(w, requestLine+"Content-Length: %d\r\n\r\n", longBody)
	if err == nil {
		_, _ = w.Write(zeros[:longBody-1])
	}
}
