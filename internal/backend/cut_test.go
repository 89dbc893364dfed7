package backend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
)

// Guards against an answer that is taken for complete although its server broke off, in its head or body.
func TestCutAnswerIsNotComplete(t *testing.T) {
	server := http1test.Serve(t)
	for _, answer := range http1test.Answers(t) {
		for _, ending := range []http1test.Ending{http1test.Closed, http1test.Reset} {
			for n := range len(answer.Text) + 1 {
				server.Set(answer.Text[:n], ending)
				body, err := readWhole(t, server.Address)
				complete := err == nil
				whole := n == len(answer.Text)
				if n >= answer.HeadBytes() && !answer.Framed() && ending == http1test.Closed {
					whole = true // its end can't be told from a cut here; the forwarder judges it
				}
				if ending == http1test.Reset && whole {
					continue // the reset may overtake the last bytes
				}
				if complete != whole {
					t.Errorf("%s, %d bytes, %s: complete is %t, body %q, error %v", answer.Name, n, ending, complete, body, err)
				}
			}
		}
	}
}

func readWhole(t *testing.T, address string) (string, error) {
	status, body, err := read(t, address)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return body, err
}

// read returns the status and the body of an answer.
func read(t *testing.T, address string) (int, string, error) {
	pool := NewPool(PoolConfig{})
	response, err := pool.Do(t.Context(), address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return 0, "", err
	}
	body, err := response.ReadBody(1 << 10)
	return response.Status, string(body), err
}

// Guards against an answer that is made of two: a server breaks off in a head, and sends the next answer on
// the same connection.
func TestCutHeadIsNotJoinedWithTheNextAnswer(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	server := http1test.Serve(t)
	for _, answer := range http1test.Answers(t) {
		for n := 1; n < answer.HeadBytes(); n++ {
			if strings.HasPrefix(answer.Text[n:], "HTTP/") {
				continue // after an interim answer the next one is the answer
			}
			server.Set(answer.Text[:n]+next, http1test.Closed)
			if body, err := readWhole(t, server.Address); err == nil {
				t.Errorf("%s, %d bytes: body %q", answer.Name, n, body)
			}
		}
	}
}
