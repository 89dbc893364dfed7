package places

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
	// askAgain is the pause before another leader is asked for places.
	askAgain = 100 * time.Millisecond
	// otherSeen is how many times in a row another leader must be named, since a
	// control VM that is cut off may name the last one for a moment.
	otherSeen = 2
	// openWithin bounds the opening of a session.
	openWithin = time.Second
	// answerMargin is how much later than the end of its wait a question's
	// answer is still waited for; then the leader counts as gone.
	answerMargin = 300 * time.Millisecond
	// probeAfter is for how long nothing comes before a sign of life is asked for, and
	// probeWithin how long that may take.
	probeAfter  = 100 * time.Millisecond
	probeWithin = 250 * time.Millisecond
)

// Client asks the leading control VM for places at model engines. It
// implements forwarder.Places.
type Client struct {
	Node          string
	FailureDomain string
	Dialer        peer.Dialer
	// Leader is the peer address of the control VM that leads, empty if none is
	// known. The last one that did goes on giving places until another one leads.
	Leader func() string
	Logger *slog.Logger

	mutex sync.Mutex
	last  uint64
	open  *peer.Outbox
	// asked holds who waits for an answer, held the places that are in use.
	asked map[uint64]chan message.PlaceAnswer
	held  map[uint64]heldPlace
	// heard is when something came over the session last, probed when a sign of life was
	// asked for since, zero if none was. silent is set while none comes.
	heard, probed time.Time
	silent        bool
}

var _ forwarder.Places = (*Client)(nil)

// heldPlace is a place in use, and since when.
type heldPlace struct {
	message.PlaceQuestion
	since time.Time
}

// Prepare makes the client ready; it must be called before all else.
func (c *Client) Prepare() {
	c.asked = map[uint64]chan message.PlaceAnswer{}
	c.held = map[uint64]heldPlace{}
}

// Run keeps a session with the leader until ctx ends.
func (c *Client) Run(ctx context.Context) {
	address := ""
	for ctx.Err() == nil {
		address = cmp.Or(c.Leader(), address)
		if address != "" {
			c.session(ctx, address)
		}
		pause.For(ctx, askAgain)
	}
}

// awaitOther returns once another control VM than the one with an address has led
// for a moment. A leader that is frozen or cut off does not end its sessions: what
// is asked of it would wait for an answer until the caller leaves.
func (c *Client) awaitOther(ctx context.Context, address string) {
	for seen := 0; seen < otherSeen && ctx.Err() == nil; pause.For(ctx, askAgain) {
		leader := c.Leader()
		if leader == "" || leader == address {
			seen = 0
			continue
		}
		seen++
	}
}

func (c *Client) session(ctx context.Context, address string) {
	opening, cancel := context.WithTimeout(ctx, openWithin)
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
		c.awaitOther(ctx, address)
	}()
	o := peer.NewOutbox(s)
	c.begin(o)
	defer c.end()
	go o.Write()
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if answer, ok := m.(message.PlaceAnswer); ok {
			c.answered(answer)
		}
	}
}

func (c *Client) begin(o *peer.Outbox) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := message.PlaceOpen{Node: c.Node, FailureDomain: c.FailureDomain}
	for _, h := range c.held {
		h.Age = time.Since(h.since)
		open.Held = append(open.Held, h.PlaceQuestion)
	}
	o.Put(open)
	c.open = o
	c.heard, c.probed, c.silent = time.Now(), time.Time{}, false
}

// end has those that wait look for places themselves.
func (c *Client) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open = nil
	for id, waiting := range c.asked {
		delete(c.asked, id)
		close(waiting)
	}
}

func (c *Client) answered(a message.PlaceAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.silent {
		c.Logger.Info("the control VM that gives places answers again")
	}
	c.heard, c.probed, c.silent = time.Now(), time.Time{}, false
	waiting := c.asked[a.ID]
	if waiting == nil {
		// The request has left meanwhile; its place must not stay taken.
		if a.Server != nil {
			c.tell(message.PlaceEvent{ID: a.ID, Step: message.PlaceEnded, Outcome: string(dispatch.OutcomeCancelled)})
		}
		return
	}
	delete(c.asked, a.ID)
	waiting <- a
}

// tell sends an event, if there is a session. The mutex is held.
func (c *Client) tell(e message.PlaceEvent) {
	if c.open != nil {
		c.open.Put(e)
	}
}

// Place implements forwarder.Places.
func (c *Client) Place(ctx context.Context, q forwarder.PlaceRequest) (dispatch.Effect, bool) {
	id, waiting := c.ask(q)
	if waiting == nil {
		return nil, false
	}
	answer, ok, came := c.await(ctx, waiting, q.Within+answerMargin)
	if came && ctx.Err() == nil {
		return c.effect(q, answer), ok
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !came && c.asked[id] == nil { // the answer came in this moment
		answer, came = <-waiting
		ok = came
	}
	if came {
		if ok && answer.Server != nil {
			c.tell(message.PlaceEvent{ID: id, Step: message.PlaceEnded, Outcome: string(dispatch.OutcomeCancelled)})
		}
		return nil, false
	}
	delete(c.asked, id)
	c.tell(message.PlaceEvent{ID: id, Step: message.PlaceWithdrawn})
	return nil, false
}

// await waits for an answer. came is false if none has come; ok is false if the session
// has ended.
func (c *Client) await(ctx context.Context, waiting <-chan message.PlaceAnswer, within time.Duration) (answer message.PlaceAnswer, ok, came bool) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	probe := time.NewTicker(probeAfter)
	defer probe.Stop()
	for {
		select {
		case answer, ok = <-waiting:
			return answer, ok, true
		case <-probe.C:
			if c.isSilent() {
				return answer, false, false
			}
		case <-timer.C:
			return answer, false, false
		case <-ctx.Done():
			return answer, false, false
		}
	}
}

// isSilent reports whether the control VM that gives places does not answer at all, and
// asks it for a sign of life if nothing has come for a while.
//
// A request may wait for its place while memory is short, so that no answer to one question
// tells little. A control VM that stands still ends no session, and another one leads only
// after a second, in which each generation that is asked for waits for it and is late.
func (c *Client) isSilent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	switch {
	case c.open == nil || now.Sub(c.heard) < probeAfter:
	case c.probed.IsZero():
		c.probed = now
		c.tell(message.PlaceEvent{Step: message.PlaceProbed})
	case !c.silent && now.Sub(c.probed) >= probeWithin:
		c.silent = true
		c.Logger.Info("the control VM that gives places does not answer", "silentMs", now.Sub(c.heard).Milliseconds())
	}
	return c.silent
}

func (c *Client) ask(q forwarder.PlaceRequest) (uint64, chan message.PlaceAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil || c.silent {
		return 0, nil
	}
	c.last++
	waiting := make(chan message.PlaceAnswer, 1)
	c.asked[c.last] = waiting
	c.tell(message.PlaceEvent{ID: c.last, Step: message.PlaceAsked, Question: &message.PlaceQuestion{
		ID: c.last, Service: q.Need.Service, Prompt: q.Need.Prompt, Output: q.Need.Output, Rank: q.Rank, Call: q.Call,
		InTime: q.InTime, Within: q.Within, Tried: q.Need.Tried, Excluded: q.Need.Excluded,
		FirstWithin: q.Need.FirstWithin, PauseWithin: q.Need.PauseWithin,
	}})
	return c.last, waiting
}

func (c *Client) effect(q forwarder.PlaceRequest, a message.PlaceAnswer) dispatch.Effect {
	if a.Server == nil {
		return dispatch.Refused{Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	question := placeOf(q.Need, *a.Server, a.Prefill)
	question.ID = a.ID
	c.mutex.Lock()
	c.held[a.ID] = heldPlace{PlaceQuestion: question, since: time.Now()}
	c.mutex.Unlock()
	return dispatch.Granted{Grant: dispatch.Grant{Need: q.Need, Server: *a.Server, Prefill: a.Prefill, Ahead: a.Ahead, Remote: a.ID}}
}

// placeOf tells what a request has at its engines.
func placeOf(n dispatch.Need, server message.BackendServer, prefill *message.BackendServer) message.PlaceQuestion {
	question := message.PlaceQuestion{
		Service: n.Service, Prompt: n.Prompt, Output: n.Output, Server: server.Instance, ServerStart: server.Incarnation,
	}
	if prefill != nil {
		question.Prefill, question.PrefillStart = prefill.Instance, prefill.Incarnation
	}
	return question
}

// Found implements forwarder.Places. The place is told with the next session: while
// there is none, forwarders find places themselves, and a new leader that did not
// know of them would send requests to engines that are full.
func (c *Client) Found(g dispatch.Grant) uint64 {
	question := placeOf(g.Need, g.Server, g.Prefill)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last++
	question.ID = c.last
	c.held[c.last] = heldPlace{PlaceQuestion: question, since: time.Now()}
	return c.last
}

// number is the number under which a place is told.
func number(g dispatch.Grant) uint64 { return cmp.Or(g.Remote, g.ReportedID) }

// PromptRead implements forwarder.Places.
func (c *Client) PromptRead(e dispatch.PrefillEnded) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id := number(e.Grant)
	if q, found := c.held[id]; found {
		q.Prefill = ""
		c.held[id] = q
	}
	c.tell(message.PlaceEvent{ID: id, Step: message.PlaceRead, Took: e.Took, Failed: e.Failed, Unused: e.Unused})
}

// Ended implements forwarder.Places.
func (c *Client) Ended(e dispatch.Ended) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id := number(e.Grant)
	delete(c.held, id)
	c.tell(message.PlaceEvent{ID: id, Step: message.PlaceEnded, Outcome: string(e.Outcome), Took: e.Took})
}
