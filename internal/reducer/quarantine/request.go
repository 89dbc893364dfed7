package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// run is one run of a server, from the start of its process to its exit. Control VMs report
// each incarnation; a run whose incarnation is not known yet counts as a further run of the
// previous incarnation.
type run struct {
	message.ServerStart
	number int
}

func compareRuns(a, b run) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.number, b.number))
}

// runAt returns the run of a server to which a connection was opened at a time. It comes after
// all runs that had crashed before that time.
//
// While no control VM reports incarnations, a server that has crashed under a request and runs
// again is still known by its previous incarnation. If its second crash counted as the same
// run, it would add nothing, and the request would crash two servers in turns until a third
// one is among them.
func (r *request) runAt(start message.ServerStart, opened time.Time) run {
	current := run{ServerStart: start}
	for other, p := range r.reports {
		if other.ServerStart == start && p.at.Before(opened) {
			current.number = max(current.number, other.number+1)
		}
	}
	return current
}

// sameCrash is the largest time difference between two reports of one crash that name
// different incarnations.
const sameCrash = 250 * time.Millisecond

// duplicate reports whether the crash of a further run is also reported for another
// incarnation: its reporter had not been notified of that incarnation yet.
func (r *request) duplicate(crashed run) bool {
	if crashed.number == 0 {
		return false
	}
	for other, p := range r.reports {
		if other.Instance == crashed.Instance && other.Incarnation != crashed.Incarnation && !p.refuted &&
			p.at.Sub(r.reports[crashed].at).Abs() <= sameCrash {
			return true
		}
	}
	return false
}

// count returns how many runs of servers crashed under the request. Refuted reports don't
// count.
func (r *request) count() int {
	count := 0
	for crashed, p := range r.reports {
		if !p.refuted && !r.duplicate(crashed) {
			count++
		}
	}
	return count
}

// servers lists the instances that crashed under the request.
func (r *request) servers() []string {
	var list []string
	for crashed, p := range r.reports {
		if !p.refuted && !r.duplicate(crashed) {
			list = append(list, crashed.Instance)
		}
	}
	slices.Sort(list)
	return list
}

// add records the crash of a run. If there are too many reports, it replaces the oldest one.
func (r *request) add(at time.Time, crashed run, refuted bool) {
	if len(r.reports) >= maxReports {
		delete(r.reports, r.oldest())
	}
	r.reports[crashed] = &report{at: at, refuted: refuted}
	r.updateLast()
}

func (r *request) oldest() run {
	return slices.MinFunc(slices.Collect(maps.Keys(r.reports)), func(a, b run) int {
		if c := r.reports[a].at.Compare(r.reports[b].at); c != 0 {
			return c
		}
		return compareRuns(a, b)
	})
}

// refute marks all crashes as not caused by the request.
func (r *request) refute() {
	for _, p := range r.reports {
		p.refuted = true
	}
	r.updateLast()
}

// merge applies a report from another process, and reports whether it was new.
func (r *request) merge(at time.Time, m message.CrashReport) bool {
	received := run{message.ServerStart{Instance: m.Instance, Incarnation: m.Incarnation}, m.Life}
	known := r.reports[received]
	switch {
	case known == nil:
		crashedAt := at.Add(-max(0, m.Age))
		if len(r.reports) >= maxReports && !crashedAt.After(r.reports[r.oldest()].at) {
			return false // older than every report that is kept
		}
		r.add(crashedAt, received, m.Refuted)
		return true
	case m.Refuted && !known.refuted:
		known.refuted = true
		r.updateLast()
		return true
	}
	return false
}

// updateLast sets the time of the last crash under the request: of the reports that are not
// refuted, or of all reports if all are refuted.
func (r *request) updateLast() {
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
