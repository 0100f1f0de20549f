package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// minRestartDelay is the delay before a long-running task that ended is started again. It doubles with each end
	// up to maxRestartDelay, and is reset once a run lasts longer than restartDelayReset.
	minRestartDelay   = 100 * time.Millisecond
	maxRestartDelay   = 2 * time.Second
	restartDelayReset = 10 * time.Second
	// servingPercent is the progress that a long-running task reports while it serves.
	servingPercent = 100
)

// restart is the backoff of a long-running task.
type restart struct {
	delay     time.Duration
	notBefore time.Time
}

// scheduleRestart updates the backoff of a long-running task whose run ended. For any other task, and for jobs that
// are no longer open, it drops the backoff.
func (d *Dispatcher) scheduleRestart(run hswork.RunID, now time.Time) {
	j := d.state.Jobs[run.Task.Job]
	if j == nil || j.Phase != hswork.Open || !j.Steps[run.Task.Step].LongRunning {
		delete(d.restarts, run.Task)
		return
	}
	r := d.restarts[run.Task]
	if began, ok := d.runningSince[run]; ok && now.Sub(began) > restartDelayReset {
		r.delay = 0
	}
	r.delay = min(max(2*r.delay, minRestartDelay), maxRestartDelay)
	r.notBefore = now.Add(r.delay)
	d.restarts[run.Task] = r
}

// mayRestart reports whether the restart delay of a long-running task has passed. It is true for other tasks.
func (d *Dispatcher) mayRestart(u *unit, now time.Time) bool {
	return !u.step.LongRunning || !now.Before(d.restarts[u.key()].notBefore)
}

// atMaxUnavailable reports whether a long-running task must not be stopped now because MaxUnavailable or more of the
// other tasks of its step aren't serving. It is false for other tasks.
func (d *Dispatcher) atMaxUnavailable(p placedRun) bool {
	if !p.step.LongRunning {
		return false
	}
	unavailable := 0
	tasks := p.job.Occurrences[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	for i := range tasks {
		if i != p.run.Task.Index && !d.isServing(p.run.Task, i, &tasks[i]) {
			unavailable++
		}
	}
	return unavailable >= p.step.MaxUnavailable
}

// isServing reports whether a long-running task, by its index in the step, has a run that serves and isn't being
// stopped.
func (d *Dispatcher) isServing(task hswork.TaskID, index int, t *hswork.Task) bool {
	task.Index = index
	for _, a := range t.Assignments {
		run := hswork.RunID{Task: task, Number: a.Number}
		if !d.stopping[run] && !d.proposedEnds[run] && d.progress[run].percent >= servingPercent {
			return true
		}
	}
	return false
}
