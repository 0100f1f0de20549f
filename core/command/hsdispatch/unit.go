package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// unit is what starts together: a whole gang, or one task.
type unit struct {
	job   *hswork.Job
	step  *hswork.Step
	tasks []hswork.TaskID
	// number is the run number of the next start.
	number hswork.RunNumber
	// covered is set for what the guarantee of its workspace covers.
	covered bool
	// since is when the unit was first seen ready.
	since    time.Time
	standing standing
	// slack is how long the unit may still wait and be on time.
	slack time.Duration
}

func (u *unit) key() hswork.TaskID { return u.tasks[0] }

// units returns what is ready to start, in the order in which it is served.
func (d *Dispatcher) units(now time.Time) []*unit {
	var all []*unit
	open := d.state.OpenJobs()
	d.coveredJobs = d.covered(open)
	ready := map[hswork.TaskID]time.Time{}
	for _, j := range open {
		for k := range d.dueRounds(j, now) {
			for s := range j.Steps {
				if d.stepReady(j, k, s) {
					all = append(all, d.unitsOf(j, k, s)...)
				}
			}
		}
	}
	for _, u := range all {
		u.covered = d.coveredJobs[u.job.ID]
		u.since = now
		if since, ok := d.ready[u.key()]; ok {
			u.since = since
		}
		ready[u.key()] = u.since
		d.assess(u, now)
	}
	d.ready = ready
	slices.SortStableFunc(all, compareUnits)
	return all
}

// dueRounds returns how many occurrences of a job are due.
func (d *Dispatcher) dueRounds(j *hswork.Job, now time.Time) int {
	if j.Start == 0 {
		return j.Occurrences()
	}
	passed := now.UnixMilli() - j.Start
	switch {
	case passed < 0:
		return 0
	case j.Every <= 0:
		return j.Occurrences()
	}
	return min(j.Occurrences(), 1+int(passed/j.Every.Milliseconds()))
}

// stepReady reports whether the steps that a step follows are done and it isn't.
func (d *Dispatcher) stepReady(j *hswork.Job, occurrence, step int) bool {
	o := j.Round(occurrence)
	if o == nil || o.StepDone(step) {
		return false
	}
	return !slices.ContainsFunc(j.Steps[step].After, func(before int) bool { return !o.StepDone(before) })
}

// unitsOf returns the units of a step that aren't placed and aren't being started.
func (d *Dispatcher) unitsOf(j *hswork.Job, occurrence, step int) []*unit {
	tasks := j.Rounds[occurrence].Steps[step]
	s := &j.Steps[step]
	id := func(i int) hswork.TaskID {
		return hswork.TaskID{Work: j.ID, Occurrence: occurrence, Step: step, Index: i}
	}
	var all []*unit
	if s.Gang {
		u := &unit{job: j, step: s}
		for i := range tasks {
			if len(tasks[i].Places) > 0 {
				return nil
			}
			u.tasks = append(u.tasks, id(i))
			u.number = max(u.number, tasks[i].Run+1)
		}
		all = append(all, u)
	} else {
		for i := range tasks {
			if !tasks[i].Done && len(tasks[i].Places) == 0 {
				all = append(all, &unit{job: j, step: s, tasks: []hswork.TaskID{id(i)}, number: tasks[i].Run + 1})
			}
		}
	}
	return slices.DeleteFunc(all, func(u *unit) bool { return d.starting[u.key()] != nil })
}

// covered returns the open jobs that the guarantees cover: those of priority 0, oldest first, as long as
// what they need together stays within the guarantee of their workspace.
func (d *Dispatcher) covered(open []*hswork.Job) map[hswork.ID]bool {
	covered := map[hswork.ID]bool{}
	used := map[hsid.WorkspaceID]hsid.Accelerators{}
	for _, j := range open {
		if j.Priority != 0 {
			continue
		}
		used[j.Workspace] += widest(j)
		covered[j.ID] = used[j.Workspace] <= d.state.Catalog.Guaranteed(j.Workspace)
	}
	return covered
}

// widest returns the accelerators of the step that takes the most.
func widest(j *hswork.Job) hsid.Accelerators {
	var most hsid.Accelerators
	for i := range j.Steps {
		most = max(most, hsid.Accelerators(j.Steps[i].Count)*j.Steps[i].Need.Accelerators)
	}
	return most
}
