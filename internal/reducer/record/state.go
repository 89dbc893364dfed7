package record

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// State holds all request records. The zero value is not usable; see New.
type State struct {
	index  uint64
	now    int64 // nanoseconds since 1970, from the last command
	limits Limits

	records  map[digest]*record // by scope
	byID     map[digest]*record // by request id, earlier ids included
	owners   map[string]*owner
	interned map[string]string

	unknown           *list
	settledOnce       *list
	settledRepeatable *list

	recordBytes int64
	answerBytes int64
	// evicted counts the answers that the current command evicted.
	evicted int
}

// New returns a state without records.
func New() *State {
	return &State{
		limits:   Limits{}.withDefaults(),
		records:  map[digest]*record{},
		byID:     map[digest]*record{},
		owners:   map[string]*owner{},
		interned: map[string]string{},

		unknown:           &list{},
		settledOnce:       &list{},
		settledRepeatable: &list{},
	}
}

// Apply applies one command. If a command with this index was already applied,
// Apply changes nothing and returns the zero Result. A log may deliver an entry
// again after a restart, and applying it again would extend leases and reopen
// records.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.index {
		return Result{}
	}
	s.index = index
	s.evicted = 0
	s.advanceClock(c.At.UnixNano())
	if c.Limits != nil {
		s.limits = c.Limits.withDefaults()
	}
	for _, r := range c.Renew {
		s.renewLease(r)
	}
	var result Result
	for _, t := range c.Settle {
		result.Settled = append(result.Settled, s.settle(t))
	}
	for _, r := range c.Resolve {
		result.Resolved = append(result.Resolved, s.resolve(r))
	}
	for _, m := range c.Claim {
		result.Claimed = append(result.Claimed, s.claim(m))
	}
	if c.Expire != nil {
		result.Expired = s.expire(*c.Expire)
	}
	result.Evicted = s.evicted
	return result
}

// advanceClock sets the time to that of a command. If no command was applied
// for longer than maxClockGap, it extends all leases by the gap. Owners can't
// renew while the log accepts no commands, so otherwise the first command after
// a lost quorum would end the lease of every entry at once, and the outcomes of
// all their running requests would be lost.
func (s *State) advanceClock(at int64) {
	gap := at - s.now
	if gap <= 0 {
		return
	}
	s.now = at
	if gap <= nanos(maxClockGap) {
		return
	}
	for _, o := range s.owners {
		o.leaseEnd += gap
	}
}

// maxClockGap is the longest time between two commands of a working log.
// Leaders propose an Expire every second, so a longer gap means that the log
// accepted no commands.
const maxClockGap = 5 * time.Second

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Sizes holds the sizes of the state, for metrics.
type Sizes struct {
	Records     int
	Unknown     int
	Owners      int
	Bytes       int64
	AnswerBytes int64
}

// Sizes returns the numbers of records and owners and the memory that they use.
func (s *State) Sizes() Sizes {
	return Sizes{
		Records:     len(s.records),
		Unknown:     s.unknown.length,
		Owners:      len(s.owners),
		Bytes:       s.recordBytes,
		AnswerBytes: s.answerBytes,
	}
}

// intern returns a shared copy of a string that many records repeat, such as
// an organisation.
func (s *State) intern(text string) string {
	if shared, ok := s.interned[text]; ok {
		return shared
	}
	if len(s.interned) >= maxInterned {
		clear(s.interned)
	}
	s.interned[text] = text
	return text
}

// maxInterned bounds the table of shared strings. A full table is cleared,
// which costs memory for a while and changes no replicated state.
const maxInterned = 16384

// updateList moves the record to the list of its state.
func (s *State) updateList(r *record) {
	if r.list != nil {
		r.list.remove(r)
	}
	switch {
	case r.open():
		s.findOrAddOwner(r.owner).open.push(r)
	case r.state == message.RecordUnknown:
		s.unknown.push(r)
	case r.once:
		s.settledOnce.push(r)
	default:
		s.settledRepeatable.push(r)
	}
}

// setState changes the state of a record and moves it to the list of that state.
func (s *State) setState(r *record, to message.RecordState) {
	r.state = to
	r.changed = s.now
	s.updateList(r)
}

// timeAfter returns the current time plus d, in nanoseconds since 1970.
func (s *State) timeAfter(d time.Duration) int64 { return s.now + nanos(d) }
