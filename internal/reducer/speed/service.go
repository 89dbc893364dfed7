// Package speed estimates how fast the servers of one service are relative to each other, from
// reports of the time that a server needed for a number of units of work: the events of a stream,
// the tokens of a prompt, or one plain answer. It is pure: time comes in reports.
//
// A unit is assumed to take factor x (base + slope x batch), where the batch is the number of
// requests that the server works on at the same time. Base and slope are common to the service, the
// factor belongs to one incarnation of a server. All estimates are in logarithms, so that half and
// twice the speed count the same.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// usualSlope is the part of the base by which each request in the batch is assumed to lengthen
	// a unit until reports with different batches show it.
	usualSlope = 0.03
	// slopeConfidence is the variance of the batch, in squared requests, from which on the reports
	// count more than usualSlope. A batch that varies by less than one request shows no slope.
	slopeConfidence = 1.0
	// largestSlopePart bounds the part of the mean time that the batch can cause, so that the base
	// stays positive whatever the reports are.
	largestSlopePart = 0.5
	// serviceWeight is the weight of a report in the common base and slope. One server that
	// changes its speed must not shift the base, which all servers of the service share.
	serviceWeight = 0.01
	// usualSpread is the assumed variance of the logarithm of single reports until reports show it:
	// a stream takes a quarter more or less than usual, since it meets pauses or none.
	usualSpread = 0.06
)

// Service is the common base and slope of the servers of a service. The zero value has no reports.
type Service struct {
	// Independent is set if the reports of a server do not overlap in time: each then says more.
	Independent bool

	count int
	// batch and value are the means of the batch and of the seconds for a unit at factor one,
	// variance and covariance their second moments.
	batch, value         float64
	variance, covariance float64
	// spread is the variance of the logarithm of single reports around the factors of their servers.
	spread float64
	// batchUnknown is set while there are only observations of other processes, which have no
	// batch. They are assumed to have that of the first own report.
	batchUnknown bool
	// uneven is set if the factor of any server differs from one.
	uneven bool
	// compared is how many servers the last median was taken of.
	compared int
}

// add adds the seconds for a unit at factor one.
func (v *Service) add(batch, value float64) {
	v.count++
	if v.count == 1 {
		v.spread = usualSpread
	}
	weight := max(serviceWeight, 1/float64(v.count))
	b, y := batch-v.batch, value-v.value
	v.batch += weight * b
	v.value += weight * y
	v.variance = (1 - weight) * (v.variance + weight*b*b)
	v.covariance = (1 - weight) * (v.covariance + weight*b*y)
}

// slope is by how many seconds each request in the batch lengthens a unit.
func (v *Service) slope() float64 {
	assumed := v.value * usualSlope / (1 + usualSlope*v.batch)
	slope := (v.covariance + slopeConfidence*assumed) / (v.variance + slopeConfidence)
	return min(max(0, slope), largestSlopePart*v.value/max(1, v.batch))
}

// Known reports whether there were enough reports to know the usual time.
func (v *Service) Known() bool { return v.count >= enoughReports }

// Line returns the base and the slope of the seconds for a unit, at factor one.
func (v *Service) Line() (base, slope float64) {
	slope = v.slope()
	return max(v.value-slope*v.batch, (1-largestSlopePart)*v.value), slope
}

// predict is the seconds for a unit of a server with factor one.
func (v *Service) predict(batch float64) float64 {
	base, slope := v.Line()
	return base + slope*batch
}

// Usual is the mean time for a unit, at factor one.
func (v *Service) Usual() time.Duration { return time.Duration(v.value * float64(time.Second)) }

// Compare compares the servers of a service and sets their factors. The median of the servers with
// enough reports becomes factor one.
func (v *Service) Compare(at time.Time, servers []*Server) {
	middle, compared := medianOf(servers)
	if v.compared = compared; compared > 1 {
		v.shift(servers, middle)
	}
	v.uneven = false
	for _, c := range servers {
		c.factor = v.difference(c, at)
		v.uneven = v.uneven || c.factor != 1
	}
}

// Uneven reports whether any factor differs from one.
func (v *Service) Uneven() bool { return v.uneven }

// shift makes a logarithm of a factor the new zero of all servers. The predictions stay the same.
func (v *Service) shift(servers []*Server, by float64) {
	scale := math.Exp(by)
	v.value, v.covariance = v.value*scale, v.covariance*scale
	for _, c := range servers {
		if c.count > 0 {
			c.log, c.recent = c.log-by, c.recent-by
		}
	}
}

// medianOf returns the median logarithm of the servers with enough reports, and how many these are.
func medianOf(servers []*Server) (float64, int) {
	logs := make([]float64, 0, len(servers))
	for _, c := range servers {
		if c.count >= enoughReports {
			logs = append(logs, c.log)
		}
	}
	if len(logs) == 0 {
		return 0, 0
	}
	slices.Sort(logs)
	return (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2, len(logs)
}
