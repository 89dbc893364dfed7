// Package replica runs one member of an agreement group: it joins the pure
// reducer of package agreement, the data folder of package disk and the
// streams of package peer.
//
// One goroutine runs the reducer. Another saves what it wants durable, all
// that has come up during one sync with the next. A third applies committed
// commands to the machine, and one for each other member sends to it.
package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Sizes of the queues in front of the reducer.
const (
	messageQueue  = 1024
	proposalQueue = 1024
	askQueue      = 64
)

// partsOfLog is how many segments the log before a snapshot consists of, and
// how many times the tail that is kept behind one.
const partsOfLog = 4

// Replica is one running member. It implements control.Log.
type Replica struct {
	config Config
	store  *disk.Store
	state  *agreement.State
	start  time.Time

	messages  chan message.Message
	proposals chan proposal
	asks      chan func()
	stopped   chan struct{}

	saver   *saver
	applier *applier
	senders map[string]*sender

	// waiting holds who waits for the outcome of an ID. Only the reducer's
	// goroutine uses it, as all below.
	waiting  map[uint64]chan outcome
	lastID   uint64
	refusals map[oriolebend.Reason]uint64
	stopping bool
	// handing is set if the member led when it was asked to stop.
	handing bool
	// together is set if the whole group is about to stop.
	together atomic.Bool
	// handed is set once it has stepped down for its stop.
	handed bool
	disk   diskState

	leader atomic.Pointer[leaderView]
	status atomic.Pointer[Status]
}

var _ control.Log = (*Replica)(nil)

// proposal is a command on its way to the reducer.
type proposal struct {
	command []byte
	done    chan outcome
}

// outcome is what became of a proposal, change or confirmation.
type outcome struct {
	result []byte
	err    error
}

// New opens the data folder and restores the machine from it. Errors are
// *disk.Error values or those of the machine.
func New(config Config) (*Replica, error) {
	config = config.withDefaults()
	store, loaded, err := disk.Open(disk.Config{
		Folder:     config.DataFolder,
		Group:      config.Group,
		Name:       config.Name,
		FileSystem: config.FileSystem,
		// Segments are dropped whole, so they must be small beside the log.
		SegmentBytes: min(disk.DefaultSegmentBytes, config.SnapshotBytes/partsOfLog),
	})
	if err != nil {
		return nil, err
	}
	if loaded.State != nil {
		if err := config.Machine.Restore(loaded.State); err != nil {
			_ = store.Close()
			return nil, fmt.Errorf("restore the snapshot at %d: %w", loaded.Snapshot.Index, err)
		}
	}
	r := &Replica{
		config:    config,
		store:     store,
		messages:  make(chan message.Message, messageQueue),
		proposals: make(chan proposal, proposalQueue),
		asks:      make(chan func(), askQueue),
		stopped:   make(chan struct{}),
		senders:   map[string]*sender{},
		waiting:   map[uint64]chan outcome{},
		refusals:  map[oriolebend.Reason]uint64{},
	}
	r.saver = newSaver(store)
	r.applier = newApplier(config, store, loaded)
	r.state = agreement.New(r.reducerConfig(), loaded.Restored, 0)
	if loaded.CutBytes > 0 {
		config.Logger.Warn("dropped a write that a crash cut short", "bytes", loaded.CutBytes)
	}
	r.publish()
	return r, nil
}

func (r *Replica) reducerConfig() agreement.Config {
	return agreement.Config{
		Name:         r.config.Name,
		Group:        groupName(r.config.Group, r.store.Identity().Generation),
		Founders:     r.config.founders(),
		Seed:         r.config.Seed,
		Start:        rand.Uint64() | 1, // never zero
		MaxUnapplied: r.config.MaxUnapplied,
		TailEntries:  r.config.TailEntries,
		TailBytes:    int(min(agreement.DefaultTailBytes, r.config.SnapshotBytes/partsOfLog)),
	}
}

// Serve takes the messages of a stream that another member opened, until the
// stream or the context ends. first holds messages that the caller has
// already read from the stream. A message that is not from the stream's own
// peer ends the stream.
func (r *Replica) Serve(ctx context.Context, s peer.Stream, first ...message.Message) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	defer s.Close()
	for _, m := range first {
		if !r.take(ctx, s, m) {
			return
		}
	}
	for {
		m, err := s.Receive()
		if err != nil || !r.take(ctx, s, m) {
			return
		}
	}
}

func (r *Replica) take(ctx context.Context, s peer.Stream, m message.Message) bool {
	part, ok := message.AgreementPart(m)
	if !ok || part.From != s.Peer() {
		r.config.Logger.Warn("refused a message", "kind", m.Kind(), "from", part.From, "peer", s.Peer())
		return false
	}
	select {
	case r.messages <- m:
		return true
	case <-ctx.Done():
	case <-r.stopped:
	}
	return false
}

// Propose implements control.Log.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{command: command, done: done}:
	case <-ctx.Done():
		return nil, deadline(oriolebend.RanNo, ctx.Err())
	case <-r.stopped:
		return nil, stopping(oriolebend.RanNo)
	}
	return r.await(ctx, done, oriolebend.RanUnknown)
}

// await waits for an outcome; ran is what to tell if none comes.
func (r *Replica) await(ctx context.Context, done <-chan outcome, ran oriolebend.Ran) ([]byte, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, deadline(ran, ctx.Err())
	case <-r.stopped:
	}
	select {
	case o := <-done:
		return o.result, o.err
	default:
		return nil, stopping(ran)
	}
}

// Confirm implements control.Log.
func (r *Replica) Confirm(ctx context.Context) error {
	_, err := r.ask(ctx, oriolebend.RanNo, func(id uint64) agreement.Event {
		return agreement.ConfirmRequested{Tick: r.tick(), ID: id}
	})
	return err
}

// AddMember adds a member, which votes once it has caught up. It returns when
// the member's joining is agreed, not when it has caught up; Status tells.
// Asked again, it changes nothing but the address.
func (r *Replica) AddMember(ctx context.Context, m message.Member) error {
	return r.change(ctx, agreement.ChangeAdd, m)
}

// RemoveMember removes a member. A leader that is to be removed hands over
// first and refuses with Reason notLeader; the next leader will do it.
func (r *Replica) RemoveMember(ctx context.Context, name string) error {
	return r.change(ctx, agreement.ChangeRemove, message.Member{Name: name})
}

func (r *Replica) change(ctx context.Context, action agreement.ChangeAction, m message.Member) error {
	_, err := r.ask(ctx, oriolebend.RanUnknown, func(id uint64) agreement.Event {
		return agreement.ChangeRequested{Tick: r.tick(), ID: id, Action: action, Member: m}
	})
	return err
}

// StopTogether has the stop to come hand no leadership over. It is for a group
// whose members all stop at once: the leader would otherwise wait, until
// Config.StopWithin is over, for a successor that stops as well.
func (r *Replica) StopTogether() { r.together.Store(true) }

// Transfer asks this member, if it leads, to hand over to another.
func (r *Replica) Transfer(ctx context.Context) error {
	return r.call(ctx, func() { r.step(agreement.TransferRequested{Tick: r.tick()}) })
}

// Backup copies the data folder into a new one; see disk.Store.Backup.
func (r *Replica) Backup(folder string) error { return r.store.Backup(folder) }

// ask has the reducer answer an event that carries an ID.
func (r *Replica) ask(ctx context.Context, ran oriolebend.Ran, event func(id uint64) agreement.Event) ([]byte, error) {
	done := make(chan outcome, 1)
	err := r.call(ctx, func() { r.step(event(r.expect(done))) })
	if err != nil {
		return nil, err
	}
	return r.await(ctx, done, ran)
}

// call runs f on the reducer's goroutine.
func (r *Replica) call(ctx context.Context, f func()) error {
	select {
	case r.asks <- f:
		return nil
	case <-ctx.Done():
		return deadline(oriolebend.RanNo, ctx.Err())
	case <-r.stopped:
		return stopping(oriolebend.RanNo)
	}
}

// expect gives an ID to someone who waits.
func (r *Replica) expect(done chan outcome) uint64 {
	r.lastID++
	r.waiting[r.lastID] = done
	return r.lastID
}

func deadline(ran oriolebend.Ran, cause error) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonDeadline, Ran: ran,
		Detail: "the caller's deadline passed before the control VMs agreed", Cause: cause,
	}
}

func stopping(ran oriolebend.Ran) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonStopping, Ran: ran,
		Detail: "this control VM is stopping", RetryAfter: retryStopping,
	}
}

// retryStopping is when a caller may come back after a stop: another leader
// is elected by then.
const retryStopping = 500 * time.Millisecond
