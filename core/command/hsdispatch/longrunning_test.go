package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// reportServing lets a worker report that all tasks that it runs are serving.
func (h *harness) reportServing(worker string) {
	report := h.reports[hsid.InstanceID(worker)]
	for i := range report.Running {
		report.Running[i].Percent = 100
	}
	h.report(worker)
}

// TestLongRunning checks that a long-running task is restarted however it ends, after a delay that grows.
func TestLongRunning(t *testing.T) {
	tables := []struct {
		name string
		kind hswork.EndKind
	}{
		{"done", hswork.EndDone},
		{"failed", hswork.EndFailed},
		{"broken", hswork.EndBroken},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		job := h.submit(1, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.LongRunning = true }))
		for n := hswork.RunNumber(1); n <= 4; n++ {
			h.applyPlan("a")
			h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: n}, tt.kind, "")
			h.advance(3 * time.Second)
			h.assertEqual(tt.name+": run", h.state.Jobs[job].Occurrences[0].Steps[0][0].Run, n+1)
		}
		h.assertEqual(tt.name+": phase", h.state.Jobs[job].Phase, hswork.Open)
	}
}

// TestMaxUnavailable checks that a long-running task isn't preempted when too many tasks of its step are unavailable
// already.
func TestMaxUnavailable(t *testing.T) {
	tables := []struct {
		name           string
		maxUnavailable int
		want           int
	}{
		{"none may be unavailable", 0, 8},
		{"two may be unavailable", 2, 6},
		{"all may be unavailable", 8, 0},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		longRunning := h.submit(1, 2, "w2", with(step(8, 100, 1), func(s *hswork.Step) { s.LongRunning = true; s.MaxUnavailable = tt.maxUnavailable }))
		h.applyPlan("a")
		h.reportServing("a")
		h.submit(2, 0, "w1", step(8-max(tt.want, 1), 100, 1))
		h.advance(100 * time.Millisecond)
		left := len(h.plans["a"].Runs)
		for _, r := range h.plans["a"].Runs {
			if r.Run.Task.Job != longRunning {
				left--
			}
		}
		if left < tt.want {
			t.Errorf("%s: got %d long-running tasks left, want at least %d", tt.name, left, tt.want)
		}
	}
}
