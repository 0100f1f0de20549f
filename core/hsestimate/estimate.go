// Package hsestimate keeps bounded, decayed distributions of observed run and stop times.
//
// Declared run times are hints that are often far off, so decisions use what was seen. There is one
// Estimate for each workspace and kind of job, at most MaxEstimates of them; the one that was updated
// least recently makes room. Weights are whole numbers, so replicas that observe the same sequence
// hold equal distributions on every processor.
//
// The package is neutral ground: commands observe and both commands and queries look up.
//
// # Usage
//
//	hsestimate.Observe(state, workspace, kind, hsestimate.Times{Run: 3 * time.Minute})
//	d, ok := hsestimate.Run(state, workspace, kind, 90)
package hsestimate

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Bounds of the distributions.
const (
	// MaxEstimates bounds the number of estimates.
	MaxEstimates = 1024
	// Buckets is the number of buckets of a distribution. The last takes all longer durations.
	Buckets = 48

	firstBound = 5 * time.Millisecond
	// unit is the weight of one observation when it is made.
	unit = 1000
	// keepPercent of the older weight is left after each observation.
	keepPercent = 95
)

// Times is one observation. A zero field wasn't observed.
type Times struct {
	Run  time.Duration
	Stop time.Duration
}

// Bound returns the longest duration of a bucket; bounds grow by half from one to the next.
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

// Observe adds an observation to the estimate of a workspace and kind.
func Observe(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind, t Times) {
	if t.Run <= 0 && t.Stop <= 0 {
		return
	}
	e := entry(s, w, k)
	e.Updated = s.Clock
	if t.Run > 0 {
		observe(&e.Run, t.Run)
	}
	if t.Stop > 0 {
		observe(&e.Stop, t.Stop)
	}
}

// Run returns a quantile, in percent, of the observed run times, and false when there are none.
func Run(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind, percent int64) (time.Duration, bool) {
	if e := find(s, w, k); e != nil {
		return Quantile(&e.Run, percent)
	}
	return 0, false
}

// Stop returns a quantile, in percent, of the observed stop times, and false when there are none.
func Stop(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind, percent int64) (time.Duration, bool) {
	if e := find(s, w, k); e != nil {
		return Quantile(&e.Stop, percent)
	}
	return 0, false
}

// Quantile returns the bound of the bucket below which a share of the weight lies.
func Quantile(d *hsstate.Distribution, percent int64) (time.Duration, bool) {
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

func entry(s *hsstate.State, w hsid.WorkspaceID, k hsid.JobKind) *hsstate.Estimate {
	if e := find(s, w, k); e != nil {
		return e
	}
	fresh := hsstate.Estimate{Workspace: w, Kind: k}
	if len(s.Estimates) < MaxEstimates {
		s.Estimates = append(s.Estimates, fresh)
		return &s.Estimates[len(s.Estimates)-1]
	}
	oldest := 0
	for i := range s.Estimates {
		if s.Estimates[i].Updated < s.Estimates[oldest].Updated {
			oldest = i
		}
	}
	s.Estimates[oldest] = fresh
	return &s.Estimates[oldest]
}

func observe(d *hsstate.Distribution, t time.Duration) {
	if d.Weights == nil {
		d.Weights = make([]int64, Buckets)
	}
	d.Total = 0
	bucket, _ := slices.BinarySearch(bounds, t)
	bucket = min(bucket, Buckets-1)
	for i := range d.Weights {
		d.Weights[i] = d.Weights[i] * keepPercent / 100
		if i == bucket {
			d.Weights[i] += unit
		}
		d.Total += d.Weights[i]
	}
}
