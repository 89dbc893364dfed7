package dispatch

// average is an exponentially weighted mean.
type average struct {
	value float64
	count int
}

// averageWeight gives the last ten or so values most of the weight.
const averageWeight = 0.15

func (a *average) add(value float64) {
	a.count++
	// The first values weigh as in a plain mean, so that the start is not
	// remembered for long.
	weight := max(averageWeight, 1/float64(a.count))
	a.value += weight * (value - a.value)
}

// or returns the mean, or a stand-in until there are a few values.
func (a *average) or(standIn float64) float64 {
	const enough = 3
	if a.count < enough {
		return standIn
	}
	return a.value
}
