package record

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// State is all request records. The zero value is not usable; see New.
type State struct {
	index  uint64
	now    int64
	limits Limits

	records map[digest]*request
	ids     map[digest]*request
	owners  map[string]*owner
	strings map[string]string

	unknown           *list
	settledOnce       *list
	settledRepeatable *list

	bytes       int64
	answerBytes int64
	// evicted counts the answers that the present command made room from.
	evicted int
}

// New returns a state without records.
func New() *State {
	return &State{
		limits:  Limits{}.withDefaults(),
		records: map[digest]*request{},
		ids:     map[digest]*request{},
		owners:  map[string]*owner{},
		strings: map[string]string{},

		unknown:           &list{},
		settledOnce:       &list{},
		settledRepeatable: &list{},
	}
}

// Apply carries out one command. An index that was applied already changes
// nothing and gives the zero Result: a log that hands an entry out twice after
// a restart would otherwise lengthen leases and reopen records.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.index {
		return Result{}
	}
	s.index = index
	s.evicted = 0
	s.pass(c.At.UnixNano())
	if c.Limits != nil {
		s.limits = c.Limits.withDefaults()
	}
	for _, r := range c.Renew {
		s.renew(r)
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

// pass moves time on. While the log stands still no owner can renew, so a
// time without commands is not counted against leases: otherwise the first
// command after a lost quorum would end the lease of every entry at once and
// turn all that they run into lost outcomes.
func (s *State) pass(at int64) {
	gap := at - s.now
	if gap <= 0 {
		return
	}
	s.now = at
	if gap <= nanos(quietAfter) {
		return
	}
	for _, o := range s.owners {
		o.leaseEnd += gap
	}
}

// quietAfter is the time without commands after which the log is taken to
// have stood still; leaders pass time every second.
const quietAfter = 5 * time.Second

// Index is that of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Sizes of the state, for gauges.
type Sizes struct {
	Records     int
	Unknown     int
	Owners      int
	Bytes       int64
	AnswerBytes int64
}

// Sizes counts what the state holds.
func (s *State) Sizes() Sizes {
	return Sizes{
		Records:     len(s.records),
		Unknown:     s.unknown.length,
		Owners:      len(s.owners),
		Bytes:       s.bytes,
		AnswerBytes: s.answerBytes,
	}
}

// intern shares strings that many records repeat, such as organisations.
func (s *State) intern(text string) string {
	if held, ok := s.strings[text]; ok {
		return held
	}
	if len(s.strings) >= maxInterned {
		clear(s.strings)
	}
	s.strings[text] = text
	return text
}

// maxInterned bounds the shared strings; a full table is begun anew, which
// costs memory for a while and changes no state.
const maxInterned = 16384

// place puts the record into the list of its state.
func (s *State) place(r *request) {
	if r.in != nil {
		r.in.remove(r)
	}
	switch {
	case r.open():
		s.owner(r.owner).open.push(r)
	case r.state == message.RecordUnknown:
		s.unknown.push(r)
	case r.once:
		s.settledOnce.push(r)
	default:
		s.settledRepeatable.push(r)
	}
}

// move changes the state of a record.
func (s *State) move(r *request, to message.RecordState) {
	r.state = to
	r.changed = s.now
	s.place(r)
}

func (s *State) after(d time.Duration) int64 { return s.now + nanos(d) }
