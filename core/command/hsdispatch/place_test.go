package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// step returns a step of equal tasks that take 8 GiB each and are declared to run for 10 s.
func step(count int, cores hsid.MilliCores, accelerators hsid.Accelerators) hswork.Step {
	return hswork.Step{Count: count, Estimate: 10 * time.Second, Need: hswork.Resources{Cores: cores, Memory: 8 * hsid.GiB, Accelerators: accelerators}}
}

// with returns a changed copy of a step.
func with(s hswork.Step, change func(s *hswork.Step)) hswork.Step {
	change(&s)
	return s
}

// TestPlace checks on which workers the tasks of a step are placed.
func TestPlace(t *testing.T) {
	tables := []struct {
		name string
		step hswork.Step
		want []string
	}{
		{"fills one worker first", step(2, 2000, 1), []string{"a/1", "a/1"}},
		{"the spread limit holds for tasks that start together", with(step(3, 2000, 1), func(s *hswork.Step) { s.Spread = 1 }), []string{"a/1", "b/1", "c/1"}},
		{"tasks beyond the spread limit of all workers wait", with(step(5, 2000, 1), func(s *hswork.Step) { s.Spread = 1 }), []string{"a/1", "b/1", "c/1", "d/1"}},
		{"a gang starts as a whole or not at all", with(step(5, 2000, 8), func(s *hswork.Step) { s.Gang = true }), nil},
		{"a gang on one rack", with(step(2, 2000, 8), func(s *hswork.Step) { s.Gang = true; s.SameRack = true }), []string{"a/1", "b/1"}},
		{"a label", with(step(1, 2000, 1), func(s *hswork.Step) { s.Label = "r1-2" }), []string{"c/1"}},
		{"the rack of the data", with(step(1, 2000, 1), func(s *hswork.Step) { s.DataRack = "r1-2" }), []string{"c/1"}},
		{"a demand larger than any worker", step(1, 33000, 1), nil},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		h.addWorker("b", "r1-1")
		h.addWorker("c", "r1-2")
		h.addWorker("d", "r1-2")
		job := h.submit(1, 1, "w2", tt.step)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
	}
}

// TestOrderOfSteps checks that a step starts only when the steps that it depends on are done.
func TestOrderOfSteps(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	job := h.submit(1, 1, "w2", step(1, 1000, 1), with(step(1, 1000, 1), func(s *hswork.Step) { s.After = []int{0} }))
	h.assertEqual("first step", h.assignments(job), []string{"a/1"})
	h.applyPlan("a")
	h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndDone, "")
	h.report("a")
	h.assertEqual("before the end is committed", len(h.state.Jobs[job].Occurrences[0].Steps[1][0].Assignments), 0)
	h.commit()
	h.assertEqual("after it", len(h.state.Jobs[job].Occurrences[0].Steps[1][0].Assignments), 1)
}

// TestReclaim checks that a job covered by a guarantee preempts as many runs of an uncovered job as it needs, and no
// more.
func TestReclaim(t *testing.T) {
	tables := []struct {
		name string
		step hswork.Step
	}{
		{"one task of a whole worker", step(1, 1000, 8)},
		{"many small tasks", step(8, 1000, 1)},
		{"a gang", with(step(2, 1000, 4), func(s *hswork.Step) { s.Gang = true })},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		h.addWorker("b", "r1-1")
		filler := h.submit(1, 2, "w2", step(16, 1000, 1))
		h.applyPlans()
		h.assertEqual(tt.name+": fillers", len(h.assignments(filler)), 16)
		job := h.submit(2, 0, "w1", tt.step)
		h.assertEqual(tt.name+": waits until the runs have stopped", len(h.assignments(job)), 0)
		h.applyPlans()
		h.commit()
		h.applyPlans()
		h.assertEqual(tt.name+": placed", len(h.assignments(job)), tt.step.Count)
		h.assertEqual(tt.name+": only as many are preempted as needed", len(h.assignments(filler)), 8)
	}
}

// TestDueOccurrences checks when the occurrences of a repeated job start, and that one doesn't wait for the one
// before.
func TestDueOccurrences(t *testing.T) {
	const interval = 2 * time.Second
	tables := []struct {
		name        string
		delay       time.Duration
		repeatCount int
		wait        time.Duration
		// ends completes the running task after the wait.
		ends bool
		want []string
	}{
		{"before the due time", time.Second, 1, 800 * time.Millisecond, false, nil},
		{"at the due time", time.Second, 1, 1100 * time.Millisecond, false, []string{"0"}},
		{"the second isn't due", time.Second, 2, 2900 * time.Millisecond, false, []string{"0"}},
		{"the second starts while the first runs", time.Second, 2, 3200 * time.Millisecond, false, []string{"0", "1"}},
		{"no more occurrences than asked for", time.Second, 2, 9 * time.Second, false, []string{"0", "1"}},
		{"the first is done and the second isn't due", time.Second, 2, 1500 * time.Millisecond, true, nil},
		{"all due long ago", -10 * time.Second, 3, 100 * time.Millisecond, false, []string{"0", "1", "2"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		s := hswork.Submission{
			ID: jobID(1), Spec: "spec", Steps: []hswork.Step{step(1, 1000, 1)},
			Start: h.now.Add(tt.delay).UnixMilli(), Interval: interval, RepeatCount: tt.repeatCount,
		}
		h.apply(&hswork.Command{Submit: &hswork.Submit{Submission: s, Queue: "queue", Pool: "pool", Workspace: "w2", Attempts: 2, Stretch: 3}})
		h.advanceWithProgress(tt.wait)
		h.advance(tt.wait % time.Second)
		if tt.ends {
			h.applyPlan("a")
			h.listEnd("a", hswork.RunID{Task: taskID(jobID(1), 0), Number: 1}, hswork.EndDone, "")
			h.report("a")
			h.commit()
		}
		var got []string
		h.state.Jobs[jobID(1)].EachAssignment(func(t hswork.TaskID, _ *hswork.Task, _ hswork.Assignment) {
			got = append(got, fmt.Sprint(t.Occurrence))
		})
		h.assertEqual(tt.name, got, tt.want)
		if phase := h.state.Jobs[jobID(1)].Phase; phase != hswork.Open {
			t.Errorf("%s: got phase %s, want it open", tt.name, phase)
		}
	}
}

// TestBackfillCountsWholeUnit checks that the members of a gang together stay within the capacity that a reservation
// leaves. A long run holds 4 of 8 accelerators, a task of 6 has reserved the worker until it ends, and 2 are spare.
func TestBackfillCountsWholeUnit(t *testing.T) {
	tables := []struct {
		name  string
		count int
		want  int
	}{
		{"a gang within the spare capacity", 2, 2},
		{"a gang beyond it", 4, 0},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for _, id := range []string{"a", "b", "c"} {
			h.addWorker(id, "r1-1")
		}
		filler := with(step(1, 1000, 4), func(s *hswork.Step) { s.Estimate = time.Minute })
		for i, id := range []string{"a", "b", "c"} {
			s := filler
			if id != "a" {
				s.Need.Accelerators = 8
			}
			h.submit(1+i, 0, "w2", s)
		}
		h.applyPlans()
		h.submit(10, 0, "w2", step(1, 1000, 6))
		gang := with(step(tt.count, 1000, 1), func(s *hswork.Step) { s.Gang = true; s.Estimate = 10 * time.Minute })
		job := h.submit(11, 0, "w2", gang)
		h.assertEqual(tt.name, len(h.assignments(job)), tt.want)
	}
}
