package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// reportServing lets a worker report that all tasks that it runs are serving.
func (h *harness) reportServing(worker string) {
	t := h.tallies[hsid.InstanceID(worker)]
	for i := range t.Running {
		t.Running[i].Percent = 100
	}
	h.report(worker)
}

// TestLasting checks that a long-running task is restarted however it ends, after a delay that grows.
func TestLasting(t *testing.T) {
	tables := []struct {
		name string
		how  hswork.How
	}{
		{"done", hswork.EndDone},
		{"failed", hswork.EndFailed},
		{"broken", hswork.EndBroken},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		job := h.submit(1, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Lasts = true }))
		for n := hswork.RunNumber(1); n <= 4; n++ {
			h.applyPlan("a")
			h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: n}, tt.how, "")
			h.advance(3 * time.Second)
			h.assertEqual(tt.name+": run", h.state.Jobs[job].Rounds[0].Steps[0][0].Run, n+1)
		}
		h.assertEqual(tt.name+": phase", h.state.Jobs[job].Phase, hswork.Open)
	}
}

// TestMayMiss checks that a long-running task isn't preempted when too many tasks of its step are unavailable already.
func TestMayMiss(t *testing.T) {
	tables := []struct {
		name    string
		mayMiss int
		want    int
	}{
		{"none may be unavailable", 0, 8},
		{"two may be unavailable", 2, 6},
		{"all may be unavailable", 8, 0},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		longRunning := h.submit(1, 2, "w2", with(step(8, 100, 1), func(s *hswork.Step) { s.Lasts = true; s.MayMiss = tt.mayMiss }))
		h.applyPlan("a")
		h.reportServing("a")
		h.submit(2, 0, "w1", step(8-max(tt.want, 1), 100, 1))
		h.advance(100 * time.Millisecond)
		left := len(h.plans["a"].Runs)
		for _, r := range h.plans["a"].Runs {
			if r.Run.Task.Work != longRunning {
				left--
			}
		}
		if left < tt.want {
			t.Errorf("%s: got %d long-running tasks left, want at least %d", tt.name, left, tt.want)
		}
	}
}
