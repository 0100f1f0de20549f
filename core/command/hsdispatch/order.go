package hsdispatch

import (
	"cmp"
	"time"

	"hyssopseam/core/hswork"
)

// overdueFactor is how many times its latency objective a job may take before users have no use for its result.
const overdueFactor = 3

// sizeFactor weighs the size of a job against its slack.
const sizeFactor = 2

// missedPercent is by how much of its critical path a job has to miss its objective, if it started now, to count as
// certain to miss it. Run times are estimates.
const missedPercent = 25

// timeliness compares the age of a job with its latency objective.
type timeliness int

const (
	// onTime jobs haven't exceeded their objective, or still have slack.
	onTime timeliness = iota
	// late jobs have exceeded it and have no slack left, or are certain to exceed it.
	late
	// overdue jobs have exceeded overdueFactor times the objective.
	overdue
)

// latencyObjective returns how long a job may take to be on time.
func (d *Dispatcher) latencyObjective(j *hswork.Job) time.Duration {
	return time.Duration(j.Stretch*float64(d.criticalPath(j))) + j.Target
}

// age returns how long ago an occurrence became due, or a job without a start time was accepted.
func (d *Dispatcher) age(j *hswork.Job, occurrence int, now time.Time) time.Duration {
	if j.Start > 0 {
		return now.Sub(time.UnixMilli(j.Due(occurrence)))
	}
	return d.ports.Log.Clock() - j.Accepted
}

// updateTimeliness sets the timeliness of a unit's job, and the slack within which the unit has to start to be on
// time. Long-running units have no slack and are always on time. A job that is certain to miss its objective gives way to
// those that can still meet theirs, but not among jobs of the lowest priority, which all others precede already: there the
// oldest would never be served.
func (d *Dispatcher) updateTimeliness(u *unit, now time.Time) {
	age := d.age(u.job, u.tasks[0].Occurrence, now)
	objective := d.latencyObjective(u.job)
	path := d.criticalPath(u.job)
	if d.config.Features.Costs {
		// The steps before the unit's are done; their time is part of the age.
		path = d.pathFrom(u.job, u.key().Step)
	}
	remaining := objective - age - path
	u.slack = remaining + d.sizePenalty(u.job)
	switch {
	case u.step.LongRunning:
		u.slack = 0
	case age > overdueFactor*objective:
		u.timeliness = overdue
	case u.slack < 0 && age > objective:
		u.timeliness = late
	case remaining < -path*missedPercent/100 && u.job.Priority < d.lowestPriority:
		u.timeliness = late
	}
}

// sizePenalty returns the time for which a job would occupy the whole cluster, times sizeFactor. It is added to the
// slack of the job, so that small jobs don't wait behind one that needs the whole cluster.
func (d *Dispatcher) sizePenalty(j *hswork.Job) time.Duration {
	var busy float64
	for i := range j.Steps {
		s := &j.Steps[i]
		busy += stepCores(s) * float64(s.Count) * d.expectedRunTime(j, s).Seconds()
	}
	if d.totalCores <= 0 {
		return 0
	}
	return time.Duration(sizeFactor * busy / d.totalCores * float64(time.Second))
}

// compareUnits orders units: covered ones first, then by priority, by timeliness (on time before late before
// overdue), by slack, and by the order in which their jobs were accepted.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		-cmp.Compare(boolToInt(a.covered), boolToInt(b.covered)),
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(a.timeliness, b.timeliness),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.job.Index, b.job.Index),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
