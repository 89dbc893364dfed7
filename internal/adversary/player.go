package adversary

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/http1/strict"
)

const (
	// RouteTimeout is the timeout that the routes of a Target need.
	RouteTimeout = 500 * time.Millisecond
	// maxPause is longer than a server may take for an answer.
	maxPause = 2 * RouteTimeout
	// rawReadTimeout is how long a caller that speaks badly waits for more bytes of an answer.
	rawReadTimeout = 40 * time.Millisecond
	// extraReadTimeout is how long a caller waits for bytes that it has not asked for.
	extraReadTimeout = time.Millisecond
	// answerTimeout is how long a caller waits for a complete answer.
	answerTimeout = 10 * time.Second
	// soundInterval is the time between two requests of the sound caller.
	soundInterval = 5 * time.Millisecond
	// SoundPath is the path of a service with a sound server.
	SoundPath = "/sound/"
)

// Target is a forwarder whose routes "/ROUTE/" lead to a Server, and whose SoundPath leads to another
// server that answers every request with status 200.
type Target struct {
	// Address is the address for callers, Host the host of the routes.
	Address string
	Host    string
	// Left returns what the forwarder still holds for requests, empty if it holds nothing. It may be nil.
	Left func() string
}

// reply is what a caller received.
type reply struct {
	status   int
	body     string
	complete bool
	took     time.Duration
	// extra are bytes that followed the answer although no request was sent.
	extra string
}

// played is what happened in a conversation.
type played struct {
	prefix   string
	replies  []reply
	sound    []reply
	arrivals []*arrival
	// left is what the forwarder still held after the conversation.
	left string
}

// client sends requests on one kept connection, and opens another when it has ended.
type client struct {
	target Target
	conn   net.Conn
	reader *bufio.Reader
}

func newClient(t Target) *client { return &client{target: t} }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *client) open(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.target.Address)
	if err != nil {
		return fmt.Errorf("adversary: open a connection to %s: %w", c.target.Address, err)
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// uploadBytes is the length of a long request. It does not fit into the buffers between a forwarder and a
// Server, and a few of them do not saturate the link of the forwarder.
const uploadBytes = 192 << 10

// soundBody returns the body of a sound request.
func (e Exchange) soundBody(id string) string {
	switch {
	case e.Head:
		return ""
	case e.Upload:
		return "ask " + id + strings.Repeat(" ", uploadBytes)
	}
	return "ask " + id
}

// send sends a sound request, and reads its answer and what follows it without a request.
func (c *client) send(ctx context.Context, method, path, id, body string) reply {
	began := time.Now()
	if err := c.open(ctx); err != nil {
		return reply{}
	}
	_, _ = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, path, c.target.Host, RequestHeader, id)
	if method != http.MethodHead {
		_, _ = fmt.Fprintf(c.conn, "Content-Length: %d\r\n", len(body))
	}
	_, _ = io.WriteString(c.conn, "\r\n"+body)
	_ = c.conn.SetReadDeadline(began.Add(answerTimeout))
	answer, err := strict.ReadAnswer(c.reader, method)
	r := reply{status: answer.Status, body: answer.Body, complete: err == nil, took: time.Since(began)}
	if err != nil || answer.Closes(method) {
		c.close()
		return r
	}
	r.extra = c.readExtra()
	return r
}

// readExtra returns bytes that arrive although no request waits for an answer.
func (c *client) readExtra() string {
	_ = c.conn.SetReadDeadline(time.Now().Add(extraReadTimeout))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ""
	}
	extra, _ := c.reader.Peek(c.reader.Buffered())
	text := string(extra)
	c.close()
	return text
}

// sendRaw sends bytes on a connection of its own, and reads what comes back.
func (c *client) sendRaw(ctx context.Context, text string) reply {
	began := time.Now()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.target.Address)
	if err != nil {
		return reply{}
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	var received strings.Builder
	buffer := make([]byte, 4<<10)
	for wait := 2 * RouteTimeout; err == nil; wait = rawReadTimeout {
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		var n int
		n, err = conn.Read(buffer)
		received.Write(buffer[:n])
	}
	return reply{body: received.String(), took: time.Since(began)}
}

// method returns the method of a sound request.
func (e Exchange) method() string {
	if e.Head {
		return http.MethodHead
	}
	return http.MethodPost
}

// play plays a conversation through the target. number tells its requests from those of others.
func play(ctx context.Context, s *Server, t Target, c Conversation, number int) played {
	p := played{prefix: fmt.Sprintf("c%07d", number%1e7)}
	s.begin(c, p.prefix)
	ended := make(chan struct{})
	var sound sync.WaitGroup
	sound.Go(func() { p.sound = sendSound(ctx, t, ended) })
	caller := newClient(t)
	defer caller.close()
	for i, e := range c {
		id := exchangeID(p.prefix, i)
		if e.Request != "" {
			p.replies = append(p.replies, caller.sendRaw(ctx, expand(e.Request, p.prefix, i)))
			continue
		}
		p.replies = append(p.replies, caller.send(ctx, e.method(), "/"+string(e.Route)+"/", id, e.soundBody(id)))
	}
	close(ended)
	sound.Wait()
	p.arrivals = s.seen()
	p.left = t.awaitNothingLeft()
	return p
}

// awaitNothingLeft waits until the forwarder holds nothing for requests, and returns what it still holds
// after a while.
func (t Target) awaitNothingLeft() string {
	if t.Left == nil {
		return ""
	}
	for end := time.Now().Add(lateness); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if t.Left() == "" {
			return ""
		}
	}
	return t.Left()
}

// minSound is the number of sound requests beside the shortest conversation.
const minSound = 3

// sendSound sends requests to the sound server until the conversation has ended.
func sendSound(ctx context.Context, t Target, ended <-chan struct{}) []reply {
	caller := newClient(t)
	defer caller.close()
	var replies []reply
	for {
		replies = append(replies, caller.send(ctx, http.MethodPost, SoundPath, fmt.Sprintf("sound-%d", len(replies)), "ask"))
		caller.close() // a forwarder that takes itself for saturated refuses new connections only
		select {
		case <-ended:
			if len(replies) >= minSound {
				return replies
			}
		case <-time.After(soundInterval):
		}
	}
}
