// Package backend sends the requests of a forwarder to backend servers over HTTP/1.1. It
// does not use net/http's transport, because a request must be written to one connection
// and never silently to a second one, the forwarder must learn whether anything was
// written, and an answer that belongs to another request must be detected. It parses
// messages with net/http.
package backend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/oriolebend/oriolebend/internal/saturation"
)

// Defaults of PoolConfig.
const (
	// DefaultDialTimeout is several round trips between failure domains. A full server
	// drops the SYN of a connection, and the kernel sends it again after one second.
	DefaultDialTimeout = 900 * time.Millisecond
	// DefaultIdleFor is how long an idle connection is kept if the server does not
	// announce a timeout.
	DefaultIdleFor = 4 * time.Second
	// DefaultMaxIdle bounds the idle connections to one server.
	DefaultMaxIdle = 8
	// DefaultUnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed. A server whose VM has lost power never resets a connection.
	DefaultUnackedTimeout = 2 * time.Second
)

// PoolConfig configures a Pool; zero values mean the defaults.
type PoolConfig struct {
	DialTimeout    time.Duration
	IdleFor        time.Duration
	MaxIdle        int
	UnackedTimeout time.Duration
	// Meter measures the traffic with servers; it may be nil.
	Meter *saturation.Meter
	// Count counts an event; it may be nil.
	Count func(Event)
}

// Pool keeps connections to backend servers.
type Pool struct {
	config PoolConfig
	pace   pace
	mutex  sync.Mutex
	idle   map[string][]*connection
	// dialled counts the connections that were opened.
	dialled uint64
}

// NewPool returns an empty pool.
func NewPool(c PoolConfig) *Pool {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleFor = cmp.Or(c.IdleFor, DefaultIdleFor)
	c.MaxIdle = cmp.Or(c.MaxIdle, DefaultMaxIdle)
	c.UnackedTimeout = cmp.Or(c.UnackedTimeout, DefaultUnackedTimeout)
	return &Pool{config: c, pace: newPace(c.Meter.LinkBytes()), idle: map[string][]*connection{}}
}

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	address string
	// reader reads through head.
	reader *bufio.Reader
	head   *headLimit
	// idleSince is when the connection was last returned to the pool, idleFor how long
	// the server keeps it idle.
	idleSince time.Time
	idleFor   time.Duration
	// requests counts the requests that the connection has carried.
	requests int
	// names is set once an answer on the connection has named its request.
	names bool
	// received is the number of bytes that were read.
	received int
	// writeError is the error that ended the connection during a write.
	writeError error
	// opened is when the connection was opened.
	opened time.Time
}

// readerBytes is the size of the read buffer of a connection.
const readerBytes = 4 << 10

// get returns an open connection that has been idle for less than freshness, or a
// new one.
func (p *Pool) get(ctx context.Context, address string, freshness time.Duration) (*connection, error) {
	for {
		c := p.pop(address, freshness)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.reusable(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

// pop removes and returns the last idle connection that has not expired, or nil.
func (p *Pool) pop(address string, freshness time.Duration) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if idle := time.Since(c.idleSince); idle < min(c.idleFor, p.config.IdleFor) && idle < freshness {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

// reusable reports whether an idle connection is still open and has no data to read.
// The server may have closed it, and a faulty server may have sent bytes that belong
// to no request; the next request on the connection would then fail or read them.
func (p *Pool) reusable(c *connection) bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, received := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = received == syscall.EAGAIN
		if n > 0 {
			p.count(StrayIdle)
		}
		return true
	})
	return err == nil && reusable
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{
		Timeout: p.config.DialTimeout,
		Control: p.control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = p.config.Meter.Wrap(conn)
	p.mutex.Lock()
	p.dialled++
	p.mutex.Unlock()
	c := &connection{Conn: conn, address: address, idleFor: p.config.IdleFor, opened: time.Now()}
	c.head = &headLimit{Reader: c}
	c.reader = bufio.NewReaderSize(c.head, readerBytes)
	return c, nil
}

// Write implements net.Conn. After a timeout the connection can still be read.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeError = err
	}
	return n, err
}

// Read implements net.Conn. The kernel reports a reset once. If a write has received it, reads return the
// bytes that came before and then io.EOF, as if the server had closed the connection in order: an answer
// that ends with its connection would look complete.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += n
	if errors.Is(err, io.EOF) && c.writeError != nil {
		err = c.writeError
	}
	return n, err
}

// Refuses reports whether the address refuses connections: its VM answers, but no process
// listens on the port. If a connection is opened, it is kept for the next request.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(c)
	return false
}

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall
	// does not define.
	tcpUserTimeout = 18
	// sendBufferBytes is the size of the kernel's send buffer for a server that does not
	// read. By default the buffer grows to megabytes, which count as memory of the VM.
	sendBufferBytes = 64 << 10
)

// control sets the options of a socket before it connects.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.config.UnackedTimeout.Milliseconds()))
		// If the kernel refuses the size, its own limit holds.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
	})
	return cmp.Or(err, optionErr)
}

// put keeps a connection for the next request, or closes it if there are enough.
func (p *Pool) put(c *connection) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.address]) >= p.config.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Expire closes connections that have been idle for too long, and all idle
// connections to addresses for which keep returns false.
func (p *Pool) Expire(keep func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && time.Since(c.idleSince) < min(c.idleFor, p.config.IdleFor) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) count(e Event) {
	if p.config.Count != nil {
		p.config.Count(e)
	}
}

// Dialled returns the number of connections that were opened so far.
func (p *Pool) Dialled() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dialled
}
