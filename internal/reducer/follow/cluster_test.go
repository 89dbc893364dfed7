package follow

import (
	"fmt"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// vm is a control VM: a replica of the log that may lag or be partitioned.
type vm struct {
	state *declared.State
	// applied is the number of log entries that the VM has applied.
	applied int
	// partitioned is true if the VM can't reach a quorum and gets no new entries of
	// the log, and has not detected that.
	partitioned bool
	// unreachable is true if no follower reaches the VM.
	unreachable bool
	// confirmedAt is when the VM was last confirmed by a quorum.
	confirmedAt time.Time
	confirmed   bool
	// confirms counts the confirmations.
	confirms int
}

// cluster simulates one follower and several control VMs.
type cluster struct {
	now      time.Time
	log      []declared.Command
	vms      map[string]*vm
	config   Config
	follower *State
	// open is the open watch, nil if there is none. sentTo is the revision up to which
	// updates were sent over it, and confirms the control VM's count when it was opened.
	open     *Open
	sentTo   uint64
	confirms int
	// inFlight are the messages that have not arrived yet.
	inFlight []Received
	effects  []Effect
	highest  uint64 // the highest revision ever in force, over all restarts
	wentBack bool   // whether the revision in force ever decreased
	starts   int
}

func newCluster(controls int, config Config) *cluster {
	c := &cluster{now: time.Unix(0, 0), vms: map[string]*vm{}, config: config}
	for i := range controls {
		name := fmt.Sprintf("c%d", i+1)
		c.vms[name] = &vm{state: declared.New()}
		c.config.Controls = append(c.config.Controls, Control{Name: name, Address: name})
	}
	c.restart()
	return c
}

func (c *cluster) restart() {
	c.starts++
	c.config.Seed = uint64(c.starts)
	c.follower = New(c.config)
	c.open = nil
	c.inFlight = nil
	c.reduce(Started{At: c.now})
}

// change adds a change to the log; control VMs that are not partitioned apply it.
func (c *cluster) change(name string) {
	state := []oriolebend.ServerState{oriolebend.ServerServing, oriolebend.ServerLeaving}[len(c.log)%2]
	c.log = append(c.log, declared.Command{Order: &declared.Order{
		Action: oriolebend.ActionApply, Kind: oriolebend.KindServer, Name: name,
		Resource: &oriolebend.Resource{
			Kind: oriolebend.KindServer, Name: name,
			Spec: &oriolebend.DeclaredServer{State: state},
		},
	}})
	c.replicate()
}

func (c *cluster) replicate() {
	for _, v := range c.vms {
		if v.partitioned {
			continue
		}
		for ; v.applied < len(c.log); v.applied++ {
			v.state.Apply(0, c.log[v.applied])
		}
		v.confirmed = true
		v.confirms++
		v.confirmedAt = c.now
	}
}

func (c *cluster) reduce(e Event) {
	for _, effect := range Reduce(c.follower, e) {
		c.effects = append(c.effects, effect)
		switch e := effect.(type) {
		case Open:
			c.opened(e)
		case Close:
			if c.open != nil && c.open.Link == e.Link {
				c.open = nil
			}
		}
	}
	revision := c.follower.View().Revision
	if c.follower.Current() {
		c.wentBack = c.wentBack || revision < c.highest
		c.highest = max(c.highest, revision)
	}
}

func (c *cluster) opened(o Open) {
	if c.vms[o.Control].unreachable {
		c.reduce(Lost{At: c.now, Link: o.Link})
		return
	}
	c.open = &o
	c.sentTo = o.Watch.From
	c.confirms = c.vms[o.Control].confirms
	c.replicate()
	c.send(true)
}

// send has the followed control VM send its new changes, or an update without
// changes. A control VM that is behind the follower only sends its own revision.
func (c *cluster) send(first bool) {
	v := c.vms[c.open.Control]
	from := c.sentTo
	update, err := v.state.Update(from)
	if err != nil {
		update = message.Update{Revision: v.state.Revision(), From: v.state.Revision()}
	}
	if !first && from == 0 && v.state.Revision() == 0 {
		update.Snapshot = false
	}
	update.Confirmed = v.confirmed
	update.Fresh = v.confirms > c.confirms
	update.Age = c.now.Sub(v.confirmedAt)
	c.sentTo = max(c.sentTo, update.Revision)
	c.inFlight = append(c.inFlight, Received{Link: c.open.Link, Update: update})
}

// arrive delivers the message in flight at an index.
func (c *cluster) arrive(i int) {
	r := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	r.At = c.now
	c.reduce(r)
}

// pass advances the time; the followed control VM sends an update every second.
func (c *cluster) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(TickEvery)
		c.replicate()
		if c.open != nil && c.vms[c.open.Control].unreachable {
			link := c.open.Link
			c.open = nil
			c.reduce(Lost{At: c.now, Link: link})
		}
		if c.open != nil && c.now.Nanosecond() == 0 {
			c.send(false)
		}
		for len(c.inFlight) > 0 {
			c.arrive(0)
		}
		c.reduce(Ticked{At: c.now})
	}
}
