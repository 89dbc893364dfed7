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

// maxLineBytes bounds one line of a watch.
const maxLineBytes = 4 << 20

// silentAfter is how long a watch may be without a line before it is opened
// anew; control VMs send a bookmark every 5 s.
const silentAfter = 20 * time.Second

// Watch calls a function with each event after a revision, until the function
// or ctx ends it. A watch that breaks off or falls silent is resumed where it
// was, at the next control VM.
func (c *Client) Watch(ctx context.Context, from uint64, see func(oriolebend.WatchEvent) error) error {
	for try := 0; ; try++ {
		before := from
		err := c.watchOnce(ctx, try, &from, see)
		if err != nil {
			return err
		}
		if from != before {
			try = 0
		}
		if !pause.For(ctx, c.wait(try)) {
			return ctx.Err()
		}
	}
}

// watchOnce reads one stream to its end, moving from on. It returns an error
// only if the watch is to end.
func (c *Client) watchOnce(ctx context.Context, try int, from *uint64, see func(oriolebend.WatchEvent) error) error {
	stream, cancel := context.WithCancel(ctx)
	defer cancel()
	query := url.Values{"from": {strconv.FormatUint(*from, 10)}}
	response, err := c.at(try).send(stream, request{method: http.MethodGet, path: "/v1/watch", query: query})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	silence := time.AfterFunc(silentAfter, cancel)
	defer silence.Stop()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		silence.Reset(silentAfter)
		var event oriolebend.WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil // a line cut off in the middle; resume
		}
		if err := see(event); err != nil {
			return err
		}
		*from = max(*from, event.Revision)
	}
	return ctx.Err()
}

// at returns a client that starts with another of the control VMs.
func (c *Client) at(try int) *Client {
	other := *c
	addresses := c.config.Addresses
	if len(addresses) > 0 {
		first := try % len(addresses)
		other.config.Addresses = append(append([]string{}, addresses[first:]...), addresses[:first]...)
	}
	return &other
}
