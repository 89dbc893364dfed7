package placements

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

const (
	// reconnectDelay is the pause before the next attempt to open a session with a leader, and
	// between two checks for another leader.
	reconnectDelay = 100 * time.Millisecond
	// leaderConfirmations is how many times in a row another leader must be seen, since a control
	// VM that is cut off may name the previous one for a moment.
	leaderConfirmations = 2
	// firstLeaderDelay is the pause between two checks for a leader until one is known.
	firstLeaderDelay = 10 * time.Millisecond
	// firstSessionTimeout bounds the wait of a request for the first session, once a leader is known.
	// A session is open within a few round trips, and a placement by the allocator is worth that.
	firstSessionTimeout = 100 * time.Millisecond
	// openTimeout bounds the opening of a session.
	openTimeout = time.Second
	// answerMargin is how much longer than a placement request may wait its answer is awaited. After
	// that the forwarder chooses engines itself.
	answerMargin = 300 * time.Millisecond
	// probeAfter is how long the session may be quiet before a probe is sent, and probeTimeout how
	// long the answer to the probe may take.
	probeAfter   = 100 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
)

// Client requests placements at model engines from the leading control VM. It implements
// forwarder.Places.
type Client struct {
	Node          string
	FailureDomain string
	Dialer        peer.Dialer
	// Leader returns the peer address of the leading control VM, empty if none is known. The
	// previous leader goes on granting placements until another one leads.
	Leader func() string
	// Speeds returns how fast engines wrote for this forwarder; nil if it does not measure that.
	Speeds func() []message.EngineSpeed
	Logger *slog.Logger

	// opened is closed when the first session has started.
	opened chan struct{}

	mutex  sync.Mutex
	lastID uint64
	outbox *peer.Outbox
	// pending holds the channels of the requests that wait for an answer, held the placements in
	// use.
	pending map[uint64]chan message.PlaceAnswer
	held    map[uint64]heldPlacement
	// lastReceived is when the session last received a message. probeSent is when a probe was sent
	// since then, zero if none was. unresponsive is set from the time at which a probe has timed
	// out until the next message.
	lastReceived, probeSent time.Time
	unresponsive            bool
}

var _ forwarder.Places = (*Client)(nil)

// heldPlacement is a placement in use, and the time at which its use began.
type heldPlacement struct {
	message.PlacementRequest
	since time.Time
}

// Prepare initializes the client; it must be called before any other method.
func (c *Client) Prepare() {
	c.opened = make(chan struct{})
	c.pending = map[uint64]chan message.PlaceAnswer{}
	c.held = map[uint64]heldPlacement{}
}

// Run keeps a session with the leader open until ctx ends.
func (c *Client) Run(ctx context.Context) {
	address := ""
	for ctx.Err() == nil {
		address = cmp.Or(c.Leader(), address)
		if address == "" {
			pause.For(ctx, firstLeaderDelay)
			continue
		}
		c.runSession(ctx, address)
		pause.For(ctx, reconnectDelay)
	}
}

// awaitNewLeader returns once a control VM other than the one at the address has led for a moment.
// A leader that is frozen or cut off does not end its sessions: requests sent to it would wait for
// an answer until their callers give up.
func (c *Client) awaitNewLeader(ctx context.Context, address string) {
	for confirmed := 0; confirmed < leaderConfirmations && ctx.Err() == nil; pause.For(ctx, reconnectDelay) {
		leader := c.Leader()
		if leader == "" || leader == address {
			confirmed = 0
			continue
		}
		confirmed++
	}
}

func (c *Client) runSession(ctx context.Context, address string) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := c.Dialer.Open(opening, address)
	if err != nil {
		return
	}
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	defer s.Close()
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	go func() {
		defer cancel()
		c.awaitNewLeader(ctx, address)
	}()
	o := peer.NewOutbox(s)
	c.startSession(o)
	defer c.endSession()
	go o.Write()
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if answer, ok := m.(message.PlaceAnswer); ok {
			c.handleAnswer(answer)
		}
	}
}

func (c *Client) startSession(o *peer.Outbox) {
	open := message.PlaceOpen{Node: c.Node, FailureDomain: c.FailureDomain}
	if c.Speeds != nil {
		open.Speeds = c.Speeds()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, h := range c.held {
		h.Age = time.Since(h.since)
		open.Held = append(open.Held, h.PlacementRequest)
	}
	o.Put(open)
	c.outbox = o
	select {
	case <-c.opened:
	default:
		close(c.opened)
	}
	c.lastReceived, c.probeSent, c.unresponsive = time.Now(), time.Time{}, false
}

// endSession ends the wait of all pending requests; their forwarder then chooses engines itself.
func (c *Client) endSession() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outbox = nil
	for id, waiting := range c.pending {
		delete(c.pending, id)
		close(waiting)
	}
}

func (c *Client) handleAnswer(a message.PlaceAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unresponsive {
		c.Logger.Info("the control VM that grants placements responds again")
	}
	c.lastReceived, c.probeSent, c.unresponsive = time.Now(), time.Time{}, false
	waiting := c.pending[a.ID]
	if waiting == nil {
		// The request has been cancelled in the meantime; its placement must be released.
		if a.Server != nil {
			c.sendEvent(message.PlaceEvent{ID: a.ID, Step: message.PlaceEnded, Outcome: string(dispatch.OutcomeCancelled)})
		}
		return
	}
	delete(c.pending, a.ID)
	waiting <- a
}

// sendEvent sends an event if there is a session. The mutex must be held.
func (c *Client) sendEvent(e message.PlaceEvent) {
	if c.outbox != nil {
		c.outbox.Put(e)
	}
}

// Place implements forwarder.Places.
func (c *Client) Place(ctx context.Context, q forwarder.PlacementRequest) (dispatch.Effect, bool) {
	c.awaitFirstSession(ctx)
	id, waiting := c.sendRequest(q)
	if waiting == nil {
		return nil, false
	}
	answer, ok, received := c.await(ctx, waiting, q.Within+answerMargin)
	if received && ctx.Err() == nil {
		return c.applyAnswer(q, answer), ok
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !received && c.pending[id] == nil { // the answer has just arrived
		answer, received = <-waiting
		ok = received
	}
	if received {
		if ok && answer.Server != nil {
			c.sendEvent(message.PlaceEvent{ID: id, Step: message.PlaceEnded, Outcome: string(dispatch.OutcomeCancelled)})
		}
		return nil, false
	}
	delete(c.pending, id)
	c.sendEvent(message.PlaceEvent{ID: id, Step: message.PlaceWithdrawn})
	return nil, false
}

// awaitFirstSession waits for a moment until this forwarder has had a session, if a leader is known.
//
// After a restart of the whole system, the requests that have waited for the first routing are
// released together. Without a session each forwarder would choose engines by itself, knowing of no
// other's work: many prompts would wait at a few prefill engines while others are idle.
func (c *Client) awaitFirstSession(ctx context.Context) {
	select {
	case <-c.opened:
		return
	default:
	}
	if c.Leader() == "" {
		return
	}
	timer := time.NewTimer(firstSessionTimeout)
	defer timer.Stop()
	select {
	case <-c.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// await waits for an answer. received is false if none has arrived; ok is false if the session has
// ended.
func (c *Client) await(ctx context.Context, waiting <-chan message.PlaceAnswer, within time.Duration) (answer message.PlaceAnswer, ok, received bool) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	probe := time.NewTicker(probeAfter)
	defer probe.Stop()
	for {
		select {
		case answer, ok = <-waiting:
			return answer, ok, true
		case <-probe.C:
			if c.isLeaderUnresponsive() {
				return answer, false, false
			}
		case <-timer.C:
			return answer, false, false
		case <-ctx.Done():
			return answer, false, false
		}
	}
}

// isLeaderUnresponsive reports whether the control VM that grants placements is unresponsive, and
// sends it a probe if nothing was received for a while.
//
// A request may wait for its placement while memory is short, so that a missing answer to one
// request proves little. A control VM that hangs ends no session, and another one leads only after
// a second. Every generation requested in that second would wait for the old leader and be late.
func (c *Client) isLeaderUnresponsive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	switch {
	case c.outbox == nil || now.Sub(c.lastReceived) < probeAfter:
	case c.probeSent.IsZero():
		c.probeSent = now
		c.sendEvent(message.PlaceEvent{Step: message.PlaceProbed})
	case !c.unresponsive && now.Sub(c.probeSent) >= probeTimeout:
		c.unresponsive = true
		c.Logger.Info("the control VM that grants placements does not respond", "silentMs", now.Sub(c.lastReceived).Milliseconds())
	}
	return c.unresponsive
}

func (c *Client) sendRequest(q forwarder.PlacementRequest) (uint64, chan message.PlaceAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.outbox == nil || c.unresponsive {
		return 0, nil
	}
	c.lastID++
	waiting := make(chan message.PlaceAnswer, 1)
	c.pending[c.lastID] = waiting
	c.sendEvent(message.PlaceEvent{ID: c.lastID, Step: message.PlaceAsked, Remaining: q.Remaining, Request: &message.PlacementRequest{
		ID: c.lastID, Service: q.Need.Service, Prompt: q.Need.Prompt, Output: q.Need.Output, Rank: q.Rank, RouteRank: q.RouteRank, Call: q.Call,
		InTime: q.InTime, Within: q.Within, Tried: q.Need.Tried, Excluded: q.Need.Excluded,
		FirstWithin: q.Need.FirstWithin, PauseWithin: q.Need.PauseWithin, Origin: q.Need.Origin,
	}})
	return c.lastID, waiting
}

func (c *Client) applyAnswer(q forwarder.PlacementRequest, a message.PlaceAnswer) dispatch.Effect {
	if a.Server == nil {
		return dispatch.Refused{Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	question := placementOf(q.Need, *a.Server, a.Prefill)
	question.ID = a.ID
	c.mutex.Lock()
	c.held[a.ID] = heldPlacement{PlacementRequest: question, since: time.Now()}
	c.mutex.Unlock()
	return dispatch.Granted{Grant: dispatch.Grant{Need: q.Need, Server: *a.Server, Prefill: a.Prefill, Ahead: a.Ahead, Remote: a.ID}}
}

// placementOf describes the engines and the memory of a placement.
func placementOf(n dispatch.Need, server message.BackendServer, prefill *message.BackendServer) message.PlacementRequest {
	question := message.PlacementRequest{
		Service: n.Service, Prompt: n.Prompt, Output: n.Output, Server: server.Instance, ServerStart: server.Incarnation,
	}
	if prefill != nil {
		question.Prefill, question.PrefillStart = prefill.Instance, prefill.Incarnation
	}
	return question
}

// RegisterLocal implements forwarder.Places. The placement is reported when the next session
// starts. Forwarders choose engines themselves while there is no session, and a new leader that did
// not know of these placements would send requests to engines that are full.
func (c *Client) RegisterLocal(g dispatch.Grant) uint64 {
	question := placementOf(g.Need, g.Server, g.Prefill)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	question.ID = c.lastID
	c.held[c.lastID] = heldPlacement{PlacementRequest: question, since: time.Now()}
	return c.lastID
}

// placementID returns the number that identifies a placement to the allocator.
func placementID(g dispatch.Grant) uint64 { return cmp.Or(g.Remote, g.ReportedID) }

// PromptRead implements forwarder.Places.
func (c *Client) PromptRead(e dispatch.PrefillEnded) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id := placementID(e.Grant)
	if q, found := c.held[id]; found {
		q.Prefill = ""
		c.held[id] = q
	}
	c.sendEvent(message.PlaceEvent{ID: id, Step: message.PlaceRead, Took: e.Took, Failed: e.Failed, Unused: e.Unused})
}

// Ended implements forwarder.Places.
func (c *Client) Ended(e dispatch.Ended) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id := placementID(e.Grant)
	delete(c.held, id)
	c.sendEvent(message.PlaceEvent{
		ID: id, Step: message.PlaceEnded, Outcome: string(e.Outcome), Took: e.Took, Writing: e.Writing, Events: e.Events,
	})
}
