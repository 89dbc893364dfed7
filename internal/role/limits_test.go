package role

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// noAnswerTimeout is how long the test waits on a connection that must get no answer. On
// a slow machine the check becomes weaker, but never fails.
const noAnswerTimeout = 200 * time.Millisecond

// Guards against callers that use up all memory of an entry by opening connections and
// sending nothing, if the role ignores the bound in its settings. One caller keeps the
// only connection that the entry accepts, while another one sends a request.
func TestEntryBoundsConnections(t *testing.T) {
	is := is.New(t)
	s, err := settings.Default()
	is.NoErr(err)
	s.Caller.Listen, s.Operator.Listen, s.Metrics.Listen = "", "", ""
	s.Caller.MaxConnections, s.Dev.Entries, s.Dev.Controls = 1, 1, 1
	d, err := StartDev(s, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.Stop(context.Background())) })
	is.NoErr(d.Ready(t.Context()))

	first, second := dialEntry(t, d), dialEntry(t, d)
	is.Equal(requestHealth(t, first, 0), http.StatusOK)
	is.Equal(requestHealth(t, second, noAnswerTimeout), 0) // not accepted yet
	is.NoErr(first.Close())
	is.Equal(statusOf(t, second, 0), http.StatusOK)
}

func dialEntry(t *testing.T, d *Dev) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.Entries[0].Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// requestHealth sends a request and returns the status of its answer.
func requestHealth(t *testing.T, conn net.Conn, within time.Duration) int {
	t.Helper()
	_, err := conn.Write([]byte("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"))
	is.New(t).NoErr(err)
	return statusOf(t, conn, within)
}

// statusOf returns the status of the next answer, zero if there is none in time. within
// is the bound; zero means none.
func statusOf(t *testing.T, conn net.Conn, within time.Duration) int {
	t.Helper()
	is := is.New(t)
	var until time.Time
	if within > 0 {
		until = time.Now().Add(within)
	}
	is.NoErr(conn.SetReadDeadline(until))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		is.True(within > 0)
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
