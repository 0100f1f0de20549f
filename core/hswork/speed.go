package hswork

import (
	"time"

	"hyssopseam/core/hsid"
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
