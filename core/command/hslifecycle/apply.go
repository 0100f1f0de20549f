// Package hslifecycle applies committed commands to the state of step jobs.
//
// Apply is the only function that changes an hswork.State, apart from Job.EnsureOccurrence, which creates the empty
// state of the next occurrence when it is first asked for. Apply is deterministic. A command that no longer applies
// to the state has no effect: a start of a job that has been cancelled, an end that was already recorded, or a
// catalog that isn't newer than the one in force.
//
// # Usage
//
//	hslifecycle.Apply(state, command, index, clock)
package hslifecycle

import (
	"maps"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// retention is how long an ended job is kept. Callers may query its state for two minutes.
	retention = 10 * time.Minute
	// maxEndedJobs bounds the ended jobs that are kept: those of one day in the largest deployment.
	maxEndedJobs = 5000
	// maxWaves is the number of waves above which the oldest one is dropped once it is done.
	maxWaves = 100
)

// Apply applies one command, committed at the given log index and cluster time, to the state. It isn't safe for
// concurrent use.
func Apply(s *hswork.State, c *hswork.Command, index hsid.LogIndex, clock time.Duration) {
	switch {
	case c.Catalog != nil:
		if c.Catalog.Version > s.Catalog.Version {
			s.Catalog = *c.Catalog
			dropUnusedRunTimes(s)
		}
	case c.Submit != nil:
		submit(s, c.Submit, index, clock)
		// No speeds are recorded any more once they aren't learned.
		dropOldSpeeds(s, clock)
	case c.Start != nil:
		start(s, c.Start)
	case c.End != nil:
		for i := range c.End.Ends {
			end(s, &c.End.Ends[i], clock)
		}
	case c.Cancel != nil:
		if j := s.Jobs[c.Cancel.ID]; j != nil {
			finish(s, j, hswork.Cancelled, clock)
		}
	case c.Wave != nil:
		startWave(s, c.Wave, clock)
	case c.WaveDone != nil:
		if w := s.Wave(c.WaveDone.ID); w != nil {
			w.Done = true
		}
	case c.Upkeep != nil:
		recordUpkeep(s, c.Upkeep)
	case c.Zone != nil:
		evacuate(s, c.Zone, clock)
	case c.Speeds != nil:
		recordSpeeds(s, c.Speeds, clock)
	}
	pruneEndedJobs(s, clock)
}

// submit adds an open job, unless there is one of its id.
func submit(s *hswork.State, c *hswork.Submit, index hsid.LogIndex, clock time.Duration) {
	if s.Jobs[c.Submission.ID] != nil {
		return
	}
	s.Jobs[c.Submission.ID] = &hswork.Job{
		Submission:  c.Submission,
		Queue:       c.Queue,
		Pool:        c.Pool,
		Workspace:   c.Workspace,
		Priority:    c.Priority,
		MaxAttempts: c.Attempts,
		Stretch:     c.Stretch,
		Target:      c.Target,
		NeedsPermit: c.NeedsPermit,
		Accepted:    clock,
		Index:       index,
		Phase:       hswork.Open,
		Zone:        c.Zone,
	}
}

// start places all members, or none if one of them can no longer start.
func start(s *hswork.State, c *hswork.Start) {
	for _, m := range c.Members {
		j := s.Jobs[m.Task.Job]
		if j == nil || j.Phase != hswork.Open || j.EnsureOccurrence(m.Task.Occurrence) == nil {
			return
		}
		t := j.Task(m.Task)
		if t == nil || t.Done || len(t.Assignments) > 0 || c.Number <= t.Run {
			return
		}
	}
	for _, m := range c.Members {
		t := s.Jobs[m.Task.Job].Task(m.Task)
		t.Run = c.Number
		t.Assignments = append(t.Assignments, hswork.Assignment{Number: c.Number, Worker: m.Worker, EndpointIncarnation: m.EndpointIncarnation})
	}
}

// end records the end of a run. A completion or failure counts even if the run was given up as lost before, since an
// endpoint that was unreachable may report it later. Any other end of such a run has no effect.
func end(s *hswork.State, e *hswork.End, clock time.Duration) {
	j := s.Jobs[e.Run.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(e.Run.Task)
	if t == nil {
		return
	}
	placed := t.Assignment(e.Run.Number) != nil
	t.Assignments = slices.DeleteFunc(t.Assignments, func(a hswork.Assignment) bool { return a.Number == e.Run.Number })
	if placed && e.Kind != hswork.EndLost && e.Kind != hswork.EndNever {
		j.Started = true
	}
	tasks := []hswork.Task{}
	step := &j.Steps[e.Run.Task.Step]
	if step.Gang {
		tasks = j.Occurrences[e.Run.Task.Occurrence].Steps[e.Run.Task.Step]
	}
	forEachTask := func(change func(t *hswork.Task)) {
		if !step.Gang {
			change(t)
		}
		for i := range tasks {
			change(&tasks[i])
		}
	}
	if placed && e.Checkpoint != "" && e.Run.Number == t.Run {
		forEachTask(func(t *hswork.Task) { t.Checkpoint = e.Checkpoint })
	}
	switch {
	case e.Kind == hswork.EndDone && !t.Done && !step.LongRunning:
		recordRunTime(s, j, e)
		forEachTask(func(t *hswork.Task) { t.Done = true })
		if allDone(j) {
			finish(s, j, hswork.Completed, clock)
		}
	case e.Kind == hswork.EndFailed && !t.Done && !step.LongRunning:
		forEachTask(func(t *hswork.Task) {
			if !slices.Contains(t.Failed, e.Run.Number) {
				t.Failed = append(t.Failed, e.Run.Number)
			}
		})
		if len(t.Failed) >= j.MaxAttempts {
			finish(s, j, hswork.Failed, clock)
		}
	}
}

// recordRunTime adds the time that a run took to the run time statistics of its queue. Only first runs count, as
// later ones may have continued from a checkpoint.
func recordRunTime(s *hswork.State, j *hswork.Job, e *hswork.End) {
	if e.Took <= 0 || e.Run.Number > 1 {
		return
	}
	if s.RunTimes[j.Queue] == nil {
		s.RunTimes[j.Queue] = &hswork.RunTimeStats{}
	}
	s.RunTimes[j.Queue].Observe(e.Took, j.Steps[e.Run.Task.Step].Estimate)
}

// dropUnusedRunTimes drops the run times of queues that the catalog no longer lists.
func dropUnusedRunTimes(s *hswork.State) {
	exists := map[hswork.QueueName]bool{}
	for i := range s.Catalog.Queues {
		exists[s.Catalog.Queues[i].Name] = true
	}
	maps.DeleteFunc(s.RunTimes, func(name hswork.QueueName, _ *hswork.RunTimeStats) bool { return !exists[name] })
}

// allDone reports whether all occurrences of a job are done.
func allDone(j *hswork.Job) bool {
	if len(j.Occurrences) < j.OccurrenceCount() {
		return false
	}
	for k := range j.Occurrences {
		if !j.Occurrences[k].Done() {
			return false
		}
	}
	return true
}

// finish ends an open job. Its runs stay placed until they are proved to have ended.
func finish(s *hswork.State, j *hswork.Job, p hswork.Phase, clock time.Duration) {
	if j.Phase != hswork.Open {
		return
	}
	j.Phase = p
	j.Ended = clock
	s.Ended = append(s.Ended, j.ID)
}

// pruneEndedJobs drops ended jobs past retention or maxEndedJobs, oldest first. It stops at the first job that still
// has a run placed.
func pruneEndedJobs(s *hswork.State, clock time.Duration) {
	for len(s.Ended) > 0 {
		j := s.Jobs[s.Ended[0]]
		if j != nil {
			if clock-j.Ended < retention && len(s.Ended) <= maxEndedJobs {
				return
			}
			placed := false
			j.EachAssignment(func(hswork.TaskID, *hswork.Task, hswork.Assignment) { placed = true })
			if placed {
				return
			}
			delete(s.Jobs, j.ID)
		}
		s.Ended = s.Ended[1:]
	}
}
