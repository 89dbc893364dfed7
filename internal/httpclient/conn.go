package httpclient

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// unreadTimeout is how long a server that has ended its direction of a connection may leave the rest of the
// request unread.
const unreadTimeout = 2 * time.Second

// requestConn is a connection that carries one request of a Transport.
//
// The kernel reports a reset once. If the write of the request receives it, reads return what came before it
// and then io.EOF, and a part of an answer that ends with its connection would look complete. So Read returns
// io.EOF only when the request has been written, and the error of the write in its place. net/http would discard
// a complete answer that came before the error, so Write does not return it.
type requestConn struct {
	net.Conn
	// written is closed once no more of the request will be written.
	written chan struct{}
	once    sync.Once
	// writing holds a value during each write. Whoever fills it may read and write writeError.
	writing    chan struct{}
	writeError error
}

// Dial opens a connection for one request of a Transport. It is the DialContext of an http.Transport with
// DisableKeepAlives below that Transport.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newRequestConn(conn), nil
}

func newRequestConn(conn net.Conn) *requestConn {
	return &requestConn{Conn: conn, written: make(chan struct{}), writing: make(chan struct{}, 1)}
}

// endRequest records that no more of the request will be written.
func (c *requestConn) endRequest() { c.once.Do(func() { close(c.written) }) }

// Write implements net.Conn. Once a write has failed, it discards the rest of the request.
func (c *requestConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.writeError != nil {
		return len(p), nil
	}
	if _, err := c.Conn.Write(p); err != nil {
		c.writeError = err
		c.endRequest()
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.awaitWrite(), err)
	}
	return n, err
}

// awaitWrite waits until the request has been written, and returns the error of the write that failed. It
// returns nil if the server does not read the rest of the request.
func (c *requestConn) awaitWrite() error {
	timeout := time.NewTimer(unreadTimeout)
	defer timeout.Stop()
	select {
	case <-c.written:
	case <-timeout.C:
		return nil
	}
	// net/http reports that the request is written before it flushes the last part.
	select {
	case c.writing <- struct{}{}:
	case <-timeout.C:
		return nil
	}
	defer func() { <-c.writing }()
	return c.writeError
}

// Close implements net.Conn.
func (c *requestConn) Close() error {
	err := c.Conn.Close()
	c.endRequest()
	return err
}
