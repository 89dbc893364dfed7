package speed

import (
	"math"
	"time"
)

// Observation is the summary of one process's reports of a server: their number and the geometric
// mean of the time for a unit.
type Observation struct {
	Count int
	Mean  time.Duration
}

const (
	// mostMerged is how many reports an observation of another process counts at most: it contains
	// no batch, and later reports correct it.
	mostMerged = 10
	// keptFor is how long a process passes on its observations of a server.
	keptFor = 2 * time.Minute
)

// Observation returns the summary of a server's reports; false if there are no recent ones.
func (v *Service) Observation(at time.Time, c *Server) (Observation, bool) {
	if c.direct == 0 || at.Sub(c.last) > keptFor {
		return Observation{}, false
	}
	mean := math.Exp(c.log) * v.predict(v.batch)
	return Observation{Count: c.direct, Mean: time.Duration(mean * float64(time.Second))}, true
}

// Merge adds an observation of another process. It returns false if the observation was ignored.
// That is so if it can't be right, or if there are enough own reports: these probably include those
// of the observation.
func (v *Service) Merge(c *Server, at time.Time, o Observation) bool {
	per, valid := Report{Took: o.Mean, Units: 1}.perUnit()
	if !valid || o.Count <= 0 || c.direct >= enoughReports {
		return false
	}
	if v.count == 0 {
		v.add(0, per)
		v.batchUnknown = true
	}
	v.observe(c, at, v.batch, per, min(o.Count, mostMerged))
	return true
}
