package hsdispatch

import (
	"math"
	"time"

	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// startTracker begins to learn the speeds of the workers if Features.Speeds is set, from those that were committed last.
func (d *Dispatcher) startTracker() {
	if !d.config.Features.Speeds {
		return
	}
	d.tracker = hsspeed.New(d.state.Speeds, d.ports.Log.Clock(), d.leadingSince)
	d.speeds = d.tracker
}

// speedWorkerSeen tells the tracker of a report of a worker.
func (d *Dispatcher) speedWorkerSeen(w *worker) {
	if d.tracker != nil {
		d.tracker.Seen(w.id, w.report.Endpoint.Incarnation, w.lastHeard)
	}
}

// observeProgress tells the tracker of a changed progress of a run. It leaves out runs that aren't placed on the worker, those
// without an end, those that others throttle, and those that are slow because they are off the rack of their data.
func (d *Dispatcher) observeProgress(report *hsmessage.RunnerReport, r hsmessage.RunningTask, now time.Time) {
	if d.tracker == nil || d.placed.workerOf[r.Run] != report.Instance {
		return
	}
	j := d.state.Jobs[r.Run.Task.Job]
	if j == nil {
		return
	}
	s := j.Step(r.Run.Task)
	if s == nil || s.LongRunning || s.BestEffort || s.DataRack != "" && s.DataRack != report.Endpoint.Rack {
		return
	}
	d.tracker.Progress(hsspeed.Reading{
		Run:      r.Run,
		Worker:   report.Instance,
		Percent:  r.Percent,
		At:       now,
		Expected: d.expectedRunTime(j, s),
		Gang:     s.Gang,
	})
}

// speedRunEnded tells the tracker that the end of a run was committed.
func (d *Dispatcher) speedRunEnded(run hswork.RunID) {
	if d.tracker != nil {
		d.tracker.Ended(run, d.ports.Clock.Now())
	}
}

// speedsCommitted tells the tracker of speeds that are in the replicated state now.
func (d *Dispatcher) speedsCommitted(u *hswork.SpeedUpdate) {
	if d.tracker != nil {
		d.tracker.Committed(u, d.ports.Clock.Now())
	}
}

// updateSpeeds brings the estimates up to date for a pass, and proposes those that have changed.
func (d *Dispatcher) updateSpeeds(now time.Time) {
	if d.tracker == nil {
		return
	}
	for _, c := range d.tracker.Update(now) {
		d.ports.Observer.SpeedChanged(c)
	}
	u := d.tracker.Proposal(now, d.ports.Log.Clock())
	if u != nil && !d.ports.Log.ProposeWork(&hswork.Command{Speeds: u}) {
		d.tracker.Rejected()
	}
}

// WorkersBySpeed returns the number of workers of each class of speed; zero if speeds aren't learned.
func (d *Dispatcher) WorkersBySpeed() hsspeed.Counts {
	if d.tracker == nil {
		return hsspeed.Counts{}
	}
	return d.tracker.Counts()
}

// workOf returns the time that a run of a step would have taken on an average worker, from the time that it took on its worker
// or, for a gang, on its slowest one.
func (d *Dispatcher) workOf(run hswork.RunID, took time.Duration) time.Duration {
	if d.tracker == nil {
		return took
	}
	worker, ok := d.placed.workerOf[run]
	if !ok {
		return took
	}
	slowdown := d.speeds.Estimate(worker).Slowdown
	if j := d.state.Jobs[run.Task.Job]; j != nil && j.Step(run.Task) != nil && j.Step(run.Task).Gang {
		for i := range j.Step(run.Task).Count {
			member := run
			member.Task.Index = i
			if id, ok := d.placed.workerOf[member]; ok {
				slowdown = max(slowdown, d.speeds.Estimate(id).Slowdown)
			}
		}
	}
	return time.Duration(float64(took) / math.Exp(float64(slowdown)))
}

var _ Speeds = (*hsspeed.Tracker)(nil)
