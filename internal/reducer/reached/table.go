// Package reached holds, in a control VM's memory, which revision each
// follower has in force. Each control VM hears of its own followers and tells
// the others, so that any of them can say how far a change has come.
package reached

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Bounds of time.
const (
	// ForgetAfter is how long a follower that is silent is still listed.
	ForgetAfter = 10 * time.Minute
)

// Report is the latest word of one follower.
type Report struct {
	Node     string
	Role     string
	Revision uint64
	// At is when it was given, by the clock of this control VM.
	At time.Time
	// Control is the control VM that heard it.
	Control string
}

// Table is what one control VM knows.
type Table struct {
	self    string
	reports map[string]Report
}

// New returns the table of the control VM of that name.
func New(self string) *Table {
	return &Table{self: self, reports: map[string]Report{}}
}

// Record takes the word of a follower of this control VM. A lower revision
// than before is taken too: the follower restarted and has less in force.
func (t *Table) Record(at time.Time, m message.Reached) {
	t.reports[m.Node] = Report{Node: m.Node, Role: m.Role, Revision: m.Revision, At: at, Control: t.self}
}

// Merge takes what another control VM told. The later word of a follower
// counts, whoever heard it; ages are told, not times, so that clocks that
// differ do no harm.
func (t *Table) Merge(at time.Time, m message.Followers) {
	for _, f := range m.List {
		heard := at.Add(-f.Age)
		known, found := t.reports[f.Node]
		if found && known.At.After(heard) {
			continue
		}
		t.reports[f.Node] = Report{Node: f.Node, Role: f.Role, Revision: f.Revision, At: heard, Control: m.Control}
	}
}

// Forget drops the followers that were silent for too long.
func (t *Table) Forget(at time.Time) {
	maps.DeleteFunc(t.reports, func(_ string, r Report) bool { return at.Sub(r.At) > ForgetAfter })
}

// LocalFollowers makes the message that tells the others of this control VM's followers.
func (t *Table) LocalFollowers(at time.Time) message.Followers {
	m := message.Followers{Control: t.self}
	for _, r := range t.List() {
		if r.Control == t.self {
			m.List = append(m.List, message.Follower{Node: r.Node, Role: r.Role, Revision: r.Revision, Age: at.Sub(r.At)})
		}
	}
	return m
}

// List returns all reports by node.
func (t *Table) List() []Report {
	return slices.SortedFunc(maps.Values(t.reports), func(a, b Report) int { return cmp.Compare(a.Node, b.Node) })
}
