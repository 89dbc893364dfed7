package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1/strict"
)

// FuzzRequests guards against requests that are smuggled: bytes that a strict reader takes for a body,
// or refuses, must not be handled as a request.
func FuzzRequests(f *testing.F) {
	const inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{
		inner + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n" + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + inner,
		"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.2\r\nHost: h\r\n\r\n", "\r\nGET / HTTP/1.0\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		handled, sound := handle(data), readStrictly(data)
		is.True(len(handled) <= len(sound))
		is.True(slices.Equal(handled, sound[:len(handled)]))
	})
}

// exchange is what is compared of a request.
type exchange struct{ method, target, body string }

// handle returns the requests that a server handles if it receives data on one connection.
func handle(data []byte) []exchange {
	near, far := net.Pipe()
	var mutex sync.Mutex
	var handled []exchange
	s := &Server{config: Config{
		Limits:  func() Limits { return Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second} },
		Refused: func(Refusal) {},
		Handler: func(_ context.Context, r *Request, a *Answer) {
			mutex.Lock()
			defer mutex.Unlock()
			handled = append(handled, exchange{r.Method, r.Target, string(r.Body)})
			a.SendBytes(http.StatusOK, http.Header{}, nil)
		},
	}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	defer s.cancel()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		_, _ = far.Write(data)
		_ = far.Close()
	}()
	newConnection(s, near).serve()
	mutex.Lock()
	defer mutex.Unlock()
	return slices.Clone(handled)
}

// readStrictly returns the requests in data up to the first that RFC 9112 does not allow, as far as the
// bounds of messages are concerned.
func readStrictly(data []byte) []exchange {
	var requests []exchange
	for _, r := range strict.ReadRequests(string(data)) {
		requests = append(requests, exchange{r.Method, r.Target, r.Body})
	}
	return requests
}
