package hsdispatch

import (
	"maps"
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// placedRun is a run that isn't proved to have ended.
type placedRun struct {
	run        hswork.RunID
	job        *hswork.Job
	step       *hswork.Step
	task       *hswork.Task
	assignment hswork.Assignment
}

// placedIndex holds the placed runs of each worker, ordered by hswork.CompareRuns. It follows the commands that are
// applied to the state, as rebuilding it for each command would take most of the time of a pass.
type placedIndex struct {
	byWorker map[hsid.InstanceID][]placedRun
	workerOf map[hswork.RunID]hsid.InstanceID
	// runsOf counts the placed runs of each job that has any.
	runsOf map[hswork.ID]int
}

// newPlacedIndex returns the index of a state.
func newPlacedIndex(s *hswork.State) *placedIndex {
	x := &placedIndex{byWorker: map[hsid.InstanceID][]placedRun{}, workerOf: map[hswork.RunID]hsid.InstanceID{}, runsOf: map[hswork.ID]int{}}
	for _, j := range s.Jobs {
		j.EachAssignment(func(id hswork.TaskID, t *hswork.Task, a hswork.Assignment) { x.add(newPlacedRun(j, id, t, a)) })
	}
	return x
}

func newPlacedRun(j *hswork.Job, id hswork.TaskID, t *hswork.Task, a hswork.Assignment) placedRun {
	return placedRun{run: hswork.RunID{Task: id, Number: a.Number}, job: j, step: &j.Steps[id.Step], task: t, assignment: a}
}

// applied updates the index after a command was applied to the state.
func (x *placedIndex) applied(s *hswork.State, c *hswork.Command) {
	switch {
	case c.Start != nil:
		for _, m := range c.Start.Members {
			x.update(s, hswork.RunID{Task: m.Task, Number: c.Start.Number})
		}
	case c.End != nil:
		for i := range c.End.Ends {
			x.update(s, c.End.Ends[i].Run)
		}
	}
}

// update brings the entry of a run in line with the state.
func (x *placedIndex) update(s *hswork.State, run hswork.RunID) {
	x.remove(run)
	j := s.Jobs[run.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(run.Task)
	if t == nil {
		return
	}
	if a := t.Assignment(run.Number); a != nil {
		x.add(newPlacedRun(j, run.Task, t, *a))
	}
}

func (x *placedIndex) add(p placedRun) {
	worker := p.assignment.Worker
	runs := x.byWorker[worker]
	i, _ := slices.BinarySearchFunc(runs, p.run, comparePlaced)
	x.byWorker[worker] = slices.Insert(runs, i, p)
	x.workerOf[p.run] = worker
	x.runsOf[p.run.Task.Job]++
}

func (x *placedIndex) remove(run hswork.RunID) {
	worker, ok := x.workerOf[run]
	if !ok {
		return
	}
	delete(x.workerOf, run)
	if x.runsOf[run.Task.Job]--; x.runsOf[run.Task.Job] == 0 {
		delete(x.runsOf, run.Task.Job)
	}
	runs := x.byWorker[worker]
	if i, found := slices.BinarySearchFunc(runs, run, comparePlaced); found {
		runs = slices.Delete(runs, i, i+1)
	}
	if len(runs) == 0 {
		delete(x.byWorker, worker)
		return
	}
	x.byWorker[worker] = runs
}

func comparePlaced(p placedRun, run hswork.RunID) int { return hswork.CompareRuns(p.run, run) }

// placedOn returns the placed runs of a worker, ordered by hswork.CompareRuns. The caller must not modify them, and they
// are valid until the next command is applied.
func (d *Dispatcher) placedOn(id hsid.InstanceID) []placedRun { return d.placed.byWorker[id] }

// workersWithRuns returns the workers with placed runs, in the order of their ids.
func (d *Dispatcher) workersWithRuns() []hsid.InstanceID {
	return slices.Sorted(maps.Keys(d.placed.byWorker))
}
