package role

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Reducer follow.Config
	Dialer  peer.Dialer
	// Apply takes each state that is in force from then on; view is not
	// changed afterwards.
	Apply    func(view declared.View, changed follow.Changed)
	Observer Observer
}

// Follower keeps a process up to date with the declared state and the
// membership.
type Follower struct {
	config FollowerConfig
	loop   Loop[follow.Event, follow.Effect]
	state  *follow.State
	ctx    context.Context

	mu    sync.Mutex
	links map[follow.Link]*followLink
	age   time.Duration
}

// NewFollower returns a follower; Run starts it.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{config: c, state: follow.New(c.Reducer), links: map[follow.Link]*followLink{}}
	f.loop = Loop[follow.Event, follow.Effect]{
		Reduce:    f.reduce,
		Perform:   f.perform,
		Tick:      func(at time.Time) follow.Event { return follow.Ticked{At: at} },
		TickEvery: follow.TickEvery,
	}
	f.loop.Prepare()
	return f
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.ctx = ctx
	f.loop.Post(follow.Started{At: time.Now()})
	f.loop.Run(ctx)
}

// Age tells how long ago the state in force was known to be the newest, as of
// the last event.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age
}

func (f *Follower) reduce(e follow.Event) []follow.Effect {
	effects := follow.Reduce(f.state, e)
	f.mu.Lock()
	f.age = f.state.Age(time.Now())
	f.mu.Unlock()
	return effects
}

func (f *Follower) perform(effect follow.Effect) {
	switch e := effect.(type) {
	case follow.Open:
		f.open(e)
	case follow.Send:
		if l := f.links[e.Link]; l != nil {
			l.put(e.Message)
		}
	case follow.Close:
		if l := f.links[e.Link]; l != nil {
			delete(f.links, e.Link)
			l.cancel()
		}
	case follow.Changed:
		f.config.Apply(f.state.View().Copy(), e)
	case follow.Count:
		f.config.Observer.Count("follow."+string(e.What), "", "")
	}
}

// followLink is one watch of one control VM. Messages may be put before it is
// open.
type followLink struct {
	cancel context.CancelFunc
	queue  *Mailbox[message.Message]
}

func (l *followLink) put(m message.Message) {
	l.queue.Put(m)
}

func (f *Follower) open(e follow.Open) {
	ctx, cancel := context.WithCancel(f.ctx)
	l := &followLink{cancel: cancel, queue: NewMailbox[message.Message]()}
	f.links[e.Link] = l
	l.put(e.Watch)
	go func() {
		defer cancel()
		f.watch(ctx, e, l)
		f.loop.Post(follow.Lost{At: time.Now(), Link: e.Link})
	}()
}

// watch carries one watch until either side ends it.
func (f *Follower) watch(ctx context.Context, e follow.Open, l *followLink) {
	opening, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	s, err := f.config.Dialer.Open(opening, e.Address)
	if err != nil {
		return
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	out := &outbox{stream: s, queue: l.queue}
	go out.write()
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if update, ok := m.(message.Update); ok {
			f.loop.Post(follow.Received{At: time.Now(), Link: e.Link, Update: update})
		}
	}
}
