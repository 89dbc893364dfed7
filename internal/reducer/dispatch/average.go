package dispatch

// average is an exponentially weighted mean.
type average struct {
	value float64
	count int
}

// averageWeight gives about the last ten values most of the weight.
const averageWeight = 0.15

func (a *average) add(value float64) {
	a.count++
	// The first values are weighted as in a plain mean, so that the very first value does
	// not dominate for long.
	weight := max(averageWeight, 1/float64(a.count))
	a.value += weight * (value - a.value)
}

// quantile estimates the 90th percentile of values with outliers. Each value moves the
// estimate by a small fraction of the estimate, up by nine times as much as down, so that
// nine in ten values end up below it.
type quantile struct{ value float64 }

// quantileStep is the fraction by which a value moves a quantile up; the step down is a
// ninth of it. About twenty values bring the estimate from a first value that was an
// outlier to twice the usual value.
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

// median estimates the median of values. Each value moves the estimate by at most a
// fraction of the estimate, so that an outlier, such as a response after a lost packet,
// moves it no more than any other value.
type median struct {
	value float64
	count int
}

const (
	// medianStep brings a median to three times its value within six values, which a
	// forwarder that sends ten requests a second receives in half a second.
	medianStep = 0.2
	// medianFirst is how many of the first values are replaced by their minimum, so that
	// the estimate does not start from an outlier.
	medianFirst = 4
)

func (m *median) add(value float64) {
	m.count++
	switch {
	case m.count == 1:
		m.value = value
	case m.count <= medianFirst:
		m.value = min(m.value, value)
	case value > m.value:
		m.value = min(value, m.value*(1+medianStep))
	default:
		m.value = max(value, m.value/(1+medianStep))
	}
}

// valueOr returns the mean, or the given value until the mean has enough values.
func (a *average) valueOr(initial float64) float64 {
	const enough = 3
	if a.count < enough {
		return initial
	}
	return a.value
}
