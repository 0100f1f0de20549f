// Package hspredict predicts when running jobs end and when a queued job starts.
//
// The predictions use the run times observed for the same workspace and kind of job, the declared run time as long as
// none were observed, and DefaultRun when none was declared either. They are used for early refusals and for
// backfilling reservations, but never to decide whether an accelerator is free.
//
// # Usage
//
//	wait := hspredict.Start(state, clock, running, free, ahead, job)
package hspredict

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsestimate"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// DefaultRun is the run time assumed for a job without observed or declared run times.
const DefaultRun = 10 * time.Minute

// Percentiles of the run times.
const (
	// MedianPercent is used to predict the start of a job.
	MedianPercent = 50
	// ConservativePercent is used where a job that ends late would delay others.
	ConservativePercent = 90
)

// Run returns a percentile of the predicted run time of a job.
func Run(s *hsstate.State, spec *hsstate.Spec, percent int64) time.Duration {
	if d, ok := hsestimate.Run(s, spec.Workspace, spec.Kind, percent); ok {
		return d
	}
	return cmp.Or(spec.Expect, DefaultRun)
}

// End returns the predicted cluster time at which a running job ends, for a percentile of its run time. A job that has
// exceeded the predicted run time is expected to run on for as long as it has exceeded it, plus one second.
func End(s *hsstate.State, j *hsstate.Job, clock time.Duration, percent int64) time.Duration {
	end := j.Started + Run(s, &j.Spec, percent)
	if end <= clock {
		end = clock + (clock - end) + time.Second
	}
	return end
}

// release is a number of accelerators that become free at a cluster time.
type release struct {
	at           time.Duration
	accelerators hsid.Accelerators
}

// Start predicts how long a job will wait for its start, given the running jobs, the number of free accelerators, and
// the number that the jobs ahead of it ask for. When the running jobs don't release enough, it assumes further rounds
// of jobs that use the same accelerators, each of which takes as long as the last of the running jobs needs to end.
func Start(s *hsstate.State, clock time.Duration, running []*hsstate.Job, free, ahead hsid.Accelerators, j *hsstate.Job) time.Duration {
	need := ahead + j.Spec.Shape.Total() - free
	if need <= 0 {
		return 0
	}
	releases := make([]release, 0, len(running))
	var inUse hsid.Accelerators
	for _, r := range running {
		n := r.Spec.Shape.Total()
		inUse += n
		releases = append(releases, release{at: End(s, r, clock, MedianPercent), accelerators: n})
	}
	if inUse == 0 {
		return 0
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	rounds := (need - 1) / inUse
	need -= rounds * inUse
	last := releases[len(releases)-1].at - clock
	for _, r := range releases {
		need -= r.accelerators
		if need <= 0 {
			return time.Duration(rounds)*last + r.at - clock
		}
	}
	return time.Duration(rounds+1) * last
}
