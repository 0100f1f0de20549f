package hsdispatch

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// suspectAfter is the number of consecutive failures after which a worker is suspect.
	suspectAfter = 2
	// failureExpiry is the time without a failure after which the failures of a worker are forgotten.
	failureExpiry = 15 * time.Second
	// minProbePause is the time after a failure until a suspect worker is probed with one task. It doubles with each
	// further failure up to maxProbePause.
	minProbePause = time.Second
	maxProbePause = 8 * time.Second
)

// health counts the failures of runs on one incarnation of an endpoint.
type health struct {
	// failures counts the failed, refused and stalled runs since the last completed one.
	failures    int
	lastFailure time.Time
	// lastProbe is when a task was last placed on the worker while it was suspect.
	lastProbe time.Time
}

// recordDone records a completed run.
func (h *health) recordDone() { h.failures = 0 }

// recordFailure records a failed or refused run.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	h.lastFailure = now
}

// recordStall records a run that made no progress. A single stall makes the worker suspect: unlike a failure, which
// may be the task's fault, it is attributed to the worker.
func (h *health) recordStall(now time.Time) {
	h.failures = max(h.failures+1, suspectAfter)
	h.lastFailure = now
}

// expireFailures resets the count when the last failure is older than failureExpiry.
func (h *health) expireFailures(now time.Time) {
	if h.failures > 0 && now.Sub(h.lastFailure) > failureExpiry {
		h.failures = 0
	}
}

// suspect reports whether the worker appears to be faulty, whatever it runs.
func (h *health) suspect() bool { return h.failures >= suspectAfter }

// probeDue reports whether a suspect worker may get one task that shows whether it still fails.
func (h *health) probeDue(now time.Time) bool {
	pause := maxProbePause
	for n, p := suspectAfter, minProbePause; p < maxProbePause; n, p = n+1, 2*p {
		if h.failures <= n {
			pause = p
			break
		}
	}
	return now.Sub(h.lastFailure) >= pause && now.Sub(h.lastProbe) >= pause
}

// recordEnd records the end of a run in the health of its worker. Ends other than completion and failure don't count,
// and neither does a failure that appears to be the fault of the job.
func (d *Dispatcher) recordEnd(w *worker, run hswork.RunID, kind hswork.EndKind) {
	switch {
	case kind == hswork.EndDone:
		w.health.recordDone()
		d.recordCompleted(w.id)
	case kind == hswork.EndFailed && !d.jobAtFault(w, run):
		w.health.recordFailure(w.lastHeard)
		d.recordEvidence(w.id, EvidenceFailed, w.lastHeard)
	}
}

// jobAtFault records a failure of a step on a worker, and reports whether the step is likely to fail on any: none of
// its tasks is done, and tasks of it failed on other workers before.
func (d *Dispatcher) jobAtFault(w *worker, run hswork.RunID) bool {
	id := stepIDOf(run.Task)
	failedOn := d.failedOn[id]
	if failedOn == nil {
		failedOn = map[hsid.InstanceID]bool{}
		d.failedOn[id] = failedOn
	}
	failedOn[w.id] = true
	tasks := d.state.Jobs[run.Task.Job].Occurrences[run.Task.Occurrence].Steps[run.Task.Step]
	for i := range tasks {
		if tasks[i].Done {
			return false
		}
	}
	return len(failedOn) > 1
}

// dropFailures forgets on which workers the steps of ended jobs failed.
func (d *Dispatcher) dropFailures() {
	for id := range d.failedOn {
		if j := d.state.Jobs[id.Job]; j == nil || j.Phase != hswork.Open {
			delete(d.failedOn, id)
		}
	}
}

// avoids reports whether a unit shouldn't be placed on a worker because of failures there. A suspect worker gets one
// task at a time as a probe, of a job that can still afford a failure; a unit that can't afford one also avoids
// workers with a single failure. Nor is a unit placed on a worker that isn't trusted enough for it. Covered units, which have to
// start in time, use such workers as a last resort, and so do long-running ones, and others while much of the fleet is idle,
// after a short wait.
func (d *Dispatcher) avoids(u *unit, o *offer) bool {
	h := &o.worker.health
	now := d.lastPass
	distrust := d.distrust(u, o)
	switch {
	case h.failures == 0 && distrust == 0 || u.covered:
		return false
	case d.hasWaited(u):
		return false
	case distrust > 0:
		u.distrusts = u.distrusts || o.free.Holds(need(u.step))
		return true
	case h.suspect():
		return len(u.tasks) > 1 || u.lastAttempt() || !h.probeDue(now)
	}
	return u.lastAttempt()
}
