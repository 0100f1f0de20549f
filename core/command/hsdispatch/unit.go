package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// unit is a set of tasks that start together: a whole gang, or a single task.
type unit struct {
	job   *hswork.Job
	step  *hswork.Step
	tasks []hswork.TaskID
	// runNumber is the run number of the next start.
	runNumber hswork.RunNumber
	// covered is set if the guarantee of its workspace covers the job.
	covered bool
	// readySince is when the unit was first seen ready.
	readySince time.Time
	timeliness timeliness
	// slack is how long the unit may still wait and be on time.
	slack time.Duration
	// usesHeadroom is set if the unit may be placed on the headroom of an offer.
	usesHeadroom bool
	// outlook is that of the unit's step in this pass; nil before it is needed.
	outlook *outlook
	// trust is the level that a worker needs to get the unit.
	trust TrustLevel
	// distrusts is set if the unit was kept off a worker with free capacity that isn't trusted enough.
	distrusts bool
	// maxRisk, if above zero, restricts the unit to workers on which its risk of being late after riskWait isn't larger.
	maxRisk  float64
	riskWait time.Duration
	// cost is set if Features.Costs is on and room is short.
	cost unitCost
}

// key returns the first task, which identifies the unit.
func (u *unit) key() hswork.TaskID { return u.tasks[0] }

// lastAttempt reports whether another failure makes the job fail. It is false for a job that may fail only once, which
// has no attempt to spare from the beginning.
func (u *unit) lastAttempt() bool {
	failed := 0
	for _, t := range u.tasks {
		failed = max(failed, len(u.job.Task(t).Failed))
	}
	return failed > 0 && failed+1 >= u.job.MaxAttempts
}

// readyUnits returns the units that are ready to start, in scheduling order.
func (d *Dispatcher) readyUnits(now time.Time) []*unit {
	var units []*unit
	open := d.state.OpenJobs()
	d.coveredJobs = d.jobsUnderGuarantee(open)
	d.lowestPriority = 0
	for i := range d.state.Catalog.Queues {
		d.lowestPriority = max(d.lowestPriority, d.state.Catalog.Queues[i].Priority)
	}
	readySince := map[hswork.TaskID]time.Time{}
	for _, j := range open {
		for k := range d.dueOccurrences(j, now) {
			for s := range j.Steps {
				if d.stepReady(j, k, s) {
					units = append(units, d.unitsOfStep(j, k, s)...)
				}
			}
		}
	}
	var previous *unit
	for _, u := range units {
		u.covered = d.coveredJobs[u.job.ID]
		u.readySince = now
		if since, ok := d.readySince[u.key()]; ok {
			u.readySince = since
		}
		readySince[u.key()] = u.readySince
		if previous != nil && previous.step == u.step && previous.key().Occurrence == u.key().Occurrence {
			u.timeliness, u.slack = previous.timeliness, previous.slack
		} else {
			d.updateTimeliness(u, now)
		}
		previous = u
		u.usesHeadroom = d.mayUseHeadroom(u)
	}
	d.readySince = readySince
	d.resetCosts()
	if d.config.Features.Costs && d.roomIsShort(units) {
		d.sortByCost(units, now)
	} else {
		slices.SortStableFunc(units, compareUnits)
	}
	if d.config.Features.Shares {
		d.shareUnits(units, now)
	}
	return units
}

// dueOccurrences returns how many occurrences of a job are due.
func (d *Dispatcher) dueOccurrences(j *hswork.Job, now time.Time) int {
	if j.Start == 0 {
		return j.OccurrenceCount()
	}
	passed := now.UnixMilli() - j.Start
	switch {
	case passed < 0:
		return 0
	case j.Interval <= 0:
		return j.OccurrenceCount()
	}
	return min(j.OccurrenceCount(), 1+int(passed/j.Interval.Milliseconds()))
}

// stepReady reports whether a step isn't done and all steps that it depends on are. It creates the state of the
// occurrence if that is the next one.
func (d *Dispatcher) stepReady(j *hswork.Job, occurrence, step int) bool {
	o := j.EnsureOccurrence(occurrence)
	if o == nil || o.StepDone(step) {
		return false
	}
	return !slices.ContainsFunc(j.Steps[step].After, func(dep int) bool { return !o.StepDone(dep) })
}

// unitsOfStep returns the units of a step that are neither done nor placed and have no proposed start.
func (d *Dispatcher) unitsOfStep(j *hswork.Job, occurrence, step int) []*unit {
	tasks := j.Occurrences[occurrence].Steps[step]
	s := &j.Steps[step]
	id := func(i int) hswork.TaskID {
		return hswork.TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}
	}
	var units []*unit
	if s.Gang {
		u := &unit{job: j, step: s}
		for i := range tasks {
			if len(tasks[i].Assignments) > 0 {
				return nil
			}
			u.tasks = append(u.tasks, id(i))
			u.runNumber = max(u.runNumber, tasks[i].Run+1)
		}
		units = append(units, u)
	} else {
		for i := range tasks {
			if !tasks[i].Done && len(tasks[i].Assignments) == 0 {
				units = append(units, &unit{job: j, step: s, tasks: []hswork.TaskID{id(i)}, runNumber: tasks[i].Run + 1})
			}
		}
	}
	return slices.DeleteFunc(units, func(u *unit) bool { return d.proposedStarts[u.key()] != nil })
}

// jobsUnderGuarantee returns the open jobs that are covered by a guarantee: those of priority 0, oldest first, as
// long as the accelerators that they need together stay within the guarantee of their workspace.
func (d *Dispatcher) jobsUnderGuarantee(open []*hswork.Job) map[hswork.ID]bool {
	covered := map[hswork.ID]bool{}
	used := map[hsid.WorkspaceID]hsid.Accelerators{}
	for _, j := range open {
		if j.Priority != 0 {
			continue
		}
		used[j.Workspace] += peakAccelerators(j)
		covered[j.ID] = used[j.Workspace] <= d.state.Catalog.Guaranteed(j.Workspace)
	}
	return covered
}

// peakAccelerators returns the accelerators that the step of a job with the highest demand needs for all its tasks.
func peakAccelerators(j *hswork.Job) hsid.Accelerators {
	var most hsid.Accelerators
	for i := range j.Steps {
		most = max(most, hsid.Accelerators(j.Steps[i].Count)*j.Steps[i].Need.Accelerators)
	}
	return most
}
