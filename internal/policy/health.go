package policy

import (
	"math"
	"time"
)

// slowStart is how long a server that is new or returned takes to its full
// weight. Without it all entries send it work at once because it looks idle,
// and its cold cache makes it the slowest of all.
const slowStart = 3 * time.Second

// startWeight is the weight at the beginning of the slow start.
const startWeight = 0.1

// mostFailures bounds what failures count together: one death of a server
// fails all that it had in progress.
const mostFailures = 3

// healthFades is the time constant with which slowness and failures are
// forgotten, so that a server which was bad is tried again.
const healthFades = 15 * time.Second

// leastWeight keeps every member of a pool in use: slow is not dead.
const leastWeight = 0.05

// slownessGain is the share of one observation in the slowness.
const slownessGain = 0.2

// Health is what was learned of one server from its own work. The zero value
// is a server in full health. Slow servers lose weight, none is shut out: only
// the membership lease decides about life and death.
type Health struct {
	// Since is when the server appeared; zero if it was always there.
	Since time.Time
	// Slowness follows the logarithm of taken over predicted time.
	Slowness float64
	// Failures counts failures, fading.
	Failures float64
	Updated  time.Time
}

// Observe learns how long work took against its prediction.
func (h *Health) Observe(took, predicted time.Duration, now time.Time) {
	if took <= 0 || predicted <= 0 {
		return
	}
	h.fade(now)
	ratio := math.Log(float64(took) / float64(predicted))
	h.Slowness += slownessGain * (ratio - h.Slowness)
}

// Fail learns of a failure of the server or its gate.
func (h *Health) Fail(now time.Time) {
	h.fade(now)
	h.Failures = min(h.Failures+1, mostFailures)
}

// Correction is what a prediction of the server's own is multiplied by.
func (h *Health) Correction() float64 {
	return min(8, max(0.25, math.Exp(h.Slowness)))
}

// Weight is the share of random choices that the server gets, of 1.
func (h *Health) Weight(now time.Time) float64 {
	faded := *h
	faded.fade(now)
	weight := 1 / (1 + faded.Failures)
	if faded.Slowness > 0 {
		weight *= math.Exp(-faded.Slowness)
	}
	if age := now.Sub(h.Since); !h.Since.IsZero() && age < slowStart {
		share := age.Seconds() / slowStart.Seconds()
		weight *= startWeight + (1-startWeight)*share
	}
	return max(leastWeight, weight)
}

func (h *Health) fade(now time.Time) {
	passed := now.Sub(h.Updated)
	if h.Updated.IsZero() || passed <= 0 {
		h.Updated = now
		return
	}
	left := math.Exp(-passed.Seconds() / healthFades.Seconds())
	h.Slowness *= left
	h.Failures *= left
	h.Updated = now
}
