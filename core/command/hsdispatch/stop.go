package hsdispatch

import (
	"time"

	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// StopReason is why the dispatcher stops a run.
type StopReason string

// The reasons. The first two are preemptions.
const (
	// StopForGuarantee frees capacity for a job that a guarantee covers.
	StopForGuarantee StopReason = "guarantee"
	// StopForPriority frees capacity for a job of a higher priority.
	StopForPriority StopReason = "priority"
	// StopStalled restarts a run that makes no progress.
	StopStalled StopReason = "stalled"
	// StopLeaving moves a run off a worker that leaves.
	StopLeaving StopReason = "leaving"
	// StopMaintenance moves a run off a worker whose machine is due for upkeep.
	StopMaintenance StopReason = "maintenance"
	// StopEvacuated moves a run that hasn't begun off a worker of an evacuated zone.
	StopEvacuated StopReason = "evacuated"
	// StopStraggler restarts a unit that is late because of a slow worker.
	StopStraggler StopReason = "straggler"
	// StopRefused gives up a run that its endpoint refused to start.
	StopRefused StopReason = "refused"
)

// Stop describes the decision to stop a run, and with it the other members of its gang.
type Stop struct {
	Run    hswork.RunID
	Worker hsid.InstanceID
	Reason StopReason
	// For is the job that the run is preempted for; empty for other reasons.
	For hswork.ID
	// Ran is how long the run has been in progress, as far as this leader saw it.
	Ran time.Duration
	// Thrown is the work that the run loses, with the rest of its gang.
	Thrown hscost.CoreSeconds
	// Cost is the cost of a preemption in core-seconds, as it was compared with that of others.
	Cost float64
	// Saved is what the caller of the job For is spared, in results of priority 0; 0 without Features.Costs.
	Saved hscost.Loss
}

// stopRun marks a run for stopping, along with the other members of its gang, requests the plans that say so, and
// reports the decision.
func (d *Dispatcher) stopRun(p placedRun, reason StopReason, by hswork.ID) {
	d.stopRunFor(p, Stop{Reason: reason, For: by})
}

// stopRunFor is stopRun for a decision that is described in part.
func (d *Dispatcher) stopRunFor(p placedRun, stop Stop) {
	stop.Run, stop.Worker = p.run, p.assignment.Worker
	stop.Thrown = d.thrownByStop(p, d.ports.Clock.Now())
	d.ports.Observer.WorkThrown(string(stop.Reason), stop.Thrown)
	if began, ok := d.runningSince[p.run]; ok {
		stop.Ran = d.ports.Clock.Now().Sub(began)
	}
	d.ports.Observer.Stopping(stop)
	for _, r := range d.stoppedWith(p) {
		d.stopping[r.run] = true
		d.requestPlan(r.assignment.Worker)
	}
}

// stoppedWith returns a run and the other placed members of its gang, in the order of their tasks.
func (d *Dispatcher) stoppedWith(p placedRun) []placedRun {
	if !p.step.Gang {
		return []placedRun{p}
	}
	var runs []placedRun
	tasks := p.job.Occurrences[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	for i := range tasks {
		task := p.run.Task
		task.Index = i
		if a := tasks[i].Assignment(p.run.Number); a != nil {
			runs = append(runs, newPlacedRun(p.job, task, &tasks[i], *a))
		}
	}
	return runs
}
