// Package reached holds, in a control VM's memory, the revision that each
// follower has in force. Each control VM receives the reports of its own
// followers and sends them to the other control VMs, so that each of them can
// report the progress of a change.
package reached

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// ForgetAfter is how long a silent follower is listed.
	ForgetAfter = 10 * time.Minute
)

// Report is the latest report of one follower.
type Report struct {
	Node     string
	Role     string
	Revision uint64
	// At is when a control VM received the report, by the clock of this control VM.
	At time.Time
	// Control is the control VM that received the report.
	Control string
}

// Table holds the reports that one control VM knows.
type Table struct {
	self    string
	reports map[string]Report
}

// New returns the table of the control VM with the given name.
func New(self string) *Table {
	return &Table{self: self, reports: map[string]Report{}}
}

// Record records a report of a follower of this control VM. A lower revision
// than before is recorded too: the follower has restarted and has an older
// revision in force, or none.
func (t *Table) Record(at time.Time, m message.Reached) {
	t.reports[m.Node] = Report{Node: m.Node, Role: m.Role, Revision: m.Revision, At: at, Control: t.self}
}

// Merge applies the reports of another control VM. The latest report of a
// follower counts, whichever control VM received it. Messages contain ages
// instead of times, so that differences between clocks have no effect.
func (t *Table) Merge(at time.Time, m message.Followers) {
	for _, f := range m.List {
		reportedAt := at.Add(-f.Age)
		known, found := t.reports[f.Node]
		if found && known.At.After(reportedAt) {
			continue
		}
		t.reports[f.Node] = Report{Node: f.Node, Role: f.Role, Revision: f.Revision, At: reportedAt, Control: m.Control}
	}
}

// Forget drops the followers that have not reported for ForgetAfter.
func (t *Table) Forget(at time.Time) {
	maps.DeleteFunc(t.reports, func(_ string, r Report) bool { return at.Sub(r.At) > ForgetAfter })
}

// LocalFollowers returns the message that reports this control VM's followers to
// the other control VMs.
func (t *Table) LocalFollowers(at time.Time) message.Followers {
	m := message.Followers{Control: t.self}
	for _, r := range t.List() {
		if r.Control == t.self {
			m.List = append(m.List, message.Follower{Node: r.Node, Role: r.Role, Revision: r.Revision, Age: at.Sub(r.At)})
		}
	}
	return m
}

// List returns all reports, sorted by node.
func (t *Table) List() []Report {
	return slices.SortedFunc(maps.Values(t.reports), func(a, b Report) int { return cmp.Compare(a.Node, b.Node) })
}
