package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const longBody = 100 << 10

// Guards against uploads that each stay within their limit and together use up the memory:
// bodies over the common limit are refused before they are read, and short requests never are.
func TestLongBodiesAreRefusedWithoutMemory(t *testing.T) {
	is := is.New(t)
	account := memorybudget.New(memorybudget.Config{Limit: 2 * longBody})
	var refused atomic.Pointer[Refusal]
	begun, release := make(chan struct{}), make(chan struct{})
	_, dial := startServer(t, Config{
		Held:    account,
		Refused: func(r Refusal) { refused.Store(&r) },
		Handler: func(_ context.Context, r *Request, a *Answer) {
			if r.Path() == "/slow" {
				close(begun)
				<-release
			}
			a.SendBytes(http.StatusOK, http.Header{}, []byte(r.Path()))
		},
	})
	send := func(path string, length int) (net.Conn, *bufio.Reader) {
		conn := dial()
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, make([]byte, length))
		is.NoErr(err)
		return conn, bufio.NewReader(conn)
	}
	_, slow := send("/slow", longBody)
	<-begun
	is.Equal(account.Held(memorybudget.Request), int64(longBody))
	_, second := send("/second", longBody)
	answer, err := http.ReadResponse(second, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(answer.Header.Get("Retry-After"), "1.000")
	is.Equal(refused.Load().Reason, oriolebend.ReasonMemoryShort)
	_, ping := send("/ping", 100)
	answer, err = http.ReadResponse(ping, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	close(release)
	answer, err = http.ReadResponse(slow, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	for start := time.Now(); account.Held(memorybudget.Request) != 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < 5*time.Second) // bytes stay held
	}
}

// Guards against an upload that never ends and whose memory stays held.
func TestUnendedBodyReleasesItsMemory(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			account := memorybudget.New(memorybudget.Config{Limit: 4 * longBody})
			limits := Limits{HeaderTimeout: 100 * time.Millisecond}
			_, dial := startServer(t, Config{Handler: echo, Held: account, Limits: func() Limits { return limits }})
			conn := dial()
			_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%x\r\n%s", framing, longBody, make([]byte, longBody/2))
			is.NoErr(err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(answer.StatusCode, http.StatusRequestTimeout)
			is.Equal(account.Held(memorybudget.Request), int64(0))
		})
	}
}

// parts is a body in parts; it is incomplete if end is not io.EOF.
type parts struct {
	length int64
	parts  []string
	end    error
}

func (p *parts) Length() int64 { return p.length }

func (p *parts) Next() ([]byte, error) {
	if len(p.parts) == 0 {
		return nil, p.end
	}
	part := p.parts[0]
	p.parts = p.parts[1:]
	return []byte(part), nil
}

// Guards against an answer that is forwarded part by part, ends early and looks complete.
func TestAnswerInParts(t *testing.T) {
	for _, test := range []struct {
		name   string
		body   parts
		status int
		text   string
		broken bool
	}{
		{name: "known length", body: parts{length: 8, parts: []string{"half", "half"}, end: io.EOF}, status: 200, text: "halfhalf"},
		{name: "unknown length", body: parts{length: -1, parts: []string{"half", "half"}, end: io.EOF}, status: 200, text: "halfhalf"},
		{name: "one part", body: parts{length: 4, parts: []string{"half"}, end: io.EOF}, status: 200, text: "half"},
		{name: "nothing", body: parts{length: 0, end: io.EOF}, status: 200},
		{name: "broken off", body: parts{length: 8, parts: []string{"half"}, end: io.ErrUnexpectedEOF}, status: 200, text: "half", broken: true},
		{name: "broken off, unknown length", body: parts{length: -1, parts: []string{"half"}, end: io.ErrUnexpectedEOF}, status: 200, text: "half", broken: true},
		{name: "broken off at once", body: parts{length: 8, end: io.ErrUnexpectedEOF}, status: 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, dial := startServer(t, Config{Handler: func(_ context.Context, _ *Request, a *Answer) {
				if err := a.SendBody(http.StatusOK, http.Header{}, &test.body); err != nil && !a.Begun() {
					a.SendBytes(http.StatusBadGateway, http.Header{}, nil)
				}
			}})
			conn := dial()
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(answer.StatusCode, test.status)
			text, err := io.ReadAll(answer.Body)
			is.Equal(err != nil, test.broken)
			is.True(strings.HasPrefix(test.text, string(text)))
			is.True(test.broken || string(text) == test.text)
		})
	}
}

// Guards against the body of an answer that is read as the beginning of the next one, because its head
// states a length of zero.
func TestAnswerOfBytes(t *testing.T) {
	is := is.New(t)
	_, dial := startServer(t, Config{Handler: func(_ context.Context, _ *Request, a *Answer) {
		body := Bytes("whole")
		is.NoErr(a.SendBody(http.StatusInternalServerError, http.Header{}, &body))
	}})
	conn := dial()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		answer, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusInternalServerError)
		text, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(string(text), "whole")
	}
}

// Guards against idle connections that keep out all other callers.
func TestNewConnectionReplacesAnIdleOne(t *testing.T) {
	is := is.New(t)
	s, dial := startServer(t, Config{Handler: echo, MaxConnections: 3})
	oldest := dial()
	for range 5 {
		time.Sleep(5 * time.Millisecond)
		conn := dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusOK)
	}
	_, err := oldest.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF)) // the server closed the connection without a reset
	is.True(s.Connections() <= 3)
}

// Guards against unfinished requests that keep out all other callers until their time is up.
func TestNewConnectionReplacesAnUnfinishedRequest(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	_, dial := startServer(t, Config{MaxConnections: 3, Handler: func(_ context.Context, r *Request, a *Answer) {
		if r.Path() == "/slow" {
			close(begun)
			<-release
		}
		a.SendBytes(http.StatusOK, http.Header{}, nil)
	}})
	send := func(text string) *bufio.Reader {
		conn := dial()
		_, err := io.WriteString(conn, text)
		is.NoErr(err)
		return bufio.NewReader(conn)
	}
	answered := func(from *bufio.Reader) {
		answer, err := http.ReadResponse(from, nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusOK)
	}
	slow := send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	for range 5 {
		send("GET / HTTP/1.1\r\nHost: h\r\nX-Half: ")
		send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
		answered(send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	close(release)
	answered(slow) // a complete request is never dropped
}
