package hsspeed

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// singleRunVariance is about the variance that one run leaves: that of the prior, combined with one reading.
	singleRunVariance = 0.08
	// driftPerSecond is how much the variance grows in a second, as workers change.
	driftPerSecond = 0.002
)

// instant is a time, counted from the beginning of the tracker. It may be negative.
type instant = time.Duration

// belief is a normal distribution of a logarithmic slowdown, as of a time.
type belief struct {
	mean     float64
	variance float64
	at       instant
}

// asOf returns the belief at a later time. Its variance grows up to that of the prior.
func (b belief) asOf(now instant) belief {
	elapsed := max(now-b.at, 0).Seconds()
	b.variance = min(max(b.variance+driftPerSecond*elapsed, hswork.MinVariance), hswork.PriorVariance)
	b.at = max(b.at, now)
	return b
}

// with returns the belief after readings with a total precision, which is the inverse of a variance, and their sum, each
// weighted by its precision.
func (b belief) with(precision, weighted float64) belief {
	total := 1/b.variance + precision
	b.mean = clampSlowdown((b.mean/b.variance + weighted) / total)
	b.variance = max(1/total, hswork.MinVariance)
	return b
}

// atLeast returns the belief with a variance of no less than v.
func (b belief) atLeast(v float64) belief {
	b.variance = max(b.variance, v)
	return b
}

// clampSlowdown limits a slowdown to hswork.MaxSlowdown; one that isn't a number counts as 0.
func clampSlowdown(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return min(max(x, -float64(hswork.MaxSlowdown)), float64(hswork.MaxSlowdown))
}
