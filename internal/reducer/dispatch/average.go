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

// quantile follows a high quantile of values that may stand far out: each value
// moves it by a small part of itself, up by nine times as much as down, so that
// nine in ten end up below it.
type quantile struct{ value float64 }

// quantileStep is the part by which a value moves a quantile up; the down step is
// a ninth of it. Twenty values or so bring it from a first value that was far out
// to twice the usual one.
const quantileStep = 0.09

func (q *quantile) add(value float64) {
	switch {
	case q.value == 0:
		q.value = value
	case value > q.value:
		q.value *= 1 + quantileStep
	default:
		q.value *= 1 - quantileStep/9
	}
}

// or returns the mean, or a stand-in until there are a few values.
func (a *average) or(standIn float64) float64 {
	const enough = 3
	if a.count < enough {
		return standIn
	}
	return a.value
}
