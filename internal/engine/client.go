package engine

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Default values of Config.
const (
	defaultCallTimeout  = 2 * time.Second
	defaultIdleTimeout  = 5 * time.Second
	defaultMaxLineBytes = 1 << 20
	defaultMaxBodyBytes = 16 << 20
	defaultConnections  = 256
)

// Config configures a Client.
type Config struct {
	// BaseURL is the base URL of the engine, such as "http://127.0.0.1:9000".
	BaseURL string
	// CallTimeout is the timeout of each short call; zero means 2s.
	CallTimeout time.Duration
	// IdleTimeout is the time without any line, including empty ones, after
	// which a long call fails with serverLost; zero means 5s.
	IdleTimeout time.Duration
	// MaxLineBytes is the maximum size of one line of a long call; zero means 1 MiB.
	MaxLineBytes int
	// MaxBodyBytes is the maximum size of the response to a short call; zero means 16 MiB.
	MaxBodyBytes int64
	// Transport sends the requests; nil means a transport that only this client uses.
	Transport http.RoundTripper
}

// Client calls one engine over HTTP. Its methods may be called from several
// goroutines.
type Client struct {
	config Config
	http   *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client without opening a connection.
func NewClient(c Config) *Client {
	c.BaseURL = strings.TrimRight(c.BaseURL, "/")
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.MaxLineBytes = cmp.Or(c.MaxLineBytes, defaultMaxLineBytes)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultMaxBodyBytes)
	if c.Transport == nil {
		c.Transport = newTransport()
	}
	return &Client{config: c, http: &http.Client{Transport: &httpclient.Transport{Base: c.Transport}}}
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: defaultConnections,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Prefill implements Engine.
func (c *Client) Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error) {
	var result *PrefillResult
	err := c.stream(ctx, PathPrefill, r, func(l Line) (bool, error) {
		result = l.Result
		if result == nil {
			return false, unexpectedLine(l)
		}
		return true, nil
	})
	if err != nil {
		return PrefillResult{}, err
	}
	return *result, nil
}

// Decode implements Engine. It fails if the parts overlap or leave a gap.
func (c *Client) Decode(ctx context.Context, r DecodeRequest, emit func(message.Part) error) error {
	next := r.Offset
	return c.stream(ctx, PathDecode, r, func(l Line) (bool, error) {
		if l.Part == nil {
			return false, unexpectedLine(l)
		}
		if l.Part.Offset != next || l.Part.Tokens < 0 {
			return false, engineFailure("part at offset %d where %d was next", l.Part.Offset, next)
		}
		next += l.Part.Tokens
		if err := emit(l.Part.toPart(r.Attempt)); err != nil {
			return false, &Error{Reason: oriolebend.ReasonCallerCancelled, Cause: err}
		}
		return l.Part.Finish != "", nil
	})
}

// toPart returns the part of an attempt that the line carries.
func (p *LinePart) toPart(a message.Attempt) message.Part {
	return message.Part{Attempt: a, Offset: p.Offset, Tokens: p.Tokens, Text: p.Text, Finish: p.Finish}
}

// Order implements Engine. It returns once the order has taken effect. The engine
// completes the order even if the connection breaks.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.stream(ctx, PathOrders, o, func(l Line) (bool, error) {
		if !l.Done {
			return false, unexpectedLine(l)
		}
		return true, nil
	})
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, a message.Attempt) error {
	return c.call(ctx, http.MethodPost, PathCancel, CancelRequest{Attempt: a}, nil)
}

// Work implements Engine.
func (c *Client) Work(ctx context.Context) ([]Work, error) {
	var work []Work
	err := c.call(ctx, http.MethodGet, PathWork, nil, &work)
	return work, err
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, http.MethodGet, PathLoad, nil, &report)
	return report, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := fmt.Sprintf("%s?after=%d", PathCacheEvents, after)
	err := c.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// CacheIndex implements Engine.
func (c *Client) CacheIndex(ctx context.Context) (CacheIndex, error) {
	var index CacheIndex
	err := c.call(ctx, http.MethodGet, PathCacheIndex, nil, &index)
	return index, err
}

// Info implements Engine.
func (c *Client) Info(ctx context.Context) (Info, error) {
	var info Info
	err := c.call(ctx, http.MethodGet, PathInfo, nil, &info)
	return info, err
}
