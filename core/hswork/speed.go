package hswork

import (
	"math"
	"time"

	"hyssopseam/core/hsid"
)

// Bounds of the speeds in the state.
const (
	// MaxSpeeds bounds the workers whose speeds are kept.
	MaxSpeeds = 4096
	// SpeedRetention is how long the speed of a worker is kept without an update.
	SpeedRetention = time.Hour
	// PriorVariance is the variance of the slowdown of a worker about which nothing is known: a standard deviation of 0.4,
	// which is a factor of 1.5. No estimate is less certain.
	PriorVariance = 0.16
	// MinVariance keeps an estimate from becoming so certain that it no longer follows a change.
	MinVariance = 0.002
	// MaxSlowdown bounds a slowdown to a factor of 20 in both directions.
	MaxSlowdown LogFactor = 3
)

// LogFactor is the natural logarithm of a ratio; 0 stands for a ratio of 1.
type LogFactor float64

// SpeedEstimate estimates how long a worker takes for a task, compared with the average worker of the fleet. The zero value
// is an average worker that is known exactly.
type SpeedEstimate struct {
	// Slowdown is the expected ratio: 0 for an average worker, 0.5 for one that takes 1.65 times as long.
	Slowdown LogFactor
	// Variance is that of Slowdown.
	Variance float64
}

// WorkerSpeed is the speed of one worker as it was last committed.
type WorkerSpeed struct {
	Worker hsid.InstanceID
	// Incarnation is that of the endpoint whose runs were observed last.
	Incarnation EndpointIncarnation
	// Slowdown and Variance are those of a SpeedEstimate.
	Slowdown LogFactor
	Variance float64
	// Runs counts the runs observed.
	Runs int
	// Updated is the cluster time of the last update.
	Updated time.Duration
}

// SpeedUpdate replaces the speeds of some workers.
type SpeedUpdate struct {
	Speeds []WorkerSpeed
}

// Bounded returns the speed with a slowdown, a variance and a number of runs within their bounds. A slowdown that isn't a
// number counts as 0, and such a variance as that of an unknown worker.
func (s WorkerSpeed) Bounded() WorkerSpeed {
	if math.IsNaN(float64(s.Slowdown)) {
		s.Slowdown = 0
	}
	if math.IsNaN(s.Variance) {
		s.Variance = PriorVariance
	}
	s.Slowdown = min(max(s.Slowdown, -MaxSlowdown), MaxSlowdown)
	s.Variance = min(max(s.Variance, MinVariance), PriorVariance)
	s.Runs = max(s.Runs, 0)
	return s
}
