package agreement

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
)

// sim simulates a group: messages wait to be delivered and writes wait to be synced until a test
// lets them, and every guarantee is checked after each event.
type sim struct {
	config   Config
	vms      []*vm
	now      uint64
	inFlight []envelope
	// kept holds messages that were kept on their way.
	kept []envelope
	// outlives is set if the messages of a member that crashes still arrive.
	outlives bool
	cut      map[[2]string]bool
	leaders  map[uint64]string
	// agreed maps each applied index to the hash of the log up to it.
	agreed map[uint64]uint64
	// acked is the highest index that was confirmed to a proposer, or that a confirmed read has
	// seen.
	acked  uint64
	nextID uint64
	// exchangeStarts numbers the incarnations of the members by starts, so that members report to
	// each other that they have just restarted. If it is false, Config.Start is zero.
	exchangeStarts bool
	starts         uint64
	reads          map[uint64]uint64
	refused        map[string]int
	failure        string
}

type envelope struct {
	from, to string
	m        message.Message
}

type vm struct {
	name   string
	state  *State
	alive  bool
	noSync bool
	// suspended is set while the member stands still with its clock; behind is how much its clock has
	// lost by that.
	suspended bool
	behind    uint64
	durable   Restored
	stored    []Snapshot
	pending   []Persist
	hash      uint64
	index     uint64
}

func newSim(names []string, founders int, config Config, options ...func(*sim)) *sim {
	s := &sim{
		config: config, now: 1, cut: map[[2]string]bool{}, leaders: map[uint64]string{},
		agreed: map[uint64]uint64{}, reads: map[uint64]uint64{}, refused: map[string]int{},
	}
	for _, set := range options {
		set(s)
	}
	for i, name := range names {
		if i < founders {
			s.config.Founders = append(s.config.Founders,
				message.Member{Name: name, Address: name, Voter: true})
		}
		s.vms = append(s.vms, &vm{name: name})
	}
	for _, v := range s.vms[:founders] {
		s.start(v)
	}
	return s
}

// withStarts makes the members report to each other that they have just restarted.
func withStarts(s *sim) { s.exchangeStarts = true }

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// clock returns the time of a member's own clock.
func (s *sim) clock(v *vm) uint64 { return s.now - v.behind }

func (s *sim) vm(name string) *vm {
	at := slices.IndexFunc(s.vms, func(v *vm) bool { return v.name == name })
	return s.vms[at]
}

// hasVM reports whether a member of this name exists; a relay has no member.
func (s *sim) hasVM(name string) bool {
	return slices.ContainsFunc(s.vms, func(v *vm) bool { return v.name == name })
}

func (s *sim) start(v *vm) {
	config := s.config
	config.Name = v.name
	config.Seed = uint64(v.name[0])<<32 + s.now
	if s.exchangeStarts {
		s.starts++
		config.Start = s.starts
	}
	v.alive = true
	v.pending = nil
	v.index, v.hash = 0, 0
	if len(v.stored) > 0 {
		v.restore(v.stored[len(v.stored)-1].Data)
	}
	restored := v.durable
	restored.Entries = slices.Clone(restored.Entries)
	v.state = New(config, restored, s.clock(v))
}

// crash loses the writes that are not synced. The given number of them reached the disk, although
// their sync was never reported; these are kept.
func (s *sim) crash(v *vm, written int) {
	for _, p := range v.pending[:min(written, len(v.pending))] {
		v.write(p)
	}
	v.alive, v.pending = false, nil
	if !s.outlives {
		s.inFlight = slices.DeleteFunc(s.inFlight, func(w envelope) bool { return w.from == v.name })
	}
}

func (s *sim) wipe(v *vm) {
	s.crash(v, 0)
	v.durable, v.stored = Restored{}, nil
}

func (s *sim) feed(v *vm, e Event) {
	if !v.alive || v.suspended || s.failure != "" {
		return
	}
	for _, effect := range Reduce(v.state, e) {
		s.carryOut(v, effect)
	}
	s.checkLeaders()
}

func (s *sim) carryOut(v *vm, effect Effect) {
	switch e := effect.(type) {
	case Send:
		s.inFlight = append(s.inFlight, envelope{v.name, e.To.Name, e.Message})
	case SendChunk:
		s.sendChunk(v, e)
	case Persist:
		v.pending = append(v.pending, e)
	case Compact:
		v.durable.Entries = slices.DeleteFunc(v.durable.Entries,
			func(entry message.LogEntry) bool { return entry.Index <= e.Through })
	case Apply:
		s.apply(v, e)
	case Restore:
		v.restore(e.Snapshot.Data)
		s.checkHash(v)
		s.feed(v, Applied{s.clock(v), v.index})
	case Confirmed:
		if v.index < s.reads[e.ID] {
			s.fail("%s confirmed a read at index %d after index %d had been confirmed", v.name, v.index, s.reads[e.ID])
		}
		s.acked = max(s.acked, v.index)
	case Refused:
		s.refused[string(e.Reason)+" "+string(e.Ran)]++
	case LeadershipChanged:
		s.recordLeader(v, e)
	case Fatal:
		s.fail("%s: fatal: %s", v.name, e.Detail)
	}
}

func (s *sim) recordLeader(v *vm, e LeadershipChanged) {
	if e.Role != Leader {
		return
	}
	if other, ok := s.leaders[e.Term]; ok && other != v.name {
		s.fail("term %d has two leaders, %s and %s", e.Term, other, v.name)
	}
	s.leaders[e.Term] = v.name
}

// checkLeaders checks that no two members hold a lease at the same time.
func (s *sim) checkLeaders() {
	leading := ""
	for _, v := range s.vms {
		if !v.alive || v.suspended || v.state.Role != Leader {
			continue
		}
		if s.clock(v) >= v.state.LeaseEnd() && v.state.voters() > 1 {
			continue
		}
		if leading != "" {
			s.fail("%s and %s both lead at tick %d", leading, v.name, s.now)
		}
		leading = v.name
	}
}

func (s *sim) apply(v *vm, e Apply) {
	for _, c := range e.Entries {
		if c.Entry.Index != v.index+1 {
			s.fail("%s applied entry %d after entry %d", v.name, c.Entry.Index, v.index)
		}
		h := fnv.New64a()
		fmt.Fprint(h, v.hash, c.Entry.Term, c.Entry.Type, string(c.Entry.Command), c.Entry.Members)
		v.index, v.hash = c.Entry.Index, h.Sum64()
		s.checkHash(v)
		if c.ID != 0 {
			s.acked = max(s.acked, v.index)
		}
	}
	s.feed(v, Applied{s.clock(v), v.index})
}

func (s *sim) checkHash(v *vm) {
	if agreed, ok := s.agreed[v.index]; ok && agreed != v.hash {
		s.fail("%s differs from the agreed log up to index %d", v.name, v.index)
	}
	s.agreed[v.index] = v.hash
}

func (v *vm) restore(data []byte) {
	v.index = binary.BigEndian.Uint64(data)
	v.hash = binary.BigEndian.Uint64(data[8:])
}

func (v *vm) snapshot() []byte {
	data := binary.BigEndian.AppendUint64(nil, v.index)
	return binary.BigEndian.AppendUint64(data, v.hash)
}

func (s *sim) sendChunk(v *vm, e SendChunk) {
	for _, stored := range v.stored {
		if stored.Meta.Index != e.Chunk.Index {
			continue
		}
		rest := stored.Data[e.Chunk.Offset:]
		e.Chunk.Data = rest[:min(len(rest), e.Bytes)]
		e.Chunk.Last = len(e.Chunk.Data) == len(rest)
		s.inFlight = append(s.inFlight, envelope{v.name, e.To.Name, e.Chunk})
	}
}

func (v *vm) write(p Persist) {
	d := &v.durable
	if p.Snapshot != nil {
		d.Snapshot, d.Entries = p.Snapshot.Meta, nil
		v.keep(*p.Snapshot)
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries),
			func(e message.LogEntry) bool { return e.Index >= first })
		d.Entries = append(d.Entries, p.Entries...)
	}
	if p.Hard != nil {
		d.Hard = *p.Hard
	}
}

func (v *vm) keep(snapshot Snapshot) {
	v.stored = append(v.stored, snapshot)
	v.stored = v.stored[max(0, len(v.stored)-2):]
}

func (s *sim) sync(v *vm, count int) {
	if !v.alive || len(v.pending) == 0 {
		return
	}
	done := v.pending[:min(count, len(v.pending))]
	v.pending = v.pending[len(done):]
	for _, p := range done {
		v.write(p)
	}
	s.feed(v, Persisted{s.clock(v), done[len(done)-1].Sequence})
}

func (s *sim) makeSnapshot(v *vm) {
	if !v.alive || v.index <= v.durable.Snapshot.Index {
		return
	}
	meta := SnapshotMeta{Index: v.index, Members: v.state.membersAt(v.index)}
	meta.Term, _ = v.state.log.term(v.index)
	v.keep(Snapshot{Meta: meta, Data: v.snapshot()})
	v.durable.Snapshot = meta
	s.feed(v, SnapshotMade{s.clock(v), meta})
}

// membersAt returns the members in force at an index that the log holds.
func (s *State) membersAt(index uint64) []message.Member {
	for i := index; i > s.log.base; i-- {
		if e := s.log.at(i); e.Type == message.EntryMembers {
			return e.Members
		}
	}
	if s.Snapshot.Index > 0 {
		return s.Snapshot.Members
	}
	return s.Config.Founders
}

func (s *sim) deliver(i int) {
	w := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if s.cut[[2]string{w.from, w.to}] || !s.hasVM(w.to) {
		return
	}
	s.feed(s.vm(w.to), Received{s.clock(s.vm(w.to)), w.m})
}

func (s *sim) propose(v *vm, count int) {
	if !v.alive {
		return
	}
	var proposals []Proposal
	for range count {
		s.nextID++
		proposals = append(proposals, Proposal{s.nextID, fmt.Appendf(nil, "%s%d", v.name, s.nextID)})
	}
	s.feed(v, Proposed{s.clock(v), proposals})
}

func (s *sim) confirm(v *vm) {
	s.nextID++
	s.reads[s.nextID] = s.acked
	s.feed(v, ConfirmRequested{s.clock(v), s.nextID})
}

func (s *sim) change(v *vm, action ChangeAction, name string) {
	s.nextID++
	s.feed(v, ChangeRequested{s.clock(v), s.nextID, action, message.Member{Name: name, Address: name}})
}

// run advances the clock tick by tick; every message is delivered and every write is synced,
// except on members with noSync.
func (s *sim) run(ticks int) {
	for range ticks {
		s.now++
		for _, v := range s.vms {
			if v.suspended {
				v.behind++
			}
			s.feed(v, Ticked{s.clock(v)})
		}
		for range 6 {
			for n := len(s.inFlight); n > 0; n-- {
				s.deliver(0)
			}
			for _, v := range s.vms {
				if !v.noSync {
					s.sync(v, len(v.pending))
				}
			}
		}
	}
}

func (s *sim) leader() *vm {
	for _, v := range s.vms {
		if v.alive && v.state.Role == Leader {
			return v
		}
	}
	return nil
}

// healthy reports whether the durable state of a member holds all entries that it may have
// accepted.
func (v *vm) healthy() bool {
	d := v.durable
	return d.Hard.RecoverTo == 0 && (d.Snapshot.Index > 1 || len(d.Entries) > 1)
}

// status describes the state of all members, one a line.
func (s *sim) status() string {
	var text strings.Builder
	for _, v := range s.vms {
		if v.state == nil {
			continue
		}
		if !v.alive {
			fmt.Fprintf(&text, "%s stopped\n", v.name)
			continue
		}
		st := v.state
		fmt.Fprintf(&text, "%s %s term=%d last=%d synced=%d commit=%d applied=%d snapshot=%d", v.name,
			st.Role, st.Hard.Term, st.Last(), st.Synced, st.Commit, st.Applied, st.Snapshot.Index)
		if st.log.base > 0 {
			fmt.Fprintf(&text, " base=%d", st.log.base)
		}
		if st.Hard.RecoverTo > 0 {
			fmt.Fprintf(&text, " recoverTo=%d", st.Hard.RecoverTo)
		}
		fmt.Fprint(&text, " members=")
		for _, m := range st.Members {
			name := m.Name
			if !m.Voter {
				name = "(" + name + ")"
			}
			fmt.Fprint(&text, name)
		}
		fmt.Fprintln(&text)
	}
	return text.String()
}
