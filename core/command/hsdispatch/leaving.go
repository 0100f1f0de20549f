package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// cannotBegin reports whether a placed run won't begin because its worker leaves: a runner starts nothing any more once its
// endpoint has announced that. It is so for starts that were under way when the notice arrived.
func (d *Dispatcher) cannotBegin(p placedRun, w *worker) bool {
	_, began := d.runningSince[p.run]
	return !began && w.report.ListsKnown && w.report.Endpoint.Leaving
}

// stopOnLeaving stops a unit whose start was committed after the notice of departure of one of its workers. The plans that follow
// would start the other members of the gang.
func (d *Dispatcher) stopOnLeaving(s *hswork.Start) {
	for _, m := range s.Members {
		w := d.workers[m.Worker]
		if w == nil {
			continue
		}
		run := hswork.RunID{Task: m.Task, Number: s.Number}
		for _, p := range d.placedOn(m.Worker) {
			if p.run == run && !d.stopping[run] && d.cannotBegin(p, w) {
				d.stopRun(p, StopLeaving, "")
				return
			}
		}
	}
}

// outlastsWorker reports whether a run has to be stopped because its worker leaves: it isn't expected to end early
// enough, or it is time to stop it. The end of a run that ends just as its worker leaves would go unseen, and the
// task would run again. With speeds, a gang counts as a whole, as its members end with the slowest one, and the time since the
// report counts.
func (d *Dispatcher) outlastsWorker(p placedRun, w *worker, now time.Time) bool {
	left := w.report.Endpoint.LeavesIn - d.config.StopTimeout - endCommitTime
	if !d.config.Features.Speeds {
		return left <= 0 || d.remainingTime(p, now) > left
	}
	left -= now.Sub(w.lastHeard)
	remaining := d.remainingTime(p, now)
	if p.step.Gang {
		remaining = max(remaining, d.gangPaceOf(p).endsIn)
	}
	return left <= 0 || remaining > left
}
