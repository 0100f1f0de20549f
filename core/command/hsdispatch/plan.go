package hsdispatch

import (
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// sendPlans sends every runner that needs it the whole of what its endpoint should run.
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
		d.ports.Sender.Send(w.peer, d.plan(w))
	}
}

func (d *Dispatcher) plan(w *worker) hsmessage.Plan {
	w.serial++
	life := w.tally.Endpoint.Life
	p := hsmessage.Plan{
		Term:        d.term,
		Serial:      w.serial,
		Incarnation: w.tally.Incarnation,
		Sequence:    w.tally.Sequence,
		For:         d.config.Lease,
		Life:        life,
		Noted:       w.noted,
		Controls:    d.controls,
	}
	for _, r := range d.placedOn(w.id) {
		switch {
		case r.place.Life > life || d.ending[r.run]:
		case r.place.Life < life:
			// Once this life has taken the stop, a late start from before can't begin here.
			p.Stops = append(p.Stops, r.run)
		case d.shouldRun(r):
			p.Runs = append(p.Runs, d.planned(w, r))
		default:
			p.Stops = append(p.Stops, r.run)
		}
	}
	return p
}

// shouldRun reports whether a placed run is still wanted. A gang that lost a member isn't.
func (d *Dispatcher) shouldRun(r placedRun) bool {
	if r.job.Phase != hswork.Open || r.task.Done || d.stopping[r.run] {
		return false
	}
	return !r.step.Gang || d.whole(r)
}

// whole reports whether every member of a gang is placed under the same run and none gives way.
func (d *Dispatcher) whole(r placedRun) bool {
	tasks := r.job.Rounds[r.run.Task.Occurrence].Steps[r.run.Task.Step]
	for i := range tasks {
		member := r.run
		member.Task.Index = i
		if tasks[i].Place(r.run.Number) == nil || d.stopping[member] || d.ending[member] {
			return false
		}
	}
	return true
}

// planned describes a run. The description of the job goes along only until the endpoint has the run.
func (d *Dispatcher) planned(w *worker, r placedRun) hsmessage.PlannedRun {
	p := hsmessage.PlannedRun{
		Run:        r.run,
		Checkpoint: r.task.Checkpoint,
		Ticket:     d.ticketFor(w, r.run.Task),
		TailTarget: r.step.TailTarget,
		Fills:      r.step.Fills,
	}
	p.Known = slices.ContainsFunc(w.tally.Running, func(x hsmessage.RunningTask) bool { return x.Run == r.run })
	if !p.Known {
		p.Spec = r.job.Spec
	}
	return p
}
