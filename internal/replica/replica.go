// Package replica runs a control VM's member of the agreement group. It connects the pure reducer
// of package agreement with the data folder of package disk and the streams of package peer.
//
// One goroutine runs the reducer. A second one makes changes durable; those that arrive during one
// sync share the next. A third applies committed commands to the state machine, and one goroutine
// for each other member sends messages to it.
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

// Capacities of the queues to the reducer.
const (
	messageQueue  = 1024
	proposalQueue = 1024
	callQueue     = 64
)

// logParts is the number of segments that make up the log before a snapshot is due. The tail of
// entries that is kept before a snapshot is bounded by the same fraction of Config.SnapshotBytes.
const logParts = 4

// Replica is one running member. It implements control.Log.
type Replica struct {
	config Config
	store  *disk.Store
	state  *agreement.State
	start  time.Time

	messages  chan message.Message
	proposals chan proposal
	calls     chan func()
	stopped   chan struct{}

	saver   *saver
	applier *applier
	senders map[string]*sender

	// waiting maps the ID of a proposal, change or confirmation to the caller that waits for its
	// outcome. Only the reducer's goroutine uses it and the fields below it, except groupStops,
	// leader and status.
	waiting  map[uint64]chan outcome
	lastID   uint64
	refusals map[oriolebend.Reason]uint64
	stopping bool
	// transferring is set while a stopping member that led transfers its leadership.
	transferring bool
	// leaveBy is until when a stopping member waits for its removal.
	leaveBy time.Time
	// groupStops is set if the whole group is about to stop.
	groupStops atomic.Bool
	// transferred is set once the stopping member has stepped down as leader.
	transferred bool
	disk        diskState

	leader atomic.Pointer[leaderView]
	status atomic.Pointer[Status]
}

var _ control.Log = (*Replica)(nil)

// proposal is a command that was not yet passed to the reducer.
type proposal struct {
	command []byte
	done    chan outcome
}

// outcome is the outcome of a proposal, change or confirmation.
type outcome struct {
	result []byte
	err    error
}

// New opens the data folder and restores the state machine from it. Errors are *disk.Error values
// or those of the state machine.
func New(config Config) (*Replica, error) {
	config = config.withDefaults()
	store, loaded, err := disk.Open(disk.Config{
		Folder:     config.DataFolder,
		Group:      config.Group,
		Name:       config.Name,
		Founder:    !config.JoinOnly,
		FileSystem: config.FileSystem,
		// Only complete segments are dropped, so they must be small compared with the log.
		SegmentBytes: min(disk.DefaultSegmentBytes, config.SnapshotBytes/logParts),
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
		calls:     make(chan func(), callQueue),
		stopped:   make(chan struct{}),
		senders:   map[string]*sender{},
		waiting:   map[uint64]chan outcome{},
		refusals:  map[oriolebend.Reason]uint64{},
	}
	r.saver = newSaver(store)
	r.applier = newApplier(config, store, loaded)
	r.start = time.Now()
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
		JoinOnly:     r.config.JoinOnly && !r.store.Identity().Founder,
		Seed:         r.config.Seed,
		Start:        rand.Uint64() | 1, // never zero
		MinVoters:    r.config.MinVoters,
		MaxUnapplied: r.config.MaxUnapplied,
		TailEntries:  r.config.TailEntries,
		TailBytes:    int(min(agreement.DefaultTailBytes, r.config.SnapshotBytes/logParts)),
	}
}

// Serve receives the messages of a stream that another member opened, until the stream or the
// context ends. first holds messages that the caller has already read from the stream. A message
// that is not from the stream's own peer ends the stream.
func (r *Replica) Serve(ctx context.Context, s peer.Stream, first ...message.Message) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	defer s.Close()
	for _, m := range first {
		if !r.enqueue(ctx, s, m) {
			return
		}
	}
	for {
		m, err := s.Receive()
		if err != nil || !r.enqueue(ctx, s, m) {
			return
		}
	}
}

func (r *Replica) enqueue(ctx context.Context, s peer.Stream, m message.Message) bool {
	part, ok := message.AgreementPart(m)
	if !ok || part.From != s.Peer() {
		r.config.Logger.Warn("refused a message that is not from the stream's peer", "kind", m.Kind(), "from", part.From, "peer", s.Peer())
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
		return nil, deadlineProblem(oriolebend.RanNo, ctx.Err())
	case <-r.stopped:
		return nil, stoppingProblem(oriolebend.RanNo)
	}
	return r.await(ctx, done, oriolebend.RanUnknown)
}

// await waits for an outcome; ran is the Ran of the problem that is returned if the caller's
// context or this member ends first.
func (r *Replica) await(ctx context.Context, done <-chan outcome, ran oriolebend.Ran) ([]byte, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, deadlineProblem(ran, ctx.Err())
	case <-r.stopped:
	}
	select {
	case o := <-done:
		return o.result, o.err
	default:
		return nil, stoppingProblem(ran)
	}
}

// Confirm implements control.Log.
func (r *Replica) Confirm(ctx context.Context) error {
	_, err := r.request(ctx, oriolebend.RanNo, func(id uint64) agreement.Event {
		return agreement.ConfirmRequested{Tick: r.tick(), ID: id}
	})
	return err
}

// AddMember adds a member, which votes once it has caught up. It returns when the addition is
// agreed, not when the member has caught up; Status reports that. A repeated call changes nothing
// but the address.
func (r *Replica) AddMember(ctx context.Context, m message.Member) error {
	return r.changeMembers(ctx, agreement.ChangeAdd, m)
}

// RemoveMember removes a member. A leader that is to be removed transfers its leadership first and
// refuses with Reason notLeader; the next leader can then remove it.
func (r *Replica) RemoveMember(ctx context.Context, name string) error {
	return r.changeMembers(ctx, agreement.ChangeRemove, message.Member{Name: name})
}

func (r *Replica) changeMembers(ctx context.Context, action agreement.ChangeAction, m message.Member) error {
	_, err := r.request(ctx, oriolebend.RanUnknown, func(id uint64) agreement.Event {
		return agreement.ChangeRequested{Tick: r.tick(), ID: id, Action: action, Member: m}
	})
	return err
}

// StopTogether disables the transfer of leadership at the coming stop. It is for a group whose
// members all stop at once: the leader would otherwise wait, until Config.StopWithin has passed,
// for a successor that stops as well.
func (r *Replica) StopTogether() { r.groupStops.Store(true) }

// Transfer has this member, if it leads, transfer its leadership to another.
func (r *Replica) Transfer(ctx context.Context) error {
	return r.call(ctx, func() { r.step(agreement.TransferRequested{Tick: r.tick()}) })
}

// Backup copies the data folder into a new one; see disk.Store.Backup.
func (r *Replica) Backup(folder string) error { return r.store.Backup(folder) }

// request passes an event with a new ID to the reducer and waits for its outcome.
func (r *Replica) request(ctx context.Context, ran oriolebend.Ran, event func(id uint64) agreement.Event) ([]byte, error) {
	done := make(chan outcome, 1)
	err := r.call(ctx, func() { r.step(event(r.register(done))) })
	if err != nil {
		return nil, err
	}
	return r.await(ctx, done, ran)
}

// call runs f on the reducer's goroutine.
func (r *Replica) call(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-ctx.Done():
		return deadlineProblem(oriolebend.RanNo, ctx.Err())
	case <-r.stopped:
		return stoppingProblem(oriolebend.RanNo)
	}
}

// register assigns an ID to a caller that waits for an outcome.
func (r *Replica) register(done chan outcome) uint64 {
	r.lastID++
	r.waiting[r.lastID] = done
	return r.lastID
}

func deadlineProblem(ran oriolebend.Ran, cause error) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonDeadline, Ran: ran,
		Detail: "the caller's deadline passed before the control VMs agreed", Cause: cause,
	}
}

func stoppingProblem(ran oriolebend.Ran) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonStopping, Ran: ran,
		Detail: "this control VM is stopping", RetryAfter: stoppingRetryAfter,
	}
}

// stoppingRetryAfter is the delay before a refused caller may retry; another leader is elected by
// then.
const stoppingRetryAfter = 500 * time.Millisecond
