package hsdispatch

import (
	"cmp"
	"time"

	"hyssopseam/core/hswork"
)

// lateFactor is how many times its latency objective a job may take and still be worth something to the users.
const lateFactor = 3

// bulkFactor weighs the size of a job against its slack.
const bulkFactor = 2

// standing tells how a job stands with its latency objective.
type standing int

const (
	// onTime jobs can still meet the objective.
	onTime standing = iota
	// late jobs missed it.
	late
	// overdue jobs are past lateFactor times the objective.
	overdue
)

// objective returns how long a job may take to be on time.
func (d *Dispatcher) objective(j *hswork.Job) time.Duration {
	return time.Duration(j.Stretch*float64(d.chain(j))) + j.Target
}

// age returns for how long an occurrence has been due.
func (d *Dispatcher) age(j *hswork.Job, occurrence int, now time.Time) time.Duration {
	if j.Start > 0 {
		return now.Sub(time.UnixMilli(j.Due(occurrence)))
	}
	return d.ports.Log.Clock() - j.Accepted
}

// assess fills in how the job of a unit stands, and when the unit has to start to be on time.
func (d *Dispatcher) assess(u *unit, now time.Time) {
	age := d.age(u.job, u.tasks[0].Occurrence, now)
	objective := d.objective(u.job)
	u.slack = objective - age - d.chain(u.job) + d.bulk(u.job)
	switch {
	case u.step.Lasts:
		u.slack = 0
	case age > lateFactor*objective:
		u.standing = overdue
	case u.slack < 0 && age > objective:
		u.standing = late
	}
}

// bulk returns how long all workers together would be busy with a job. It stands back by that much: whoever
// needs little isn't kept waiting by one that needs all.
func (d *Dispatcher) bulk(j *hswork.Job) time.Duration {
	var busy float64
	for i := range j.Steps {
		s := &j.Steps[i]
		busy += coresOf(s) * float64(s.Count) * d.expectStep(j, s).Seconds()
	}
	if d.cores <= 0 {
		return 0
	}
	return time.Duration(bulkFactor * busy / d.cores * float64(time.Second))
}

// compareUnits orders units: covered ones first, then by priority, those that can still be on time before
// the others, and among equals the one that has to start first.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		-cmp.Compare(rank(a.covered), rank(b.covered)),
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(a.standing, b.standing),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.job.Index, b.job.Index),
	)
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}
