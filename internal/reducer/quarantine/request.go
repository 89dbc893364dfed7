package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// count is how many starts of servers ended under the request, as far as that is not
// refuted.
func (r *request) count() int {
	count := 0
	for _, p := range r.reports {
		if !p.refuted {
			count++
		}
	}
	return count
}

// servers lists the instances that ended under the request.
func (r *request) servers() []string {
	var list []string
	for start, p := range r.reports {
		if !p.refuted {
			list = append(list, start.Instance)
		}
	}
	slices.Sort(list)
	return list
}

// add notes the end of a start, in place of the oldest one if there are too many.
func (r *request) add(at time.Time, start message.ServerStart, refuted bool) {
	if len(r.reports) >= mostReports {
		delete(r.reports, r.oldest())
	}
	r.reports[start] = &report{at: at, refuted: refuted}
	r.date()
}

func (r *request) oldest() message.ServerStart {
	return slices.MinFunc(slices.Collect(maps.Keys(r.reports)), func(a, b message.ServerStart) int {
		if c := r.reports[a].at.Compare(r.reports[b].at); c != 0 {
			return c
		}
		return compareStarts(a, b)
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
	start := message.ServerStart{Instance: m.Instance, Incarnation: m.Incarnation}
	known := r.reports[start]
	switch {
	case known == nil:
		ended := at.Add(-max(0, m.Age))
		if len(r.reports) >= mostReports && !ended.After(r.reports[r.oldest()].at) {
			return false // older than all that there is room for
		}
		r.add(ended, start, m.Refuted)
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
