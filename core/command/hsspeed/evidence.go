package hsspeed

import (
	"math"

	"hyssopseam/core/hswork"
)

const (
	// showsUneven and showsEven are the logarithms of the odds for uneven workers from which on, and below which, the
	// workers are taken to differ: 20 to 1, and 1 to 1.
	showsUneven = 3.0
	showsEven   = 0.0
	// showsWorker is the same as showsUneven for one worker on a fleet that is even otherwise: 150 to 1, as some of many
	// workers deviate by chance.
	showsWorker = 5.0
	// smallSpread is the variance between workers of a fleet in which they differ a little: a standard deviation of 0.14. A
	// third of the workers that are slower by a factor of 1.3 have about that.
	smallSpread = 0.02
)

// weighEvidence decides for the fleet and for each worker whether the observations show that workers differ. Each known worker
// contributes the odds between its observations if the workers of the fleet have different speeds and if they all have the same.
func (t *Tracker) weighEvidence() {
	var large, small float64
	for _, w := range t.order {
		if !w.known() {
			continue
		}
		b := w.current
		own := logOdds(b, t.mean, hswork.PriorVariance)
		large += own
		small += logOdds(b, t.mean, smallSpread)
		w.shown = w.deviates || above(own, showsWorker, w.shown)
	}
	t.uneven = above(max(large, small), showsUneven, t.uneven)
}

// above compares odds with a limit, which is showsEven once it was reached.
func above(odds, limit float64, reached bool) bool {
	if reached {
		limit = showsEven
	}
	return odds > limit
}

// logOdds returns the logarithm of the odds between the observations of a worker if its slowdown has a variance of spread
// around the mean, and if it is the mean.
func logOdds(b belief, mean, spread float64) float64 {
	precision := 1/b.variance - 1/hswork.PriorVariance
	if precision <= 0 {
		return 0
	}
	// The mean of the observations is farther from the average than that of the belief, which begins there.
	observed := (b.mean - mean) / (b.variance * precision)
	ratio := spread * precision
	return (observed*observed*precision*ratio/(1+ratio) - math.Log1p(ratio)) / 2
}
