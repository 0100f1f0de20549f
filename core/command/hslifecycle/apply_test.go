package hslifecycle_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hslifecycle"
	"hyssopseam/core/hswork"
)

const jobID = hswork.ID("0123456789abcdef")

// newState returns a state with one job of two steps, two tasks and then a gang of two, and a function that applies
// commands to it.
func newState(repeatCount int) (*hswork.State, func(c *hswork.Command)) {
	s := hswork.NewState()
	apply := func(c *hswork.Command) { hslifecycle.Apply(s, c, 1, time.Second) }
	steps := []hswork.Step{{Count: 2}, {Count: 2, Gang: true, After: []int{0}}}
	submission := hswork.Submission{ID: jobID, Steps: steps, RepeatCount: repeatCount}
	apply(&hswork.Command{Submit: &hswork.Submit{Submission: submission, Attempts: 2}})
	return s, apply
}

func taskID(step, index int) hswork.TaskID {
	return hswork.TaskID{Job: jobID, Step: step, Index: index}
}

func start(n hswork.RunNumber, tasks ...hswork.TaskID) *hswork.Command {
	s := &hswork.Start{Number: n}
	for _, t := range tasks {
		s.Members = append(s.Members, hswork.Member{Task: t, Worker: "w", EndpointIncarnation: 1})
	}
	return &hswork.Command{Start: s}
}

func end(t hswork.TaskID, n hswork.RunNumber, kind hswork.EndKind) *hswork.Command {
	return &hswork.Command{End: &hswork.EndRuns{Ends: []hswork.End{{Run: hswork.RunID{Task: t, Number: n}, Kind: kind, Checkpoint: "c"}}}}
}

// TestApply checks the phase of a job and its placed runs after sequences of commands.
func TestApply(t *testing.T) {
	a, b, g, h := taskID(0, 0), taskID(0, 1), taskID(1, 0), taskID(1, 1)
	tables := []struct {
		name        string
		repeatCount int
		commands    []*hswork.Command
		phase       hswork.Phase
		placed      int
	}{
		{"accepted", 1, nil, hswork.Open, 0},
		{"started", 1, []*hswork.Command{start(1, a)}, hswork.Open, 1},
		{"started twice", 1, []*hswork.Command{start(1, a), start(2, a)}, hswork.Open, 1},
		{"a start with a run number that isn't higher", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndLost), start(1, a)}, hswork.Open, 0},
		{"started again after a loss", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndLost), start(2, a)}, hswork.Open, 1},
		{"started after it is done", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndDone), start(2, a)}, hswork.Open, 0},
		{"a gang starts as a whole or not at all", 1, []*hswork.Command{start(1, g), start(2, g, h)}, hswork.Open, 1},
		{"done", 1, []*hswork.Command{
			start(1, a), start(1, b), end(a, 1, hswork.EndDone), end(b, 1, hswork.EndDone), start(1, g, h), end(g, 1, hswork.EndDone),
		}, hswork.Completed, 1},
		{"a second occurrence is still to run", 2, []*hswork.Command{
			start(1, a), start(1, b), end(a, 1, hswork.EndDone), end(b, 1, hswork.EndDone), start(1, g, h), end(g, 1, hswork.EndDone),
		}, hswork.Open, 1},
		{"done by a run that was given up as lost", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndLost), start(2, a), end(a, 1, hswork.EndDone),
		}, hswork.Open, 1},
		{"and the next step starts", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndLost), start(2, a), end(a, 1, hswork.EndDone), end(a, 2, hswork.EndStopped),
			start(1, b), end(b, 1, hswork.EndDone), start(1, g, h), end(g, 1, hswork.EndDone),
		}, hswork.Completed, 1},
		{"failed once", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndFailed)}, hswork.Open, 0},
		{"one failure reported twice", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndFailed), end(a, 1, hswork.EndFailed)}, hswork.Open, 0},
		{"failed in all attempts", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndFailed), start(2, a), end(a, 2, hswork.EndFailed),
		}, hswork.Failed, 0},
		{"a late failure of a run that was given up as lost counts", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndLost), start(2, a), end(a, 2, hswork.EndFailed), end(a, 1, hswork.EndFailed),
		}, hswork.Failed, 0},
		{"stops and losses don't count as failures", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndStopped), start(2, a), end(a, 2, hswork.EndLapsed), start(3, a), end(a, 3, hswork.EndBroken),
		}, hswork.Open, 0},
		{"cancelled", 1, []*hswork.Command{start(1, a), {Cancel: &hswork.Cancel{ID: jobID}}, start(1, b)}, hswork.Cancelled, 1},
	}
	for _, tt := range tables {
		s, apply := newState(tt.repeatCount)
		for _, c := range tt.commands {
			apply(c)
		}
		j := s.Jobs[jobID]
		if got := j.Phase; got != tt.phase {
			t.Errorf("%s: got phase %s, want %s", tt.name, got, tt.phase)
		}
		placed := 0
		j.EachAssignment(func(hswork.TaskID, *hswork.Task, hswork.Assignment) { placed++ })
		if placed != tt.placed {
			t.Errorf("%s: got %d placed runs, want %d", tt.name, placed, tt.placed)
		}
	}
}

// TestCatalogNeverGoesBack checks that only a catalog of a higher version takes effect.
func TestCatalogNeverGoesBack(t *testing.T) {
	s := hswork.NewState()
	for _, v := range []hswork.Version{2, 5, 5, 3} {
		hslifecycle.Apply(s, &hswork.Command{Catalog: &hswork.Catalog{Version: v, Content: []byte{byte(v)}}}, 1, 0)
	}
	if got := s.Catalog.Version; got != 5 {
		t.Errorf("got catalog version %d, want 5", got)
	}
}

// TestPruneEndedJobs checks that ended jobs are dropped after the retention time, but not while a run of them is
// placed.
func TestPruneEndedJobs(t *testing.T) {
	s, apply := newState(1)
	apply(start(1, taskID(0, 0)))
	apply(&hswork.Command{Cancel: &hswork.Cancel{ID: jobID}})
	later := func(c *hswork.Command) { hslifecycle.Apply(s, c, 2, time.Hour) }
	later(&hswork.Command{Cancel: &hswork.Cancel{ID: "other"}})
	if s.Jobs[jobID] == nil {
		t.Errorf("got the job dropped, want it kept while a run is placed")
	}
	later(end(taskID(0, 0), 1, hswork.EndStopped))
	if s.Jobs[jobID] != nil {
		t.Errorf("got the job kept, want it dropped")
	}
}

// TestRunTimes checks which runs count for the run times of a queue, and that they are dropped with the queue.
func TestRunTimes(t *testing.T) {
	took := func(n hswork.RunNumber, d time.Duration) *hswork.Command {
		c := end(taskID(0, 0), n, hswork.EndDone)
		c.End.Ends[0].Took = d
		return c
	}
	tables := []struct {
		name     string
		commands []*hswork.Command
		want     int
	}{
		{"a completed run", []*hswork.Command{start(1, taskID(0, 0)), took(1, time.Second)}, 1},
		{"a run without an observed run time", []*hswork.Command{start(1, taskID(0, 0)), took(1, 0)}, 0},
		{"a run that may have continued from a checkpoint", []*hswork.Command{
			start(1, taskID(0, 0)), end(taskID(0, 0), 1, hswork.EndStopped), start(2, taskID(0, 0)), took(2, time.Second),
		}, 0},
		{"a completion reported twice", []*hswork.Command{start(1, taskID(0, 0)), took(1, time.Second), took(1, time.Second)}, 1},
		{"a queue that the catalog no longer lists", []*hswork.Command{
			start(1, taskID(0, 0)), took(1, time.Second), {Catalog: &hswork.Catalog{Version: 2}},
		}, 0},
	}
	for _, tt := range tables {
		s, apply := newState(1)
		for _, c := range tt.commands {
			apply(c)
		}
		got := 0
		if e := s.RunTimes[""]; e != nil {
			got = e.Samples
		}
		if got != tt.want {
			t.Errorf("%s: got %d observations, want %d", tt.name, got, tt.want)
		}
	}
}
