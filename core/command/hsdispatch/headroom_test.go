package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestHeadroom checks where a task of low priority goes after an urgent run has ended. Pattern: urgent jobs come one after
// another on a busy fleet, and the tasks that fill the gaps between them are preempted before they end, again and again.
func TestHeadroom(t *testing.T) {
	low := func(change func(s *hswork.Step)) hswork.Step { return with(step(1, 4000, 1), change) }
	tables := []struct {
		name string
		// busy is set if the rest of the fleet is in use.
		busy bool
		// memory is what each of the runs uses of a worker's 128 GiB.
		memory hsid.Bytes
		step   hswork.Step
		wait   time.Duration
		want   int
	}{
		{"a task that would lose its work leaves the capacity free", true, 128 * hsid.GiB, low(func(*hswork.Step) {}), 0, 0},
		{"until no urgent job came for a while", true, 128 * hsid.GiB, low(func(*hswork.Step) {}), 9 * time.Second, 1},
		{"a task that saves checkpoints uses it", true, 128 * hsid.GiB, low(func(s *hswork.Step) { s.Checkpoints = true }), 0, 1},
		{"a task that would be late otherwise uses it", true, 128 * hsid.GiB, low(func(s *hswork.Step) { s.Estimate = time.Second }), 0, 1},
		{"a job of which nothing runs waits", true, 8 * hsid.GiB, low(func(*hswork.Step) {}), 1500 * time.Millisecond, 0},
		{"but not for long while a resource is idle", true, 8 * hsid.GiB, low(func(*hswork.Step) {}), 2200 * time.Millisecond, 1},
		{"on an idle fleet it is used", false, 128 * hsid.GiB, low(func(*hswork.Step) {}), 0, 1},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for i := range 4 {
			h.addWorker(fmt.Sprintf("w%d", i), "r1-1")
		}
		whole := with(step(1, 32000, 8), func(s *hswork.Step) { s.Need.Memory = tt.memory; s.Estimate = time.Minute })
		urgent := h.submit(1, 0, "w2", whole)
		if tt.busy {
			for n := range 3 {
				h.submit(2+n, 0, "w2", whole)
			}
		}
		h.applyPlans()
		h.advance(200 * time.Millisecond)
		worker := h.state.Jobs[urgent].Task(taskID(urgent, 0)).Assignments[0].Worker
		h.listEnd(string(worker), hswork.RunID{Task: taskID(urgent, 0), Number: 1}, hswork.EndDone, "")
		h.report(string(worker))
		h.commit()
		job := h.submit(10, 2, "w2", tt.step)
		h.advance(tt.wait)
		h.assertEqual(tt.name, len(h.assignments(job)), tt.want)
	}
}

// TestUrgentUsesHeadroom checks that the next urgent job starts at once on the capacity that was kept, with no run
// stopped for it.
func TestUrgentUsesHeadroom(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		h.addWorker(id, "r1-1")
	}
	urgent := with(step(8, 2000, 1), func(s *hswork.Step) { s.Need.Memory = 10 * hsid.GiB; s.Gang = true; s.SameRack = true })
	filler := with(step(40, 4000, 1), func(s *hswork.Step) { s.Need.Memory = 16 * hsid.GiB; s.Estimate = 9 * time.Second })
	h.submit(1, 0, "w2", urgent)
	h.submit(2, 2, "w2", filler)
	h.applyPlans()
	h.advance(time.Second)
	for i := range urgent.Count {
		for _, id := range []string{"a", "b", "c", "d"} {
			h.listEnd(id, hswork.RunID{Task: taskID(jobID(1), i), Number: 1}, hswork.EndDone, "")
		}
	}
	h.reportAll()
	h.commit()
	h.advance(time.Second)
	h.submit(3, 0, "w2", urgent)
	h.assertEqual("tasks of the next urgent job placed", len(h.assignments(jobID(3))), urgent.Count)
	h.assertEqual("runs stopped for it", len(h.stops), 0)
}
