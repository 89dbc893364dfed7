package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// maxLineBytes bounds the size of one line of a watch.
const maxLineBytes = 4 << 20

// idleTimeout is how long a watch may receive no line before it is opened again. Control
// VMs send a bookmark every 5 s.
const idleTimeout = 20 * time.Second

// Watch calls handle with each event after revision from, until handle returns an error
// or ctx is done. A watch that breaks off or times out is resumed from its last revision
// at the next control VM.
func (c *Client) Watch(ctx context.Context, from uint64, handle func(oriolebend.WatchEvent) error) error {
	for try := 0; ; try++ {
		before := from
		err := c.watchOnce(ctx, try, &from, handle)
		if err != nil {
			return err
		}
		if from != before {
			try = 0
		}
		if !pause.For(ctx, c.retryDelay(try)) {
			return ctx.Err()
		}
	}
}

// watchOnce reads one stream to its end and advances from. It returns an error only if
// the watch must end.
func (c *Client) watchOnce(ctx context.Context, try int, from *uint64, handle func(oriolebend.WatchEvent) error) error {
	stream, cancel := context.WithCancel(ctx)
	defer cancel()
	query := url.Values{"from": {strconv.FormatUint(*from, 10)}}
	response, err := c.startingAt(try).send(stream, request{method: http.MethodGet, path: "/v1/watch", query: query})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		idle.Reset(idleTimeout)
		var event oriolebend.WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil // the line is incomplete; resume
		}
		if err := handle(event); err != nil {
			return err
		}
		*from = max(*from, event.Revision)
	}
	return ctx.Err()
}

// startingAt returns a copy of the client with its list of addresses rotated by try.
func (c *Client) startingAt(try int) *Client {
	other := *c
	addresses := c.config.Addresses
	if len(addresses) > 0 {
		first := try % len(addresses)
		other.config.Addresses = append(append([]string{}, addresses[first:]...), addresses[:first]...)
	}
	return &other
}
