package hswork

import (
	"math"
	"time"
)

const (
	// learnShare is the weight of a new observation, in percent.
	learnShare = 20
	// minSamples is how many runs of a queue are seen before their times are used.
	minSamples = 3
	// minRun bounds estimates from below; declared times may be far off.
	minRun = 250 * time.Millisecond
)

// Experience is what was seen of the runs of one queue: how long they took, and how far off the declared times
// and the mean were. Times are kept as logarithms, since declared times are off by factors.
type Experience struct {
	Samples int
	// Mean is the mean of the logarithm of the run times in seconds.
	Mean float64
	// DeclaredError and MeanError are the mean squares of what the declared time and the mean were off by.
	DeclaredError float64
	MeanError     float64
}

// Observe takes the time that a run took and that it was declared to take.
func (e *Experience) Observe(took, declared time.Duration) {
	actual := logOf(took)
	if e.Samples == 0 {
		e.Mean = actual
	}
	e.Samples++
	blend(&e.DeclaredError, square(actual-logOf(declared)))
	blend(&e.MeanError, square(actual-e.Mean))
	blend(&e.Mean, actual)
}

// Expect returns how long a run is taken to last: between the declared time and the mean of what was seen, nearer
// to the one that was less off. Without enough observations, also on a nil receiver, it is the declared time.
func (e *Experience) Expect(declared time.Duration) time.Duration {
	if e == nil || e.Samples < minSamples || e.DeclaredError <= 0 {
		return max(declared, minRun)
	}
	meanWeight := e.DeclaredError / (e.DeclaredError + e.MeanError)
	expected := meanWeight*e.Mean + (1-meanWeight)*logOf(declared)
	return max(time.Duration(math.Exp(expected)*float64(time.Second)), minRun)
}

func logOf(d time.Duration) float64 { return math.Log(max(d, minRun).Seconds()) }

func square(x float64) float64 { return x * x }

func blend(value *float64, sample float64) {
	*value += (sample - *value) * learnShare / 100
}
