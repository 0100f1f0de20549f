package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// labelBySpeed gives the workers of an uneven fleet the labels fast and slow.
func (h *harness) labelBySpeed() {
	for id, report := range h.reports {
		report.Endpoint.Labels[0] = "slow"
		if h.slowdowns[id] < 1 {
			report.Endpoint.Labels[0] = "fast"
		}
	}
}

// onFast returns a step whose tasks need a fast worker each.
func onFast(count int, declared float64) hswork.Step {
	return with(seconds(step(count, 1000, 8), declared), func(s *hswork.Step) { s.Label = "fast" })
}

// TestTightGangBesideSlowWorkers checks what happens with an urgent gang of two whole workers while the slow workers are free and
// the fast ones busy. Pattern: bulk tasks fill the fast workers, and an urgent gang that starts on the slow ones is late.
func TestTightGangBesideSlowWorkers(t *testing.T) {
	tables := []struct {
		name     string
		priority int
		// busyPriority and work are those of the tasks on the fast workers, and after is how long these have run.
		busyPriority int
		work         float64
		after        time.Duration
		want         []string
		holds, stops int
	}{
		{"fast workers are free in a moment", 0, 1, 2, 1200 * time.Millisecond, []string{"a/1", "c/1"}, 1, 0},
		{"fast workers are busy with bulk tasks", 0, 2, 30, 300 * time.Millisecond, []string{"a/1", "c/1"}, 0, 2},
		{"fast workers are busy with urgent tasks", 0, 0, 30, 300 * time.Millisecond, []string{"b/1", "d/1"}, 0, 0},
		{"stopping the bulk tasks throws more away than the gang's work", 0, 2, 30, 6 * time.Second, []string{"b/1", "d/1"}, 0, 0},
		{"bulk gang beside bulk tasks", 2, 2, 30, 300 * time.Millisecond, []string{"b/1", "d/1"}, 0, 0},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		h.labelBySpeed()
		h.submitWork(1, tt.busyPriority, "w2", time.Duration(tt.work*float64(time.Second)), onFast(2, tt.work))
		h.advance(tt.after)
		if tt.priority == 0 {
			h.urgent()
		}
		gang := with(seconds(step(2, 1000, 8), 2.3), func(s *hswork.Step) { s.Gang = true })
		job := h.submitWork(2, tt.priority, "w2", 2300*time.Millisecond, gang)
		h.advance(900 * time.Millisecond)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
		h.assertEqual(tt.name+": holds", len(h.holds), tt.holds)
		h.assertEqual(tt.name+": stops", len(h.stops), tt.stops)
	}
}

// TestHoldEnds checks that a unit that waits for fast workers starts on slow ones after the stop timeout if these aren't free
// then, and that it isn't reported as held more than once.
func TestHoldEnds(t *testing.T) {
	h := unevenFleet(t)
	h.labelBySpeed()
	// The tasks on the fast workers take longer than their progress lets expect, and are as urgent as the gang.
	h.submit(1, 0, "w2", onFast(2, 2))
	h.applyPlans()
	h.advance(time.Second)
	for _, id := range []hsid.InstanceID{"a", "c"} {
		h.reports[id].Running[0].Percent = 90
	}
	h.advance(100 * time.Millisecond)
	h.urgent()
	gang := with(seconds(step(2, 1000, 8), 2.3), func(s *hswork.Step) { s.Gang = true })
	job := h.submitWork(2, 0, "w2", 2300*time.Millisecond, gang)
	h.advance(200 * time.Millisecond)
	h.assertEqual("at first", len(h.assignments(job)), 0)
	h.advance(400 * time.Millisecond)
	h.assertEqual("after the stop timeout", h.assignments(job), []string{"b/1", "d/1"})
	h.assertEqual("holds", len(h.holds), 1)
	h.assertEqual("reason", h.holds[0].Reason, hsdispatch.HoldForSpeed)
}

// TestCoveredGangOnUnevenFleet checks that a job covered by a guarantee begins within the reclaim time though the fast workers
// stay busy.
func TestCoveredGangOnUnevenFleet(t *testing.T) {
	const reclaim = 2700 * time.Millisecond
	tables := []struct {
		name     string
		priority int
		covered  hsid.WorkspaceID
	}{
		{"bulk tasks", 2, "w2"},
		{"urgent tasks that no guarantee covers", 0, "w2"},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		h.labelBySpeed()
		h.submitWork(1, tt.priority, tt.covered, time.Minute, onFast(2, 60))
		h.advance(4 * time.Second)
		h.urgent()
		job := h.submitWork(2, 0, "w1", time.Second, with(seconds(step(2, 1000, 4), 1), func(s *hswork.Step) { s.Gang = true }))
		h.advance(reclaim)
		running := 0
		for _, report := range h.reports {
			for _, r := range report.Running {
				if r.Run.Task.Job == job {
					running++
				}
			}
		}
		if done := h.state.Jobs[job].Phase == hswork.Completed; running < 2 && !done {
			t.Errorf("%s: got %d of 2 tasks running after %s, want all", tt.name, running, reclaim)
		}
	}
}
