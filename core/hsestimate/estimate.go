// Package hsestimate keeps decaying distributions of the observed run and stop times of jobs.
//
// Declared run times are hints that are often far off, so decisions use observed times instead. There is one
// Estimate for each workspace and kind of job. At most MaxEstimates are kept; a further one replaces the least
// recently updated. Weights are integers, so that replicas that observe the same sequence hold equal distributions
// on every processor.
//
// Only commands add observations; both commands and queries read estimates.
//
// # Usage
//
//	hsestimate.Observe(state, workspace, kind, hsestimate.Observation{Run: 3 * time.Minute})
//	d, ok := hsestimate.Run(state, workspace, kind, 90)
package hsestimate

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Limits of the distributions.
const (
	// MaxEstimates is the largest number of estimates.
	MaxEstimates = 1024
	// Buckets is the number of buckets of a distribution. The last one also counts all longer durations.
	Buckets = 48

	// firstBound is the upper bound of the first bucket.
	firstBound = 5 * time.Millisecond
	// observationWeight is the weight of a new observation.
	observationWeight = 1000
	// retainedPercent of the weight of all earlier observations is retained at each new one.
	retainedPercent = 95
)

// Observation is one observation. A field of zero wasn't observed.
type Observation struct {
	Run  time.Duration
	Stop time.Duration
}

// Bound returns the upper bound of a bucket, counted from 0. Each bound is larger than the previous one by half.
func Bound(bucket int) time.Duration {
	bound := firstBound
	for range bucket {
		bound += bound / 2
	}
	return bound
}

var bounds = func() []time.Duration {
	all := make([]time.Duration, Buckets)
	for i := range all {
		all[i] = Bound(i)
	}
	return all
}()

// Observe adds an observation to the estimate of a workspace and kind of job. An observation without any time is
// ignored.
func Observe(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind, o Observation) {
	if o.Run <= 0 && o.Stop <= 0 {
		return
	}
	e := findOrCreate(s, w, k)
	e.Updated = s.Clock
	if o.Run > 0 {
		addObservation(&e.Run, o.Run)
	}
	if o.Stop > 0 {
		addObservation(&e.Stop, o.Stop)
	}
}

// Run returns a percentile of the observed run times, and false when there are none.
func Run(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind, percent int64) (time.Duration, bool) {
	if e := find(s, w, k); e != nil {
		return Percentile(&e.Run, percent)
	}
	return 0, false
}

// Stop returns a percentile of the observed stop times, and false when there are none.
func Stop(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind, percent int64) (time.Duration, bool) {
	if e := find(s, w, k); e != nil {
		return Percentile(&e.Stop, percent)
	}
	return 0, false
}

// Percentile returns a percentile of a distribution, rounded up to the bound of its bucket, and false when the
// distribution is empty.
func Percentile(d *hsstate.Distribution, percent int64) (time.Duration, bool) {
	if d.Total == 0 {
		return 0, false
	}
	var sum int64
	for i, w := range d.Weights {
		sum += w
		if sum*100 >= d.Total*percent {
			return bounds[i], true
		}
	}
	return bounds[Buckets-1], true
}

func find(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind) *hsstate.Estimate {
	for i := range s.Estimates {
		if e := &s.Estimates[i]; e.Workspace == w && e.Kind == k {
			return e
		}
	}
	return nil
}

// findOrCreate returns the estimate of a workspace and kind. A new one replaces the least recently updated one when
// there are MaxEstimates.
func findOrCreate(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind) *hsstate.Estimate {
	if e := find(s, w, k); e != nil {
		return e
	}
	created := hsstate.Estimate{Workspace: w, Kind: k}
	if len(s.Estimates) < MaxEstimates {
		s.Estimates = append(s.Estimates, created)
		return &s.Estimates[len(s.Estimates)-1]
	}
	oldest := 0
	for i := range s.Estimates {
		if s.Estimates[i].Updated < s.Estimates[oldest].Updated {
			oldest = i
		}
	}
	s.Estimates[oldest] = created
	return &s.Estimates[oldest]
}

// addObservation decays the weights of a distribution and adds a new observation.
func addObservation(d *hsstate.Distribution, t time.Duration) {
	if d.Weights == nil {
		d.Weights = make([]int64, Buckets)
	}
	d.Total = 0
	bucket, _ := slices.BinarySearch(bounds, t)
	bucket = min(bucket, Buckets-1)
	for i := range d.Weights {
		d.Weights[i] = d.Weights[i] * retainedPercent / 100
		if i == bucket {
			d.Weights[i] += observationWeight
		}
		d.Total += d.Weights[i]
	}
}
