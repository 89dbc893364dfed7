package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

// start starts a server on loopback whose handler answers "pong" after release is closed.
func start(t *testing.T, c Config, release <-chan struct{}) *Server {
	t.Helper()
	c.Logger = slog.New(slog.DiscardHandler)
	if c.Server == nil {
		c.Server = &http.Server{}
	}
	c.Server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "pong")
	})
	s, err := Listen("127.0.0.1:0", c)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// dialFrom connects to a server from a loopback address.
func dialFrom(t *testing.T, ip string, s *Server) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: time.Second}
	conn, err := dialer.Dial("tcp", s.Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n"

func answered(conn net.Conn) error {
	if _, err := io.WriteString(conn, request+"\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// Guards against heads without end that fill the memory of the process.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	for _, piece := range []string{"x", "a:\r\n"} {
		t.Run(fmt.Sprintf("%q", piece), func(t *testing.T) {
			is := is.New(t)
			s := start(t, Config{}, closedChannel())
			conn := dialFrom(t, "127.0.0.1", s)
			_, err := io.WriteString(conn, request+"X-Long: "+strings.Repeat(piece, 20<<10/len(piece)))
			if err == nil {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			}
		})
	}
}

// Guards against a peer that keeps out all others with connections on which it sends nothing.
func TestOnePeerCanNotKeepOutOthers(t *testing.T) {
	is := is.New(t)
	const most = 8
	s := start(t, Config{MaxConnections: most}, closedChannel())
	sound := dialFrom(t, "127.0.0.9", s)
	is.NoErr(answered(sound))
	for range 3 * most {
		dialFrom(t, "127.0.0.2", s)
	}
	is.NoErr(answered(dialFrom(t, "127.0.0.3", s)))
	is.NoErr(answered(sound)) // the connection of another peer is kept
	is.True(s.TurnedAway() >= 2*most)
}

// Guards against connections that keep out all others while their heads are refused as too long.
func TestRefusedHeadsDoNotKeepOutOthers(t *testing.T) {
	is := is.New(t)
	const most = 8
	s := start(t, Config{MaxConnections: most}, closedChannel())
	for range most {
		conn := dialFrom(t, "127.0.0.2", s)
		_, _ = io.WriteString(conn, request+"X-Long: "+strings.Repeat("x", 20<<10))
		_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	for range 2 * most {
		is.NoErr(answered(dialFrom(t, "127.0.0.2", s)))
	}
}

// Guards against a connection that is closed for a new one while its request is handled.
func TestRequestInProgressIsNotClosed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := start(t, Config{MaxConnections: 1}, release)
	first := dialFrom(t, "127.0.0.1", s)
	result := make(chan error, 1)
	go func() { result <- answered(first) }()
	for first := true; first || s.TurnedAway() == 0; first = false {
		time.Sleep(100 * time.Millisecond) // until the request is handled
		conn := dialFrom(t, "127.0.0.1", s)
		_, _ = io.Copy(io.Discard, conn)
	}
	close(release)
	is.NoErr(<-result)
}

// Guards against heads that together use up the memory, and against bytes that are never released.
func TestHeadsAreAccountedFor(t *testing.T) {
	is := is.New(t)
	account := memorybudget.New(memorybudget.Config{Limit: 100 << 10, PeerShare: 1})
	s := start(t, Config{Held: account}, closedChannel())
	half := request + "X-Half: " + strings.Repeat("x", 4000)
	for range 10 {
		_, _ = io.WriteString(dialFrom(t, "127.0.0.1", s), half)
	}
	deadline := time.Now().Add(10 * time.Second)
	for account.Refused(memorybudget.Head) == 0 {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	is.True(account.Held(memorybudget.Head) <= 100<<10)
	conn := dialFrom(t, "127.0.0.1", s)
	is.NoErr(answered(conn)) // short heads use the part of the account that is kept for them
	is.NoErr(answered(conn))
	is.NoErr(s.Close())
	for account.Held(memorybudget.Head) != 0 {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}
