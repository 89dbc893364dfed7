package speed

import (
	"math"
	"time"
)

const (
	// enoughReports is how many reports of a server are needed for an estimate.
	enoughReports = 5
	// reportWeight is the weight of a report in the factor of its server: about the last twenty
	// count, the generations of an engine during a few seconds.
	reportWeight = 0.1
	// sharedReports and independentReports bound the number of independent reports in the standard
	// error. The streams of one engine share its pauses, so that twenty of them count as fewer.
	sharedReports, independentReports = 10, 20
	// largestStep bounds the difference, as a logarithm, with which a report counts: a stream that
	// paused for seconds counts like one that took twice as long.
	largestStep = math.Ln2
	// spreads is how many standard errors a factor must differ from the median to count, and
	// leastDifference the smallest difference, as a logarithm, that counts. Servers are compared
	// several times a second: with three standard errors, one of some tens of equal engines would
	// seem to differ every few minutes. A tenth is the effect of three more requests at usualSlope.
	spreads         = 3.5
	leastDifference = 0.1
	// freshFor is how long a factor holds without reports, and fades the time in which it then
	// loses two thirds. A server that is avoided because it was slow sends no reports; without
	// this, it would be avoided for good.
	freshFor = 10 * time.Second
	fades    = 10 * time.Second
)

const (
	// recentWeight is the weight of a report in the recent factor, which two or three reports
	// determine, and largestRecentStep bounds a single report so that one outlier is no suspicion.
	recentWeight      = 0.4
	largestRecentStep = 1.6
	// slowedFactor is how many times slower than its own factor a server must be to count as slowed.
	// One report changes the recent factor by 1.9 times at most: a single outlier is not enough.
	slowedFactor = 2.5
	// recoveredFactor is how many times faster than its own factor a server must be to count as
	// recovered. Its factor then becomes the recent one at once: a server that was slow gets few
	// requests, and its factor would take long to follow.
	recoveredFactor = 1.8
)

var slowedLog, recoveredLog = math.Log(slowedFactor), math.Log(recoveredFactor)

// Server is the estimate for one incarnation of a server. The zero value has no reports.
type Server struct {
	count int
	// direct counts the reports that were not merged from others.
	direct int
	// log is the logarithm of the factor and variance that of single reports around it.
	log, variance float64
	// recent is the logarithm of the factor of the last few reports.
	recent float64
	last   time.Time
	factor float64
}

// Report is the time that a server needed for some units of work.
type Report struct {
	At    time.Time
	Took  time.Duration
	Units int
	// Batch is how many requests the server worked on at the same time.
	Batch float64
}

const (
	// leastPerUnit and mostPerUnit bound the time for a unit, and mostUnits the units of a report.
	// What is outside was measured or sent wrongly: a prompt token takes 10 microseconds, and a
	// stream with a minute between two events has ended.
	leastPerUnit = 100 * time.Nanosecond
	mostPerUnit  = time.Minute
	mostUnits    = 10_000_000
)

// perUnit returns the seconds for a unit; false if the report can't be right.
func (r Report) perUnit() (float64, bool) {
	if r.Took <= 0 || r.Units <= 0 || r.Units > mostUnits || !(r.Batch >= 0) || math.IsInf(r.Batch, 1) {
		return 0, false
	}
	per := r.Took.Seconds() / float64(r.Units)
	return per, per >= leastPerUnit.Seconds() && per <= mostPerUnit.Seconds()
}

// Observe adds a report of a server. It returns false if the report can't be right and was ignored.
func (v *Service) Observe(c *Server, r Report) bool {
	per, valid := r.perUnit()
	if !valid {
		return false
	}
	if v.count == 0 {
		v.add(r.Batch, per)
	}
	if v.batchUnknown {
		v.batch, v.batchUnknown = r.Batch, false
	}
	c.direct++
	v.observe(c, r.At, r.Batch, per, 1)
	return true
}

// observe adds a time for a unit that counts like a number of reports.
func (v *Service) observe(c *Server, at time.Time, batch, per float64, reports int) {
	usual := v.predict(batch)
	x := math.Log(per / usual)
	step := clamp(x-c.log, largestStep*float64(reports))
	c.count += reports
	weight := max(1-math.Pow(1-reportWeight, float64(reports)), float64(reports)/float64(c.count))
	c.log += weight * step
	// What the factor of the server explains must not count as a change of the service: the first
	// reports of a fast server would otherwise make all others seem slow.
	v.add(batch, usual*math.Exp(step-weight*step))
	if c.count > enoughReports {
		v.spread += serviceWeight * (step*step - v.spread)
	}
	c.variance = (1 - weight) * (c.variance + weight*step*step)
	if c.count == reports {
		c.recent = c.log
	}
	c.recent += recentWeight * clamp(x-c.recent, largestRecentStep)
	if c.log-c.recent > recoveredLog {
		c.log, c.count = c.recent, min(c.count, enoughReports)
	}
	if at.After(c.last) {
		c.last = at
	}
}

func clamp(x, bound float64) float64 { return min(bound, max(-bound, x)) }

// Factor is how many times the usual time the server needs for a unit, as of the last Compare. It is
// exactly one if it does not differ from the median by more than its spread.
func (c *Server) Factor() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// standardError is the standard error of the logarithm of a server's factor, relative to a median
// that is an estimate as well. Few reports of a server can be alike by chance, so that its reports are
// assumed to vary at least as much as those of all servers.
func (v *Service) standardError(c *Server) float64 {
	most := sharedReports
	if v.Independent {
		most = independentReports
	}
	reports := float64(min(max(1, c.count), most))
	return math.Sqrt(max(c.variance, v.spread) / reports * (1 + 2/float64(max(1, v.compared))))
}

// difference returns the factor of a server, one if it does not differ from the median.
func (v *Service) difference(c *Server, at time.Time) float64 {
	if c.count < enoughReports || v.compared < 2 {
		return 1
	}
	log := c.log
	if stale := at.Sub(c.last) - freshFor; stale > 0 {
		log *= math.Exp(-stale.Seconds() / fades.Seconds())
	}
	if math.Abs(log) <= max(leastDifference, spreads*v.standardError(c)) {
		return 1
	}
	return math.Exp(log)
}

// Slowed reports whether the last few reports of a server are much slower than its own factor.
func (c *Server) Slowed(at time.Time) bool {
	return c.count >= enoughReports && c.recent-c.log > slowedLog && at.Sub(c.last) <= freshFor
}
