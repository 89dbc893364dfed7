package gate

import "math"

const (
	// lengthBuckets and bucketsPerOctave define a histogram of output lengths
	// from 1 to 65,536 tokens.
	lengthBuckets    = 64
	bucketsPerOctave = 4
	// lengthDecay is the factor by which each new length scales the earlier
	// counts.
	lengthDecay = 0.99
	// guessWeight is the number of observations that the initial guess counts
	// as.
	guessWeight = 2
)

// lengthDistribution estimates the distribution of the lengths of one kind of
// output.
type lengthDistribution struct {
	counts [lengthBuckets]float64
	// cumulative holds the sum of the counts from each bucket upwards.
	cumulative [lengthBuckets + 1]float64
	mean       float64
}

// newLengthDistribution starts from a guess, with equal weight on the guess,
// half of it and twice of it.
func newLengthDistribution(guess float64) *lengthDistribution {
	l := &lengthDistribution{}
	for _, n := range []float64{guess / 2, guess, guess * 2} {
		l.counts[bucketIndex(n)] += guessWeight / 3.0
	}
	l.mean = guess
	l.updateCumulative()
	return l
}

func bucketPosition(n float64) float64 {
	return math.Min(bucketsPerOctave*math.Log2(math.Max(n, 1)), lengthBuckets-1)
}

func bucketIndex(n float64) int { return int(bucketPosition(n)) }

// observe adds one length, in tokens.
func (l *lengthDistribution) observe(n float64) {
	for i := range l.counts {
		l.counts[i] *= lengthDecay
	}
	l.mean = (l.mean*l.cumulative[0]*lengthDecay + n) / (l.cumulative[0]*lengthDecay + 1)
	l.counts[bucketIndex(n)]++
	l.updateCumulative()
}

func (l *lengthDistribution) updateCumulative() {
	for i := lengthBuckets - 1; i >= 0; i-- {
		l.cumulative[i] = l.cumulative[i+1] + l.counts[i]
	}
}

// shareLonger returns the share of outputs that are longer than n tokens.
func (l *lengthDistribution) shareLonger(n float64) float64 {
	if n < 1 {
		return 1
	}
	at := bucketPosition(n)
	i := int(at)
	return (l.cumulative[i+1] + l.counts[i]*(1-(at-float64(i)))) / l.cumulative[0]
}

// continues returns the probability that an output that has reached n tokens is
// longer than m. An output that is longer than nearly all that were observed is
// expected to end before its length doubles.
func (l *lengthDistribution) continues(n, m float64) float64 {
	if m <= n {
		return 1
	}
	reached := l.shareLonger(n)
	if reached < 0.02 {
		return math.Exp(-2 * (m - n) / math.Max(n, 1))
	}
	return l.shareLonger(m) / reached
}
