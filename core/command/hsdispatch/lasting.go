package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// firstRestart is the pause before a lasting task that ended is started again; it doubles with each end up to
	// maxRestart, and starts anew once the task has been at work for steadyAfter.
	firstRestart = 100 * time.Millisecond
	maxRestart   = 2 * time.Second
	steadyAfter  = 10 * time.Second
	// atWork is the progress that a lasting task shows while it serves.
	atWork = 100
)

// restart tells when a lasting task may start again.
type restart struct {
	pause time.Duration
	at    time.Time
}

// endedLasting notes the end of a lasting task.
func (d *Dispatcher) endedLasting(run hswork.RunID, now time.Time) {
	j := d.state.Jobs[run.Task.Work]
	if j == nil || j.Phase != hswork.Open || !j.Steps[run.Task.Step].Lasts {
		delete(d.restarts, run.Task)
		return
	}
	r := d.restarts[run.Task]
	if began, ok := d.began[run]; ok && now.Sub(began) > steadyAfter {
		r.pause = 0
	}
	r.pause = min(max(2*r.pause, firstRestart), maxRestart)
	r.at = now.Add(r.pause)
	d.restarts[run.Task] = r
}

// mayRestart reports whether the pause of a lasting task is over.
func (d *Dispatcher) mayRestart(u *unit, now time.Time) bool {
	return !u.step.Lasts || !now.Before(d.restarts[u.key()].at)
}

// spared reports whether a lasting task must not be stopped now: too many others of its step are away.
func (d *Dispatcher) spared(p placedRun) bool {
	if !p.step.Lasts {
		return false
	}
	away := 0
	tasks := p.job.Rounds[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	for i := range tasks {
		if i != p.run.Task.Index && !d.serves(p.run.Task, i, &tasks[i]) {
			away++
		}
	}
	return away >= p.step.MayMiss
}

// serves reports whether a lasting task of a step is at work.
func (d *Dispatcher) serves(of hswork.TaskID, index int, t *hswork.Task) bool {
	of.Index = index
	for _, p := range t.Places {
		run := hswork.RunID{Task: of, Number: p.Number}
		if !d.stopping[run] && !d.ending[run] && d.progress[run].percent >= atWork {
			return true
		}
	}
	return false
}
