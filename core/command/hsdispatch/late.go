package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// LateCause is what made a job miss its latency objective, as far as this leader saw it.
type LateCause string

// The causes. A job that was lost or restarted has that as its cause; otherwise the larger of its longest wait and its longest
// delay by a slow worker is, if it explains half of what the job is late by.
const (
	LateWaited     LateCause = "waited"
	LateSlowWorker LateCause = "slowWorker"
	LateRestarted  LateCause = "restarted"
	LateLost       LateCause = "lost"
	LateOther      LateCause = "other"
)

// Completion describes a completed job.
type Completion struct {
	Job hswork.ID
	// Took is the time since the job was accepted.
	Took      time.Duration
	Objective time.Duration
	// Late is the cause for a job that missed its objective; empty for one that met it.
	Late LateCause
	// Straggler is set if one of its units was restarted as a straggler.
	Straggler bool
}

// jobTrace is what this leader saw of an open job, to tell why it is late in the end.
type jobTrace struct {
	waited, slowedBy           time.Duration
	lost, restarted, straggler bool
}

// traceOf returns the trace of an open job.
func (d *Dispatcher) traceOf(id hswork.ID) *jobTrace {
	t := d.traces[id]
	if t == nil {
		t = &jobTrace{}
		d.traces[id] = t
	}
	return t
}

// traceStart records the start of a unit.
func (d *Dispatcher) traceStart(u *unit, members []hswork.Member, now time.Time) {
	t := d.traceOf(u.job.ID)
	factor := 1.0
	for _, m := range members {
		factor = max(factor, d.factorOf(m.Worker))
	}
	own := d.expectedRunTime(u.job, u.step)
	t.waited = max(t.waited, now.Sub(u.readySince))
	t.slowedBy = max(t.slowedBy, scaled(own, factor)-own)
	t.restarted = t.restarted || u.runNumber > 1
}

// traceLosses records the ends of runs that were lost with a worker.
func (d *Dispatcher) traceLosses(ends []hswork.End) {
	for i := range ends {
		if id := ends[i].Run.Task.Job; ends[i].Kind == hswork.EndLost && d.isOpen(id) {
			d.traceOf(id).lost = true
		}
	}
}

// reportCompleted reports the jobs that the commit of ends has completed, and drops the traces of those that are no longer open. Jobs
// with due times or occurrences and those without an objective aren't reported.
func (d *Dispatcher) reportCompleted(c *hswork.EndRuns) {
	for i := range c.Ends {
		id := c.Ends[i].Run.Task.Job
		t, j := d.traces[id], d.state.Jobs[id]
		if t == nil || d.isOpen(id) {
			continue
		}
		delete(d.traces, id)
		if j == nil || j.Phase != hswork.Completed || j.Start > 0 || j.OccurrenceCount() > 1 {
			continue
		}
		end := Completion{Job: id, Took: j.Ended - j.Accepted, Objective: d.latencyObjective(j), Straggler: t.straggler}
		if end.Objective <= 0 {
			continue
		}
		if excess := end.Took - end.Objective; excess > 0 {
			end.Late = t.cause(excess)
		}
		d.ports.Observer.Completed(end)
	}
}

// cause returns why a job is late by a time.
func (t *jobTrace) cause(excess time.Duration) LateCause {
	switch {
	case t.lost:
		return LateLost
	case t.restarted:
		return LateRestarted
	case t.slowedBy >= t.waited && t.slowedBy >= excess/2:
		return LateSlowWorker
	case t.waited >= excess/2:
		return LateWaited
	}
	return LateOther
}
