package follow

import (
	"fmt"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// vm is a control VM: a replica of the log that may lag or be cut off.
type vm struct {
	state *declared.State
	// applied is how much of the log it has.
	applied int
	// cut is true if it can't confirm with a quorum, and gets no more of the
	// log, without noticing.
	cut bool
	// away is true if no follower reaches it.
	away bool
	// confirmedAt is when it last had a quorum's word.
	confirmedAt time.Time
	confirmed   bool
	// confirms counts its quorum's words.
	confirms int
}

// world is one follower beside several control VMs.
type world struct {
	now      time.Time
	log      []declared.Command
	vms      map[string]*vm
	config   Config
	follower *State
	// The watch that is open, and what was sent to the follower on it.
	open     *Open
	sentTo   uint64
	confirms int // of the control VM when the watch came
	way      []Received
	effects  []Effect
	highest  uint64 // that was ever in force, over all lives
	wentBack bool
	lives    int
}

func newWorld(controls int, config Config) *world {
	w := &world{now: time.Unix(0, 0), vms: map[string]*vm{}, config: config}
	for i := range controls {
		name := fmt.Sprintf("c%d", i+1)
		w.vms[name] = &vm{state: declared.New()}
		w.config.Controls = append(w.config.Controls, Control{Name: name, Address: name})
	}
	w.restart()
	return w
}

func (w *world) restart() {
	w.lives++
	w.config.Seed = uint64(w.lives)
	w.follower = New(w.config)
	w.open = nil
	w.way = nil
	w.reduce(Started{At: w.now})
}

// change adds a change to the log; control VMs that are not cut off get it.
func (w *world) change(name string) {
	state := []oriolebend.ServerState{oriolebend.ServerServing, oriolebend.ServerLeaving}[len(w.log)%2]
	w.log = append(w.log, declared.Command{Order: &declared.Order{
		Action: oriolebend.ActionApply, Kind: oriolebend.KindServer, Name: name,
		Resource: &oriolebend.Resource{
			Kind: oriolebend.KindServer, Name: name,
			Spec: &oriolebend.DeclaredServer{State: state},
		},
	}})
	w.replicate()
}

func (w *world) replicate() {
	for _, v := range w.vms {
		if v.cut {
			continue
		}
		for ; v.applied < len(w.log); v.applied++ {
			v.state.Apply(0, w.log[v.applied])
		}
		v.confirmed = true
		v.confirms++
		v.confirmedAt = w.now
	}
}

func (w *world) reduce(e Event) {
	for _, effect := range Reduce(w.follower, e) {
		w.effects = append(w.effects, effect)
		switch e := effect.(type) {
		case Open:
			w.opened(e)
		case Close:
			if w.open != nil && w.open.Link == e.Link {
				w.open = nil
			}
		}
	}
	revision := w.follower.View().Revision
	if w.follower.Current() {
		w.wentBack = w.wentBack || revision < w.highest
		w.highest = max(w.highest, revision)
	}
}

func (w *world) opened(o Open) {
	if w.vms[o.Control].away {
		w.reduce(Lost{At: w.now, Link: o.Link})
		return
	}
	w.open = &o
	w.sentTo = o.Watch.From
	w.confirms = w.vms[o.Control].confirms
	w.replicate()
	w.send(true)
}

// send has the followed control VM send what is new, or a word that nothing
// is. One that is behind the follower can only say how far it is.
func (w *world) send(first bool) {
	v := w.vms[w.open.Control]
	from := w.sentTo
	update, err := v.state.Update(from)
	if err != nil {
		update = message.Update{Revision: v.state.Revision(), From: v.state.Revision()}
	}
	if !first && from == 0 && v.state.Revision() == 0 {
		update.Snapshot = false
	}
	update.Confirmed = v.confirmed
	update.Fresh = v.confirms > w.confirms
	update.Age = w.now.Sub(v.confirmedAt)
	w.sentTo = max(w.sentTo, update.Revision)
	w.way = append(w.way, Received{Link: w.open.Link, Update: update})
}

// arrive delivers the message at an index of those on their way.
func (w *world) arrive(i int) {
	r := w.way[i]
	w.way = append(w.way[:i:i], w.way[i+1:]...)
	r.At = w.now
	w.reduce(r)
}

// pass lets time go by; every second the control VM says a word.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(TickEvery)
		w.replicate()
		if w.open != nil && w.vms[w.open.Control].away {
			link := w.open.Link
			w.open = nil
			w.reduce(Lost{At: w.now, Link: link})
		}
		if w.open != nil && w.now.Nanosecond() == 0 {
			w.send(false)
		}
		for len(w.way) > 0 {
			w.arrive(0)
		}
		w.reduce(Ticked{At: w.now})
	}
}
