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

// median follows the middle of values by steps of a part of itself, so that one that
// stands far out, such as an answer after a lost packet, moves it no more than any
// other.
type median struct {
	value float64
	count int
}

const (
	// medianStep brings a median to three times its value within six values, which
	// come in half a second to a forwarder that sends ten requests a second.
	medianStep = 0.2
	// medianFirst is how many first values are taken by the least of them, so that
	// a first one that stands far out is not what is started from.
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

// or returns the mean, or a stand-in until there are a few values.
func (a *average) or(standIn float64) float64 {
	const enough = 3
	if a.count < enough {
		return standIn
	}
	return a.value
}
