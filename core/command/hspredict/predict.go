// Package hspredict estimates when jobs end and when a queued job starts.
//
// Run times come from what was observed of the same workspace and kind; a declared time is used only
// while nothing was observed, and DefaultRun when nothing was declared either. An estimate decides
// about early refusals and about filling reservations, never about whether an accelerator is free.
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

// DefaultRun is assumed for jobs of which nothing is known.
const DefaultRun = 10 * time.Minute

// Quantiles of the run times, in percent.
const (
	// Typical is used to predict a start.
	Typical = 50
	// Cautious is used where a late end would keep others waiting.
	Cautious = 90
)

// Run returns the estimated run time of a job at a quantile.
func Run(s *hsstate.State, spec *hsstate.Spec, percent int64) time.Duration {
	if d, ok := hsestimate.Run(s, spec.Workspace, spec.Kind, percent); ok {
		return d
	}
	return cmp.Or(spec.Expect, DefaultRun)
}

// End returns the estimated cluster time at which a running job ends. One that runs past its estimate
// is taken to run for as long again as it overran.
func End(s *hsstate.State, j *hsstate.Job, clock time.Duration, percent int64) time.Duration {
	end := j.Started + Run(s, &j.Spec, percent)
	if end <= clock {
		end = clock + (clock - end) + time.Second
	}
	return end
}

// release is a number of accelerators that become free at a time.
type release struct {
	at           time.Duration
	accelerators hsid.Accelerators
}

// Start estimates how long a job will wait, given the running jobs, the free accelerators, and how many
// accelerators the jobs ahead of it ask for.
func Start(s *hsstate.State, clock time.Duration, running []*hsstate.Job, free, ahead hsid.Accelerators, j *hsstate.Job) time.Duration {
	need := ahead + j.Spec.Shape.Total() - free
	if need <= 0 {
		return 0
	}
	releases := make([]release, 0, len(running))
	var turnover hsid.Accelerators
	for _, r := range running {
		n := r.Spec.Shape.Total()
		turnover += n
		releases = append(releases, release{at: End(s, r, clock, Typical), accelerators: n})
	}
	if turnover == 0 {
		return 0
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	rounds := (need - 1) / turnover
	need -= rounds * turnover
	last := releases[len(releases)-1].at - clock
	for _, r := range releases {
		need -= r.accelerators
		if need <= 0 {
			return time.Duration(rounds)*last + r.at - clock
		}
	}
	return time.Duration(rounds+1) * last
}
