package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// serve runs a server for callers on loopback and returns its address.
func serve(t *testing.T, c Config) string {
	c.Caller.Listen = "127.0.0.1:0"
	listener, err := Listen(t.Context(), c.Caller)
	is.New(t).NoErr(err)
	server := Server(c.Caller, New(c), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// zeros is an endless body of zero bytes that counts the bytes that were read.
type zeros struct{ read atomic.Int64 }

func (z *zeros) Read(p []byte) (int, error) {
	z.read.Add(int64(len(p)))
	clear(p)
	return len(p), nil
}

// TestHugeBody checks that a body of 100 MB is refused without being read, with and
// without a Content-Length.
func TestHugeBody(t *testing.T) {
	const size = 100 << 20
	for _, length := range []int64{size, -1} {
		t.Run(fmt.Sprint("length ", length), func(t *testing.T) {
			is := is.New(t)
			router := &fakeRouter{}
			address := serve(t, testConfig(router))
			source := &zeros{}
			request, err := http.NewRequestWithContext(t.Context(), "POST",
				"http://"+address+"/v1/completions", io.LimitReader(source, size))
			is.NoErr(err)
			request.ContentLength = length
			request.Header.Set("Authorization", "Bearer lintang-token")
			response, err := http.DefaultTransport.RoundTrip(request)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(strings.Contains(string(body), `"reason":"tooLarge","ran":"no"`))
			is.True(source.read.Load() < size/2) // no more than the socket buffers hold
			is.Equal(len(router.submitted()), 0)
		})
	}
}

// send writes raw bytes to the server and returns the connection.
func send(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	is.New(t).NoErr(err)
	return conn
}

const headOfPost = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer lintang-token\r\n"

// Guards against callers that open connections, send little or nothing, and keep
// out new callers because the server waits for them without a timeout.
func TestSlowCallers(t *testing.T) {
	for _, c := range []struct{ name, sent, answer string }{
		{"head", "POST /v1/comp", ""},
		{"body", headOfPost + "Content-Length: 100\r\n\r\n{", `"reason":"deadline","ran":"no"`},
		{"long head", headOfPost + "X: " + strings.Repeat("a", 32<<10) + "\r\n\r\n", "431 Request Header Fields Too Large"},
		{"body not begun", headOfPost + "Expect: 100-continue\r\nContent-Length: 104857600\r\n\r\n", "HTTP/1.1 413"},
		{"body cut off", headOfPost + "Content-Length: 2\r\nTransfer-Encoding: x\r\n\r\n{", "501 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			config := testConfig(&fakeRouter{})
			config.Caller.HeaderTimeout = settings.Duration(20 * time.Millisecond)
			config.Caller.BodyTimeout = settings.Duration(20 * time.Millisecond)
			answer, _ := io.ReadAll(send(t, serve(t, config), c.sent)) // returns only when the server closes the connection
			is.True(strings.Contains(string(answer), c.answer))
			is.True(!strings.Contains(string(answer), "100 Continue"))
		})
	}
}

// Guards against a request that is cancelled because its answer takes longer than
// the body timeout: the read deadline of the body is still set while the server
// reads to detect that the caller disconnects.
func TestAnswerOutlivesBodyTimeout(t *testing.T) {
	const body = `{"model":"planner-lm","prompt":"a"}`
	for _, sent := range []string{
		headOfPost + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		strings.Replace(headOfPost, "POST /v1/completions", "GET /services/dispatch-api/arrivals", 1) + "\r\n",
	} {
		router := &fakeRouter{hold: true, cancelled: make(chan struct{})}
		config := testConfig(router)
		config.Caller.BodyTimeout = settings.Duration(10 * time.Millisecond)
		conn := send(t, serve(t, config), sent)
		select {
		case <-router.cancelled:
			t.Fatal("the request was cancelled while its caller was connected")
		case <-time.After(100 * time.Millisecond):
		}
		is.New(t).NoErr(conn.Close())
		<-router.cancelled
	}
}

// Guards against engine memory that stays held for a caller whose VM stops reading
// output without closing its connection, because a write waits forever.
func TestCallerReadsNoOutput(t *testing.T) {
	chunks := make([]Chunk, 4000)
	for i := range chunks {
		chunks[i] = Chunk{Offset: i, Tokens: 1, Text: strings.Repeat("a", 16<<10)}
	}
	router := &fakeRouter{chunks: chunks}
	config := testConfig(router)
	config.WriteTimeout = 50 * time.Millisecond
	ended := make(chan struct{})
	config.Router = endingRouter{router, ended}
	body := `{"model":"planner-lm","prompt":"a","stream":true}`
	conn := send(t, serve(t, config), headOfPost+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
	head, err := bufio.NewReader(conn).ReadString('\n')
	is.New(t).NoErr(err)
	is.New(t).True(strings.Contains(head, "200"))
	<-ended
}

// TestConnectionLimit checks that a connection over the limit is served once another
// one ends.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	config := testConfig(&fakeRouter{})
	config.Caller.MaxConnections = 1
	config.Caller.HeaderTimeout = settings.Duration(time.Minute)
	address := serve(t, config)
	const request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
	first := send(t, address, request)
	head, err := bufio.NewReader(first).ReadString('\n')
	is.NoErr(err)
	is.Equal(head, "HTTP/1.1 200 OK\r\n")
	second := send(t, address, request)
	is.NoErr(second.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // not served while the first connection holds the only slot
	is.NoErr(first.Close())
	is.NoErr(second.SetReadDeadline(time.Time{}))
	head, err = bufio.NewReader(second).ReadString('\n')
	is.NoErr(err)
	is.Equal(head, "HTTP/1.1 200 OK\r\n")
}

// TestHeldBodies checks that bodies that together exceed the limit are refused, and
// that the refusal of a request with a key of its caller's own has ran "unknown".
func TestHeldBodies(t *testing.T) {
	is := is.New(t)
	config := testConfig(&fakeRouter{})
	config.Caller.MaxHeldBytes = 1
	handler := New(config)
	const request = "POST /v1/completions\n%s\n\n{}"
	answer := exchange(t, handler, fmt.Sprintf(request, "A: b"))
	is.True(strings.Contains(answer, `"reason":"overloaded","ran":"no","retryAfterMillis":1000`))
	answer = exchange(t, handler, fmt.Sprintf(request, "Idempotency-Key: a"))
	is.True(strings.Contains(answer, `"reason":"overloaded","ran":"unknown","retryAfterMillis":1000`))
}

// TestUnencryptedHTTP2 checks that the server accepts HTTP/2 without TLS, which a
// load balancer may use.
func TestUnencryptedHTTP2(t *testing.T) {
	is := is.New(t)
	address := serve(t, testConfig(&fakeRouter{}))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), "GET", "http://"+address+"/readyz", nil)
	is.NoErr(err)
	response, err := transport.RoundTrip(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.ProtoMajor, 2)
	is.Equal(response.StatusCode, http.StatusOK)
}
