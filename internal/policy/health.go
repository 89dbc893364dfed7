package policy

import (
	"math"
	"time"
)

// slowStartDuration is the time in which the weight of a new or restarted server
// grows to its full value. Without it, all entries send work to the server at once
// because it looks idle, and its cold cache makes it the slowest of all.
const slowStartDuration = 3 * time.Second

// slowStartWeight is the weight at the beginning of the slow start.
const slowStartWeight = 0.1

// maxFailures bounds the failure count, because one crash of a server fails all of
// its requests in progress.
const maxFailures = 3

// healthDecay is the time constant with which slowness and failures decay, so that a
// server that was slow or failed is tried again.
const healthDecay = 15 * time.Second

// minWeight keeps every member of a pool in use, because a slow server still works.
const minWeight = 0.05

// slownessGain is the weight of one observation in the moving average of the slowness.
const slownessGain = 0.2

// Health tracks the slowness and the failures of one server, as observed from its
// work. The zero value describes a healthy server. A slow server loses weight but is
// never excluded: only the membership lease decides whether a server is alive.
type Health struct {
	// Since is the time at which the server appeared. Zero means that it was always
	// present, so that it has no slow start.
	Since time.Time
	// Slowness is the moving average of the logarithm of actual over predicted time.
	Slowness float64
	// Failures is the failure count, which decays over time.
	Failures float64
	Updated  time.Time
}

// Observe records the actual and the predicted duration of some work.
func (h *Health) Observe(took, predicted time.Duration, now time.Time) {
	if took <= 0 || predicted <= 0 {
		return
	}
	h.decay(now)
	ratio := math.Log(float64(took) / float64(predicted))
	h.Slowness += slownessGain * (ratio - h.Slowness)
}

// RecordFailure records a failure of the server or its gate.
func (h *Health) RecordFailure(now time.Time) {
	h.decay(now)
	h.Failures = min(h.Failures+1, maxFailures)
}

// Correction returns the factor, from 0.25 to 8, by which the server's own predictions are
// multiplied.
func (h *Health) Correction() float64 {
	return min(8, max(0.25, math.Exp(h.Slowness)))
}

// Weight returns the fraction of a full share of random choices that the server gets.
func (h *Health) Weight(now time.Time) float64 {
	current := *h
	current.decay(now)
	weight := 1 / (1 + current.Failures)
	if current.Slowness > 0 {
		weight *= math.Exp(-current.Slowness)
	}
	if age := now.Sub(h.Since); !h.Since.IsZero() && age < slowStartDuration {
		share := age.Seconds() / slowStartDuration.Seconds()
		weight *= slowStartWeight + (1-slowStartWeight)*share
	}
	return max(minWeight, weight)
}

// decay reduces slowness and failures by the time since the last update.
func (h *Health) decay(now time.Time) {
	elapsed := now.Sub(h.Updated)
	if h.Updated.IsZero() || elapsed <= 0 {
		h.Updated = now
		return
	}
	factor := math.Exp(-elapsed.Seconds() / healthDecay.Seconds())
	h.Slowness *= factor
	h.Failures *= factor
	h.Updated = now
}
