package quotalease

import (
	"slices"
	"time"
)

// membersMemory is for how long a larger number of members counts. A member that one side of a
// partition removes within that time can't let two sides have half of the members each.
const membersMemory = time.Minute

// members is the group as this member knows it.
type members struct {
	names []string
	// sightings holds numbers of members seen within membersMemory, the largest first.
	sightings []sighting
}

type sighting struct {
	count int
	at    time.Time
}

// note records a number of members that this or another member knows.
func (m *members) note(at time.Time, count int) {
	m.sightings = slices.DeleteFunc(m.sightings, func(s sighting) bool {
		return s.count <= count || at.Sub(s.at) > membersMemory
	})
	m.sightings = append(m.sightings, sighting{count, at})
}

// count returns the largest number of members seen within membersMemory.
func (m *members) count() int {
	if len(m.sightings) == 0 {
		return 0
	}
	return m.sightings[0].count
}

func (m *members) has(name string) bool { return slices.Contains(m.names, name) }

// others returns all members but one.
func (m *members) others(self string) []string {
	return slices.DeleteFunc(slices.Clone(m.names), func(n string) bool { return n == self })
}
