package record

import (
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// defaultLease is the lease of an owner that requested no duration.
const defaultLease = 10 * time.Second

// maxLease bounds a lease, because the records of a dead owner stay open until
// its lease ends.
const maxLease = time.Hour

// owner is one incarnation of an entry. The lease belongs to the owner and not
// to each record, so one renewal covers all records that the entry owns.
type owner struct {
	address  string
	leaseFor time.Duration
	leaseEnd int64
	open     list
}

// findOrAddOwner returns the owner with the name and adds it if there is none. A
// new owner has no lease.
func (s *State) findOrAddOwner(name string) *owner {
	o, ok := s.owners[name]
	if !ok {
		o = &owner{leaseFor: defaultLease}
		s.owners[s.intern(name)] = o
	}
	return o
}

// hasLease reports whether the owner's lease is valid at a time.
func (s *State) hasLease(name string, at int64) bool {
	o, ok := s.owners[name]
	return ok && at < o.leaseEnd
}

func (s *State) renewLease(m message.Renew) {
	o := s.findOrAddOwner(m.Owner)
	if m.Address != "" {
		o.address = m.Address
	}
	if m.LeaseFor > 0 {
		o.leaseFor = min(m.LeaseFor, maxLease)
	}
	o.leaseEnd = s.timeAfter(o.leaseFor)
	if m.Ended {
		o.leaseEnd = s.now
	}
}

// extendLease extends the lease of an owner that sent a settle. It never
// shortens it.
func (s *State) extendLease(name string) {
	if o, ok := s.owners[name]; ok {
		o.leaseEnd = max(o.leaseEnd, s.timeAfter(o.leaseFor))
	}
}

// expireLeases settles the open records of owners whose lease ended, at most
// limit records.
func (s *State) expireLeases(limit int, e *Expired) {
	for _, name := range s.expiredOwners() {
		o := s.owners[name]
		for o.open.head != nil {
			if limit == 0 {
				e.More = true
				return
			}
			s.settleOrphan(o.open.head, e)
			limit--
		}
		delete(s.owners, name)
		e.Owners++
	}
}

// expiredOwners lists the owners whose lease ended. They are sorted by name,
// because an expiry that stops at its limit must stop at the same record on
// every control VM.
func (s *State) expiredOwners() []string {
	var names []string
	for name, o := range s.owners {
		if o.leaseEnd <= s.now {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
