package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// FuzzAnswer sends any bytes as the answer to a request. An answer that is taken for the request's own
// names it, has a final status, and a head that contains no other head; an error is typed.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		good, stray + good, stray + stray + stray, "HTTP/1.1 503 X\r\nX: " + good, "HTTP/1.1 421 " + good,
		"HTTP/1.1 103 Early Hints\r\n\r\n" + good, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "no answer\n", "",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		response, err := exchangeOnPipe(t, text)
		if err == nil {
			is.Equal(response.Header.Get("Id"), "a")
			is.True(response.Status >= http.StatusOK)
			is.True(!containsStatusLine(response.Header.Get("X")))
			_, err = response.ReadBody(1000)
		}
		if err != nil {
			var failure *Error
			is.True(errors.As(err, &failure))
		}
	})
}

// exchangeOnPipe sends a request to a server that answers with the text and closes the connection.
func exchangeOnPipe(t *testing.T, text string) (*Response, error) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, text)
		}
	}()
	head := &headLimit{Reader: near}
	x := &exchange{
		pool: NewPool(PoolConfig{}), ctx: t.Context(), unwatch: func() bool { return true },
		conn: &connection{Conn: near, reader: bufio.NewReaderSize(head, readerBytes), head: head},
	}
	return x.send(newRequest())
}
