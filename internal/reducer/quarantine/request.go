package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// life is one life of a server, from the start of its process to its end. Control VMs tell of
// each start; one that nobody has told of yet is a further life of the start before.
type life struct {
	message.ServerStart
	number int
}

func compareLives(a, b life) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.number, b.number))
}

// lifeOf is the life of a server that a connection was opened to: a later one than those
// that had ended before.
//
// While no control VM tells of starts, a server that a request has ended and that runs again
// is known as the start before. Counted as that, its second end adds nothing, and the request
// ends servers that take turns until a third one is among them.
func (r *request) lifeOf(start message.ServerStart, opened time.Time) life {
	lives := life{ServerStart: start}
	for l, p := range r.reports {
		if l.ServerStart == start && p.at.Before(opened) {
			lives.number = max(lives.number, l.number+1)
		}
	}
	return lives
}

// sameEnd is by how much reports of one end differ at most that name it differently.
const sameEnd = 250 * time.Millisecond

// toldOtherwise reports whether the end of a further life is also known as that of another
// start: who reported it had not been told of that start yet.
func (r *request) toldOtherwise(l life) bool {
	if l.number == 0 {
		return false
	}
	for other, p := range r.reports {
		if other.Instance == l.Instance && other.Incarnation != l.Incarnation && !p.refuted &&
			p.at.Sub(r.reports[l].at).Abs() <= sameEnd {
			return true
		}
	}
	return false
}

// count is how many lives of servers ended under the request, as far as that is not refuted.
func (r *request) count() int {
	count := 0
	for l, p := range r.reports {
		if !p.refuted && !r.toldOtherwise(l) {
			count++
		}
	}
	return count
}

// servers lists the instances that ended under the request.
func (r *request) servers() []string {
	var list []string
	for l, p := range r.reports {
		if !p.refuted && !r.toldOtherwise(l) {
			list = append(list, l.Instance)
		}
	}
	slices.Sort(list)
	return list
}

// add notes the end of a life, in place of the oldest one if there are too many.
func (r *request) add(at time.Time, ended life, refuted bool) {
	if len(r.reports) >= mostReports {
		delete(r.reports, r.oldest())
	}
	r.reports[ended] = &report{at: at, refuted: refuted}
	r.date()
}

func (r *request) oldest() life {
	return slices.MinFunc(slices.Collect(maps.Keys(r.reports)), func(a, b life) int {
		if c := r.reports[a].at.Compare(r.reports[b].at); c != 0 {
			return c
		}
		return compareLives(a, b)
	})
}

// refute marks all ends as not caused by the request.
func (r *request) refute() {
	for _, p := range r.reports {
		p.refuted = true
	}
	r.date()
}

// merge takes in a report that another process told; true means that it was not known.
func (r *request) merge(at time.Time, m message.CrashReport) bool {
	told := life{message.ServerStart{Instance: m.Instance, Incarnation: m.Incarnation}, m.Life}
	known := r.reports[told]
	switch {
	case known == nil:
		ended := at.Add(-max(0, m.Age))
		if len(r.reports) >= mostReports && !ended.After(r.reports[r.oldest()].at) {
			return false // older than all that there is room for
		}
		r.add(ended, told, m.Refuted)
		return true
	case m.Refuted && !known.refuted:
		known.refuted = true
		r.date()
		return true
	}
	return false
}

// date finds when a server ended under the request last: of those that are not refuted,
// if there are any.
func (r *request) date() {
	var last, refuted time.Time
	for _, p := range r.reports {
		switch {
		case p.refuted && p.at.After(refuted):
			refuted = p.at
		case !p.refuted && p.at.After(last):
			last = p.at
		}
	}
	if r.last = last; last.IsZero() {
		r.last = refuted
	}
}
