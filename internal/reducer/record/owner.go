package record

import (
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// defaultLease is the lease of an owner that named none.
const defaultLease = 10 * time.Second

// maxLease bounds a lease: what a dead owner held waits for its end.
const maxLease = time.Hour

// owner is one start of one entry. The lease is the owner's and not the
// record's: one renewal covers all that the entry holds.
type owner struct {
	address  string
	leaseFor time.Duration
	leaseEnd int64
	open     list
}

// owner returns the owner of the name, known or new; a new one has no lease.
func (s *State) owner(name string) *owner {
	o, ok := s.owners[name]
	if !ok {
		o = &owner{leaseFor: defaultLease}
		s.owners[s.intern(name)] = o
	}
	return o
}

// leased reports whether the owner's lease is live at a time.
func (s *State) leased(name string, at int64) bool {
	o, ok := s.owners[name]
	return ok && at < o.leaseEnd
}

func (s *State) renew(m message.Renew) {
	o := s.owner(m.Owner)
	if m.Address != "" {
		o.address = m.Address
	}
	if m.LeaseFor > 0 {
		o.leaseFor = min(m.LeaseFor, maxLease)
	}
	o.leaseEnd = s.after(o.leaseFor)
	if m.Ended {
		o.leaseEnd = s.now
	}
}

// alive lengthens the lease of an owner that was heard of.
func (s *State) alive(name string) {
	if o, ok := s.owners[name]; ok {
		o.leaseEnd = max(o.leaseEnd, s.after(o.leaseFor))
	}
}

// endLeases settles what owners without a lease hold, at most limit records.
func (s *State) endLeases(limit int, e *Expired) {
	for _, name := range s.ended() {
		o := s.owners[name]
		for o.open.head != nil {
			if limit == 0 {
				e.More = true
				return
			}
			s.orphan(o.open.head, e)
			limit--
		}
		delete(s.owners, name)
		e.Owners++
	}
}

// ended lists the owners whose lease ended, sorted by name: a sweep that stops
// at its limit must stop at the same record on every control VM.
func (s *State) ended() []string {
	var names []string
	for name, o := range s.owners {
		if o.leaseEnd <= s.now {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
