package hsdispatch

import (
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// sendPlans sends the plans that are due, in the order of the worker ids.
func (d *Dispatcher) sendPlans() {
	ids := make([]hsid.InstanceID, 0, len(d.workers))
	for id, w := range d.workers {
		if w.planDue {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := d.workers[id]
		w.planDue = false
		d.ports.Sender.Send(w.peer, d.buildPlan(w))
	}
}

// maxPlanSpecs limits the size of the specs in one plan, so that it fits into a message. The starts beyond it are deferred to
// the plans after the reports that list earlier ones.
const maxPlanSpecs = 2 * hsid.MiB

// buildPlan returns the next plan for a runner: everything that its endpoint should run and stop.
func (d *Dispatcher) buildPlan(w *worker) hsmessage.Plan {
	d.serials[w.id]++
	incarnation := w.report.Endpoint.Incarnation
	p := hsmessage.Plan{
		Term:                d.term,
		Serial:              d.serials[w.id],
		Incarnation:         w.report.Incarnation,
		Sequence:            w.report.Sequence,
		RunLease:            d.config.Lease,
		EndpointIncarnation: incarnation,
		AckedEnd:            w.acked,
		Controls:            d.controls,
		Fence:               hswork.NewFence(d.term, d.epochs[w.id]),
	}
	var specs hsid.Bytes
	for _, r := range d.placedOn(w.id) {
		switch {
		case r.assignment.EndpointIncarnation > incarnation || d.proposedEnds[r.run]:
		case r.assignment.EndpointIncarnation < incarnation:
			// Once this incarnation has accepted the stop, a delayed start for an earlier incarnation can't begin
			// here.
			p.Stops = append(p.Stops, r.run)
		case d.shouldRun(r):
			run := d.plannedRun(w, r)
			if specs += hsid.Bytes(len(run.Spec)); specs > maxPlanSpecs {
				run.Listed, run.Spec = true, ""
			}
			p.Runs = append(p.Runs, run)
		default:
			p.Stops = append(p.Stops, r.run)
		}
	}
	return p
}

// shouldRun reports whether a placed run should keep running or start. Once a gang has lost a member, none of its
// runs should.
func (d *Dispatcher) shouldRun(r placedRun) bool {
	if r.job.Phase != hswork.Open || r.task.Done || d.stopping[r.run] {
		return false
	}
	return !r.step.Gang || d.gangIntact(r)
}

// gangIntact reports whether every member of a run's gang is placed under the same run number, and none is being
// stopped or has a proposed end.
func (d *Dispatcher) gangIntact(r placedRun) bool {
	tasks := r.job.Occurrences[r.run.Task.Occurrence].Steps[r.run.Task.Step]
	for i := range tasks {
		member := r.run
		member.Task.Index = i
		if tasks[i].Assignment(r.run.Number) == nil || d.stopping[member] || d.proposedEnds[member] {
			return false
		}
	}
	return true
}

// plannedRun returns the entry of a plan for a run. The job's spec is included until the endpoint lists the run.
func (d *Dispatcher) plannedRun(w *worker, r placedRun) hsmessage.PlannedRun {
	p := hsmessage.PlannedRun{
		Run:        r.run,
		Checkpoint: r.task.Checkpoint,
		Ticket:     d.ticketFor(w, r.run.Task),
		TailTarget: r.step.TailTarget,
		BestEffort: r.step.BestEffort,
	}
	p.Listed = slices.ContainsFunc(w.report.Running, func(x hsmessage.RunningTask) bool { return x.Run == r.run })
	if !p.Listed {
		p.Spec = r.job.Spec
	}
	return p
}
