// Package backend sends requests to backend servers over HTTP/1.1. It keeps in
// its own hands what net/http's transport decides for itself: a request is
// written to one connection and never silently to a second one, the caller
// learns whether anything was written, and an answer that belongs to another
// request is told from the one that is waited for. The syntax is read by
// net/http.
package backend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Defaults of PoolConfig.
const (
	// DefaultDialTimeout is several round trips between failure domains; the
	// opening packet of a full server is dropped and sent again after a second.
	DefaultDialTimeout = 900 * time.Millisecond
	// DefaultIdleFor is how long an unused connection is kept where the server
	// does not say.
	DefaultIdleFor = 4 * time.Second
	// DefaultMaxIdle bounds the unused connections to one server.
	DefaultMaxIdle = 8
	// DefaultSilence is how long sent bytes may stay unacknowledged. A server
	// whose VM has lost power never resets a connection.
	DefaultSilence = 2 * time.Second
)

// PoolConfig sets up a Pool; zero values mean the defaults.
type PoolConfig struct {
	DialTimeout time.Duration
	IdleFor     time.Duration
	MaxIdle     int
	Silence     time.Duration
}

// Pool keeps connections to backend servers.
type Pool struct {
	config PoolConfig
	mutex  sync.Mutex
	idle   map[string][]*connection
	// dialled counts connections that were opened.
	dialled uint64
}

// NewPool returns an empty pool.
func NewPool(c PoolConfig) *Pool {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleFor = cmp.Or(c.IdleFor, DefaultIdleFor)
	c.MaxIdle = cmp.Or(c.MaxIdle, DefaultMaxIdle)
	c.Silence = cmp.Or(c.Silence, DefaultSilence)
	return &Pool{config: c, idle: map[string][]*connection{}}
}

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when it was last given back, idleFor how long the server
	// keeps it.
	idleSince time.Time
	idleFor   time.Duration
	reused    bool
	// opened is when it was.
	opened time.Time
}

// readerBytes is the read buffer of a connection to a server.
const readerBytes = 4 << 10

// take returns a connection that is younger than freshness since its last use,
// or a new one.
func (p *Pool) take(ctx context.Context, address string, freshness time.Duration) (*connection, error) {
	for {
		c := p.pop(address, freshness)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string, freshness time.Duration) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if unused := time.Since(c.idleSince); unused < min(c.idleFor, p.config.IdleFor) && unused < freshness {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

// quiet reports whether an unused connection is still open and has nothing to
// read. A server may have closed it, and a faulty one may have sent bytes that
// belong to no request; either would be met by the next request.
func (c *connection) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return ok && c.reader.Buffered() == 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, received := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = received == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
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
	p.mutex.Lock()
	p.dialled++
	p.mutex.Unlock()
	return &connection{
		Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readerBytes), idleFor: p.config.IdleFor, opened: time.Now(),
	}, nil
}

// Refuses reports whether the address refuses connections: its VM answers, and no process
// listens. A connection that comes about is kept for the next request.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.give(c)
	return false
}

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
	// socketBytes is what the kernel keeps for a server that does not read. Left to itself it
	// keeps megabytes, which count as memory of the VM.
	socketBytes = 64 << 10
)

func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.config.Silence.Milliseconds()))
		// A kernel that refuses keeps its own bound.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
	})
	return cmp.Or(err, set)
}

// give keeps a connection for the next request.
func (p *Pool) give(c *connection) {
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

// Expire closes connections that have lain unused for too long, and all of
// servers that keep does not name.
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

// Dialled is how many connections were opened so far.
func (p *Pool) Dialled() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dialled
}
