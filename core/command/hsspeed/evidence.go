package hsspeed

import (
	"math"

	"hyssopseam/core/hswork"
)

const (
	// showsUneven and showsEven are the logarithms of the odds for uneven workers from which on the workers are taken to
	// differ, and down to which they are: 20 to 1, and 1 to 20. Odds of 1 to 1 mean that nothing is known any more.
	showsUneven = 3.0
	showsEven   = -3.0
	// showsWorker and showsAverage are the same for one worker on a fleet that is even otherwise: 150 to 1, as some of many
	// workers deviate by chance, and 1 to 1.6. The odds for an average worker don't get much lower.
	showsWorker  = 5.0
	showsAverage = -0.5
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
		w.shown = w.deviates || above(own, showsWorker, showsAverage, w.shown)
	}
	t.uneven = above(max(large, small), showsUneven, showsEven, t.uneven)
}

// above compares odds with a limit, which is a lower one once it was reached.
func above(odds, limit, lower float64, reached bool) bool {
	if reached {
		limit = lower
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
