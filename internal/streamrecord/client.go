package streamrecord

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
)

const (
	// holders is the number of control VMs that hold the record of a stream, so that one of them
	// may be lost together with the forwarder of the stream.
	holders = 2
	// maxUnfinished bounds the streams of one forwarder whose records control VMs must hold.
	maxUnfinished = DefaultLimit / 4
	// storeTimeout bounds the storing of records at one control VM. After a failure no records are
	// sent there for unreachableFor.
	storeTimeout   = 500 * time.Millisecond
	unreachableFor = 500 * time.Millisecond
	// lookupTimeout bounds a lookup. A stream may be resumed before its record has arrived, so that
	// control VMs without a record are asked again after lookupInterval.
	lookupTimeout  = 250 * time.Millisecond
	lookupInterval = 50 * time.Millisecond
)

// ID returns the identity of the stream that began with a request of an organisation.
func ID(organisation, request string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + request)
}

// Config configures a Client. Without Controls the client knows only its own streams.
type Config struct {
	Dialer peer.Dialer
	// Controls returns the peer addresses of the connected control VMs.
	Controls func() []string
	// Known returns the number of control VMs that exist; nil means that all are connected.
	Known  func() int
	Logger *slog.Logger
}

// Client records and looks up streams for one forwarder.
type Client struct {
	config   Config
	requests peer.RequestClient[message.StreamRecordRequest, message.StreamRecordAnswer]
	changed  chan struct{}

	mutex sync.Mutex
	// known holds the streams that this forwarder has sent events of.
	known Table
	// unfinished are the streams among them whose callers may still resume them.
	unfinished map[uint64]*unfinished
	// unreachable holds, for each control VM that did not store records, until when none are sent
	// to it. storing are the control VMs that are storing records at present.
	unreachable map[string]time.Time
	storing     map[string]bool
	// sessions counts the sessions that were reported for each control VM.
	sessions map[string]int
}

// unfinished is a stream whose record control VMs must hold.
type unfinished struct {
	record message.StreamRecord
	until  time.Time
	// holders are the control VMs that have stored the record.
	holders []string
}

// key returns the key by which control VMs are chosen for the record. Streams of one content have the
// same one, so that a control VM sees whether their origins differ.
func (u *unfinished) key() string {
	return strconv.FormatUint(cmp.Or(u.record.Content, u.record.Stream), 16)
}

// NewClient returns a client; Run sends its records.
func NewClient(c Config) *Client {
	if c.Controls == nil {
		c.Controls = func() []string { return nil }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	client := &Client{
		config: c, changed: make(chan struct{}, 1), unfinished: map[uint64]*unfinished{},
		unreachable: map[string]time.Time{}, storing: map[string]bool{}, sessions: map[string]int{},
	}
	client.requests = peer.RequestClient[message.StreamRecordRequest, message.StreamRecordAnswer]{
		Dialer: c.Dialer,
		Numbered: func(q message.StreamRecordRequest, number uint64) message.StreamRecordRequest {
			q.ID = number
			return q
		},
		Number: func(a message.StreamRecordAnswer) uint64 { return a.ID },
		Unwanted: func(message.StreamRecordRequest, message.StreamRecordAnswer) (message.Message, bool) {
			return nil, false
		},
	}
	return client
}

// Begun records that the first event of a stream is about to be sent to its caller, who may resume
// it for a while. It does not wait for the control VMs.
func (c *Client) Begun(r message.StreamRecord) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.known.Add(now, r)
	if len(c.unfinished) >= maxUnfinished && c.unfinished[r.Stream] == nil {
		return // control VMs don't learn of it: another forwarder will refuse to resume the stream
	}
	c.unfinished[r.Stream] = &unfinished{record: r, until: now.Add(min(r.ResumableFor, maxResumable))}
	c.notify()
}

// Finished records that a stream is complete. Control VMs that restart need not hold its record.
func (c *Client) Finished(stream uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.unfinished, stream)
}

// Restarted reports that a session with a control VM has begun, which may have restarted and lost
// its records.
func (c *Client) Restarted(control string) {
	c.requests.Drop(control)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.unreachable, control)
	c.sessions[control]++
	for _, s := range c.unfinished {
		s.holders = slices.DeleteFunc(s.holders, func(holder string) bool { return holder == control })
	}
	c.notify()
}

// notify has Run send records. It does not block.
func (c *Client) notify() {
	select {
	case c.changed <- struct{}{}:
	default: // Run is already notified
	}
}

// Run sends records to control VMs until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	defer c.requests.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.expire(time.Now())
		case <-c.changed:
		}
		for control, records := range c.takeMissing(time.Now()) {
			go c.store(ctx, control, records)
		}
	}
}

// expire drops streams that can't be resumed any more.
func (c *Client) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.known.Expire(now)
	maps.DeleteFunc(c.unfinished, func(_ uint64, s *unfinished) bool { return !now.Before(s.until) })
	maps.DeleteFunc(c.unreachable, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// takeMissing returns the records that each control VM should hold and has not stored. A control VM
// that is storing records gets the next ones together, once it has answered.
func (c *Client) takeMissing(now time.Time) map[string][]message.StreamRecord {
	controls := c.config.Controls()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	controls = slices.DeleteFunc(controls, func(control string) bool { return now.Before(c.unreachable[control]) })
	missing := map[string][]message.StreamRecord{}
	for _, s := range c.unfinished {
		for _, control := range policy.Nearest(s.key(), controls, holders) {
			if c.storing[control] || slices.Contains(s.holders, control) {
				continue
			}
			record := s.record
			record.ResumableFor = s.until.Sub(now)
			missing[control] = append(missing[control], record)
		}
	}
	for control := range missing {
		c.storing[control] = true
	}
	return missing
}

// store sends records to one control VM.
func (c *Client) store(ctx context.Context, control string, records []message.StreamRecord) {
	requestCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	session := c.session(control)
	_, err := c.requests.Request(requestCtx, control, message.StreamRecordRequest{Records: records})
	if err != nil && ctx.Err() == nil {
		c.requests.Drop(control)
		c.config.Logger.Info("stream records not stored", "control", control, "records", len(records), "error", err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.storing, control)
	c.notify()
	switch {
	case c.sessions[control] != session:
		return // it has restarted, and the answer may be of the earlier process
	case err != nil:
		c.unreachable[control] = time.Now().Add(unreachableFor)
		return
	}
	for _, r := range records {
		if s := c.unfinished[r.Stream]; s != nil && s.record.Origin == r.Origin {
			s.holders = append(s.holders, control)
		}
	}
}

// session returns the number of sessions that were reported for a control VM.
func (c *Client) session(control string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sessions[control]
}

// UnknownError is returned for a stream whose origin can't be determined.
type UnknownError struct {
	// Asked is the number of control VMs that were asked, and Answered how many of them answered in
	// the last round. Known is the number of control VMs that exist.
	Asked, Answered, Known int
	// Conflict is set if different origins were recorded for the stream.
	Conflict bool
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("streamrecord: origin unknown: %d control VMs asked, %d answered, conflicting records: %t", e.Asked, e.Answered, e.Conflict)
}

// Temporary reports whether the origin may be found later: a control VM that was not asked, or did not
// answer, may have a record of it.
func (e *UnknownError) Temporary() bool { return !e.Conflict && e.Answered < max(e.Asked, e.Known) }

// Lookup returns the origin of a stream. Its error is an *UnknownError.
func (c *Client) Lookup(ctx context.Context, stream uint64) (message.StreamOrigin, error) {
	return c.lookup(ctx, stream, false)
}

// LookupContent returns the origin of the streams of a content. Its error is an *UnknownError, also
// if there are several origins.
func (c *Client) LookupContent(ctx context.Context, content uint64) (message.StreamOrigin, error) {
	return c.lookup(ctx, content, true)
}

// lookup repeats lookupOnce until the origin is known or time is up. compare has all control VMs
// answer.
func (c *Client) lookup(ctx context.Context, key uint64, compare bool) (message.StreamOrigin, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var last *UnknownError
	for {
		origin, unknown := c.lookupOnce(ctx, key, compare)
		if unknown == nil {
			return origin, nil
		}
		if last != nil && ctx.Err() != nil {
			return message.StreamOrigin{}, last // this round was cut short
		}
		last = unknown
		if unknown.Conflict || unknown.Asked == 0 || !pause.For(ctx, lookupInterval) {
			return message.StreamOrigin{}, unknown
		}
	}
}

// lookupOnce looks a key up here and in all connected control VMs. The forwarder of the stream may
// have been connected to others than this forwarder, so that the nearest ones don't suffice.
//
// A stream has one origin, and the first one found counts. Streams of one content may have several,
// known to different processes: with compare all answers are awaited.
func (c *Client) lookupOnce(ctx context.Context, key uint64, compare bool) (message.StreamOrigin, *UnknownError) {
	c.mutex.Lock()
	found, conflict := c.known.Find(time.Now(), key)
	c.mutex.Unlock()
	unknown := &UnknownError{Conflict: conflict}
	if !compare && found != nil {
		return *found, nil
	}
	controls := c.config.Controls()
	unknown.Asked, unknown.Known = len(controls), len(controls)
	if c.config.Known != nil {
		unknown.Known = c.config.Known()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *message.StreamRecordAnswer, len(controls))
	for _, control := range controls {
		go func() { answers <- c.query(ctx, control, key) }()
	}
	for range controls {
		answer := <-answers
		if answer == nil {
			continue
		}
		unknown.Answered++
		unknown.Conflict = unknown.Conflict || answer.Conflict
		switch {
		case answer.Origin == nil:
		case found == nil:
			found = answer.Origin
		case *found != *answer.Origin:
			unknown.Conflict = true
		}
		if unknown.Conflict || found != nil && !compare {
			break
		}
	}
	if unknown.Conflict || found == nil {
		return message.StreamOrigin{}, unknown
	}
	return *found, nil
}

// query looks a key up in one control VM. It returns nil if the control VM does not answer.
func (c *Client) query(ctx context.Context, control string, key uint64) *message.StreamRecordAnswer {
	answer, err := c.requests.Request(ctx, control, message.StreamRecordRequest{Key: key})
	if err != nil {
		return nil
	}
	return &answer
}
