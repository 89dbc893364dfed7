package backend

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

// Guards against a piece of an answer that is not counted as held while a slow caller reads it.
func TestPieceCountsUntilNextIsCalled(t *testing.T) {
	is := is.New(t)
	const length = 2*readPieceBytes + 10
	s := startFake(t, func(int32) step {
		return step{answer: "HTTP/1.1 200 OK\r\nContent-Length: 65546\r\n\r\n" + strings.Repeat("x", length)}
	})
	response, err := NewPool(PoolConfig{}).Do(t.Context(), s.address, Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Freshness: time.Second,
	})
	is.NoErr(err)
	account := memorybudget.New(memorybudget.Config{Limit: 1 << 20})
	body, err := response.Hold(account.Open(memorybudget.Answer, "s"), length)
	is.NoErr(err)
	is.Equal(body.Length(), int64(length))
	for remaining := int64(length); remaining > 0; {
		is.True(account.Held(memorybudget.Answer) >= remaining)
		piece, err := body.Next()
		is.NoErr(err)
		is.True(account.Held(memorybudget.Answer) >= remaining) // the caller has not read the piece yet
		remaining -= int64(len(piece))
	}
	_, err = body.Next()
	is.Equal(err, io.EOF)
	body.Release()
	is.Equal(account.Held(memorybudget.Answer), int64(0))
}
