package hsdispatch

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	// minRemaining is the shortest remaining time that is assumed for a running task.
	minRemaining = 250 * time.Millisecond
	// minExtrapolationPercent is the progress that has to be observed before the remaining time is extrapolated from
	// it.
	minExtrapolationPercent = 5
	// overrunPercent is the lower bound of the remaining time of a run without enough observed progress, in percent
	// of its run time so far. It takes effect when the run is close to its estimate or has exceeded it.
	overrunPercent = 50
)

// expectedRunTime returns the estimated run time of a task of a step on an average worker.
func (d *Dispatcher) expectedRunTime(j *hswork.Job, s *hswork.Step) time.Duration {
	return d.state.RunTimes[j.Queue].Estimate(s.Estimate)
}

// runTime returns how long a completed run took, on an average worker if speeds are learned. It returns 0 for a run that
// wasn't completed, or that this leader never saw running.
func (d *Dispatcher) runTime(e hsmessage.EndedTask, now time.Time) time.Duration {
	began, ok := d.runningSince[e.Run]
	if !ok || e.Kind != hswork.EndDone {
		return 0
	}
	return d.workOf(e.Run, now.Sub(began))
}

// remainingTime estimates when a run ends, as a duration from now.
func (d *Dispatcher) remainingTime(p placedRun, now time.Time) time.Duration {
	w := d.workers[p.assignment.Worker]
	if w == nil {
		return d.remainingOf(p, 1, now)
	}
	return d.remainingOn(p, w, now)
}

// remainingOn is remainingTime for a run whose worker is known. On an uneven fleet, the members of a gang end with the slowest one.
func (d *Dispatcher) remainingOn(p placedRun, w *worker, now time.Time) time.Duration {
	if d.fleet.uneven && p.step.Gang {
		return max(d.gangPaceOf(p).endsIn-now.Sub(d.lastPass), minRemaining)
	}
	return d.remainingOf(p, d.fleet.classes[w.speed].factor, now)
}

// remainingOf estimates the remaining time of one run on a worker that takes factor times as long as the average one. It
// extrapolates from the observed progress, or without enough of it falls back on the expected run time.
func (d *Dispatcher) remainingOf(p placedRun, factor float64, now time.Time) time.Duration {
	seen := d.progress[p.run]
	if gained := seen.percent - seen.firstPercent; gained >= minExtrapolationPercent {
		perPercent := seen.changedAt.Sub(seen.firstSeen) / time.Duration(gained)
		return max(perPercent*time.Duration(100-seen.percent)-now.Sub(seen.changedAt), minRemaining)
	}
	expected := scaled(d.expectedRunTime(p.job, p.step), factor)
	began, ok := d.runningSince[p.run]
	if !ok {
		return expected
	}
	elapsed := now.Sub(began)
	return max(expected-elapsed, elapsed*overrunPercent/100, minRemaining)
}

// criticalPath returns the estimated run time of the longest chain of dependent steps.
func (d *Dispatcher) criticalPath(j *hswork.Job) time.Duration {
	finishTimes := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, dep := range j.Steps[i].After {
			finishTimes[i] = max(finishTimes[i], finishTimes[dep])
		}
		finishTimes[i] += d.expectedRunTime(j, &j.Steps[i])
		longest = max(longest, finishTimes[i])
	}
	return longest
}
