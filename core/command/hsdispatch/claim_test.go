package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestPreemptionBudget checks how many runs are preempted for an urgent job that no guarantee covers, when large
// tasks fill all workers and the job's small tasks together need one worker. It happens in a burst of urgent jobs.
func TestPreemptionBudget(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name   string
		urgent hswork.Step
		// runs is how long the large tasks have been running.
		runs time.Duration
		// want is how many of the two large tasks keep running.
		want int
	}{
		{"one large task is preempted for four small ones", step(4, 1000, 2), 5 * time.Second, 1},
		{"and for a gang of four", with(step(4, 1000, 2), gang), 5 * time.Second, 1},
		{"nothing is preempted when more work is lost than gained", with(step(4, 1000, 2), gang), 20 * time.Second, 2},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		h.addWorker("b", "r1-1")
		large := h.submit(1, 2, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Estimate = time.Minute }))
		h.applyPlans()
		h.advanceWithProgress(tt.runs)
		h.submit(2, 0, "w2", tt.urgent)
		h.advance(1300 * time.Millisecond)
		h.applyPlans()
		h.commit()
		h.assertEqual(tt.name, len(h.assignments(large)), tt.want)
	}
}

// TestRackLocality checks where a gang starts that is slow on several racks, when no rack has enough free capacity.
// It happens in an overload in which each rack has a little capacity left.
func TestRackLocality(t *testing.T) {
	gang := with(step(2, 1000, 8), func(s *hswork.Step) { s.Gang = true; s.SameRack = true })
	wide := with(gang, func(s *hswork.Step) { s.Count = 3 })
	tables := []struct {
		name      string
		workspace hsid.WorkspaceID
		priority  int
		step      hswork.Step
		// estimate is the run time of the fillers, which occupy one worker of each rack.
		estimate time.Duration
		want     []string
	}{
		{"runs are preempted on one rack", "w2", 0, gang, 10 * time.Second, []string{"a/1", "b/1"}},
		{"also for a covered gang", "w1", 0, gang, 10 * time.Second, []string{"a/1", "b/1"}},
		{"a gang that may not preempt runs waits", "w2", 2, gang, 10 * time.Second, nil},
		{"and runs on several racks when waiting takes longer than the slowdown", "w2", 2, gang, 10 * time.Minute, []string{"b/1", "d/1"}},
		{"a gang that fits on no rack doesn't wait", "w2", 0, wide, 10 * time.Second, []string{"a/1", "b/1", "d/1"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for i, w := range []string{"a", "b", "c", "d"} {
			h.addWorker(w, fmt.Sprintf("r1-%d", 1+i/2))
		}
		h.submit(1, 2, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Estimate = tt.estimate; s.Spread = 1; s.Label = "full" }))
		h.reports["a"].Endpoint.Labels = append(h.reports["a"].Endpoint.Labels, "full")
		h.reports["c"].Endpoint.Labels = append(h.reports["c"].Endpoint.Labels, "full")
		h.advance(100 * time.Millisecond)
		h.applyPlans()
		h.assertEqual(tt.name+": fillers", h.assignments(jobID(1)), []string{"a/1", "c/1"})
		job := h.submit(2, tt.priority, tt.workspace, tt.step)
		h.advance(300 * time.Millisecond)
		h.applyPlans()
		h.commit()
		h.assertEqual(tt.name, fmt.Sprint(h.assignments(job)), fmt.Sprint(tt.want))
	}
}
