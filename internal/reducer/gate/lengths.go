package gate

import "math"

const (
	// lengthBuckets and bucketsPerOctave make a histogram of output lengths
	// from 1 to 65,536 tokens.
	lengthBuckets    = 64
	bucketsPerOctave = 4
	// lengthMemory is how much of the histogram a new length leaves.
	lengthMemory = 0.99
	// firstWeight is how many observations the first guess counts for.
	firstWeight = 2
)

// lengths learns how long outputs of one kind are.
type lengths struct {
	counts [lengthBuckets]float64
	// above holds the sum of the counts from each bucket on.
	above [lengthBuckets + 1]float64
	mean  float64
}

// newLengths starts from a guess and lengths of half and twice as much.
func newLengths(guess float64) *lengths {
	l := &lengths{}
	for _, n := range []float64{guess / 2, guess, guess * 2} {
		l.counts[bucket(n)] += firstWeight / 3.0
	}
	l.mean = guess
	l.sum()
	return l
}

func position(n float64) float64 {
	return math.Min(bucketsPerOctave*math.Log2(math.Max(n, 1)), lengthBuckets-1)
}

func bucket(n float64) int { return int(position(n)) }

// observe takes one length, in tokens.
func (l *lengths) observe(n float64) {
	for i := range l.counts {
		l.counts[i] *= lengthMemory
	}
	l.mean = (l.mean*l.above[0]*lengthMemory + n) / (l.above[0]*lengthMemory + 1)
	l.counts[bucket(n)]++
	l.sum()
}

func (l *lengths) sum() {
	for i := lengthBuckets - 1; i >= 0; i-- {
		l.above[i] = l.above[i+1] + l.counts[i]
	}
}

// longer is the share of outputs that are longer than n tokens.
func (l *lengths) longer(n float64) float64 {
	if n < 1 {
		return 1
	}
	at := position(n)
	i := int(at)
	return (l.above[i+1] + l.counts[i]*(1-(at-float64(i)))) / l.above[0]
}

// goesOn is the probability that an output that has reached n tokens is longer
// than m. One longer than nearly all that were seen is expected to end within
// as much again.
func (l *lengths) goesOn(n, m float64) float64 {
	if m <= n {
		return 1
	}
	known := l.longer(n)
	if known < 0.02 {
		return math.Exp(-2 * (m - n) / math.Max(n, 1))
	}
	return l.longer(m) / known
}
