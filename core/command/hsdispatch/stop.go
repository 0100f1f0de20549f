package hsdispatch

import (
	"time"

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
}

// stopRun marks a run for stopping, along with the other members of its gang, requests the plans that say so, and
// reports the decision.
func (d *Dispatcher) stopRun(p placedRun, reason StopReason, by hswork.ID) {
	stop := Stop{Run: p.run, Worker: p.assignment.Worker, Reason: reason, For: by}
	if began, ok := d.runningSince[p.run]; ok {
		stop.Ran = d.ports.Clock.Now().Sub(began)
	}
	d.ports.Observer.Stopping(stop)
	tasks := []hswork.Task{*p.task}
	if p.step.Gang {
		tasks = p.job.Occurrences[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	}
	for i := range tasks {
		run := p.run
		if p.step.Gang {
			run.Task.Index = i
		}
		if assignment := tasks[i].Assignment(p.run.Number); assignment != nil {
			d.stopping[run] = true
			d.requestPlan(assignment.Worker)
		}
	}
}
