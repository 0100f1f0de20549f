package hswork

import (
	"math"
	"time"
)

const (
	// smoothingPercent is the weight of a new observation in the exponential moving averages.
	smoothingPercent = 20
	// minSamples is the number of observed runs of a queue from which on their times are used.
	minSamples = 3
	// minRunTime is the lower bound of every estimate, since declared times may be far too short.
	minRunTime = 250 * time.Millisecond
)

// RunTimeStats holds the observed run times of one queue, and the errors of the two predictors of a run time: the
// declared time and the mean. All values are exponential moving averages over the logarithm of the time in
// seconds, since declared times are wrong by a factor rather than by a difference.
type RunTimeStats struct {
	// Samples counts the observed runs.
	Samples int
	// Mean is the mean of the observed times.
	Mean float64
	// DeclaredError and MeanError are the mean squared errors of the declared time and of Mean.
	DeclaredError float64
	MeanError     float64
}

// Observe records one run: the time that it took, and the time that its job had declared.
func (s *RunTimeStats) Observe(took, declared time.Duration) {
	actual := logSeconds(took)
	if s.Samples == 0 {
		s.Mean = actual
	}
	s.Samples++
	updateAverage(&s.DeclaredError, square(actual-logSeconds(declared)))
	updateAverage(&s.MeanError, square(actual-s.Mean))
	updateAverage(&s.Mean, actual)
}

// Estimate estimates the time that a run with a declared time will take: the average of the declared time and the
// observed mean, each weighted by the error of the other. With fewer than minSamples observations, or on a nil
// receiver, it is the declared time. The estimate is never below minRunTime.
func (s *RunTimeStats) Estimate(declared time.Duration) time.Duration {
	if s == nil || s.Samples < minSamples || s.DeclaredError <= 0 {
		return max(declared, minRunTime)
	}
	meanWeight := s.DeclaredError / (s.DeclaredError + s.MeanError)
	expected := meanWeight*s.Mean + (1-meanWeight)*logSeconds(declared)
	return max(time.Duration(math.Exp(expected)*float64(time.Second)), minRunTime)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

func square(x float64) float64 { return x * x }

// updateAverage adds a sample to an exponential moving average.
func updateAverage(average *float64, sample float64) {
	*average += (sample - *average) * smoothingPercent / 100
}
