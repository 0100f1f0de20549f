package hscost

import (
	"math"
	"time"
)

// Loss is a cost to callers. The loss of a whole result of priority 0 is 1.
type Loss float64

const (
	// lateLoss is the part of a result's value that its caller loses when it misses its objective, and overdueLoss when it
	// takes overdueFactor times as long. The rest is lost only if there is never a result.
	lateLoss    = 0.5
	overdueLoss = 0.75
	// overdueFactor is how many times its objective a job may take before further delay makes no difference.
	overdueFactor = 3
	// priorityFactor is the ratio between the losses of a priority and the next one.
	priorityFactor = 2
	// lowestPriority bounds the priorities that are told apart, so that no weight becomes zero.
	lowestPriority = 16
	// defaultDeviation is the standard deviation of the logarithm of the ratio of actual to predicted run times, once
	// observed run times correct the declared ones.
	defaultDeviation = 0.3
	// maxDeviation bounds the deviation: run times are taken to be off by a factor of a thousand at most.
	maxDeviation = 6.9
	// maxTime bounds all times, so that sums and products don't overflow.
	maxTime = 10 * 365 * 24 * time.Hour
	// minTime is the shortest predicted path.
	minTime = time.Millisecond
)

// Timeliness compares a predicted completion with the latency objective.
type Timeliness int

const (
	// OnTime results meet the objective.
	OnTime Timeliness = iota
	// Late results miss it.
	Late
	// Overdue results take more than three times the objective.
	Overdue
)

// Unit describes a gang or task that waits or runs, and the rest of its job, which its caller waits for.
type Unit struct {
	// Priority is that of the job; 0 comes first.
	Priority int
	// Objective is the time within which the job has to be done to be on time, counted from its acceptance or due time. A job
	// without one is overdue from the beginning.
	Objective time.Duration
	// Age is how much of that time has passed.
	Age time.Duration
	// Path is the predicted time from the start of the unit until the job is done.
	Path time.Duration
	// Work is the capacity that the job still needs and doesn't have.
	Work CoreSeconds
	// Deviation is the standard deviation of the logarithm of actual / predicted Path; 0 for the default.
	Deviation float64
}

// Weight returns the loss of a whole result of a priority.
func Weight(priority int) Loss {
	return Loss(math.Pow(priorityFactor, -float64(min(max(priority, 0), lowestPriority))))
}

// Finish returns the predicted age of the job when it is done, if the unit starts after a wait.
func (u Unit) Finish(wait time.Duration) time.Duration {
	return bounded(u.Age) + bounded(wait) + max(bounded(u.Path), minTime)
}

// Timeliness returns the predicted timeliness of the result, if the unit starts after a wait.
func (u Unit) Timeliness(wait time.Duration) Timeliness {
	switch finish := u.Finish(wait); {
	case finish <= bounded(u.Objective):
		return OnTime
	case finish <= overdueFactor*bounded(u.Objective):
		return Late
	}
	return Overdue
}

// LateRisk returns the probability that the job misses its objective, if the unit starts after a wait.
func (u Unit) LateRisk(wait time.Duration) float64 {
	left := bounded(u.Objective) - bounded(u.Age) - bounded(wait)
	if left <= 0 {
		return 1
	}
	ratio := math.Log(float64(left) / float64(max(bounded(u.Path), minTime)))
	return 0.5 * math.Erfc(ratio/(u.deviation()*math.Sqrt2))
}

// Loss returns what the caller is expected to lose if the unit starts after a wait.
func (u Unit) Loss(wait time.Duration) Loss {
	objective := bounded(u.Objective)
	past := 1.0
	if objective > 0 {
		past = float64(u.Finish(wait)-objective) / float64((overdueFactor-1)*objective)
	}
	past = min(max(past, 0), 1)
	return Weight(u.Priority) * Loss(lateLoss*u.LateRisk(wait)+(overdueLoss-lateLoss)*past)
}

// Delay returns what the caller loses if the unit starts after a wait and not at once. It is never negative.
func (u Unit) Delay(wait time.Duration) Loss { return max(u.Loss(wait)-u.Loss(0), 0) }

// Refusal returns what the caller loses if the job is turned away and not served after a wait. It is always positive.
func (u Unit) Refusal(wait time.Duration) Loss { return Weight(u.Priority) - u.Loss(wait) }

// LateLoss returns what the caller loses when a result of the unit's priority just misses its objective.
func (u Unit) LateLoss() Loss { return Weight(u.Priority) * lateLoss }

func (u Unit) deviation() float64 {
	if !(u.Deviation > 0) {
		return defaultDeviation
	}
	return min(u.Deviation, maxDeviation)
}

// bounded returns a time as one that is neither negative nor above maxTime.
func bounded(d time.Duration) time.Duration { return min(max(d, 0), maxTime) }
