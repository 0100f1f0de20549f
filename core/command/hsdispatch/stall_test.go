package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestStalled checks which runs without progress are stopped to be restarted on another worker.
func TestStalled(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name    string
		step    hswork.Step
		percent hswork.Percent
		wait    time.Duration
		moved   bool
	}{
		{"no progress for a short time", step(1, 1000, 1), 50, time.Second, false},
		{"no progress for too long", step(1, 1000, 1), 50, 3 * time.Second, true},
		{"a gang whose members connect to each other", with(step(2, 1000, 1), gang), 0, 3500 * time.Millisecond, false},
		{"a gang without progress for too long", with(step(2, 1000, 1), gang), 50, 5 * time.Second, true},
		{"a gang member that waits for slower ones", with(step(2, 1000, 1), gang), 100, 10 * time.Second, false},
		{"a long-running task", with(step(1, 1000, 1), func(s *hswork.Step) { s.LongRunning = true }), 100, 10 * time.Second, false},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := h.addWorker("a", "r1-1")
		h.submit(1, 1, "w2", tt.step)
		h.applyPlan("a")
		for i := range a.Running {
			a.Running[i].Percent = tt.percent
		}
		h.advance(tt.wait)
		if got := len(h.plans["a"].Runs) == 0; got != tt.moved {
			t.Errorf("%s: got moved %v, want %v", tt.name, got, tt.moved)
		}
	}
}

// TestLeaving checks that the runs on a leaving worker are stopped in time, unless they end early enough by
// themselves.
func TestLeaving(t *testing.T) {
	long := step(1, 1000, 1)
	short := with(step(1, 1000, 1), func(s *hswork.Step) { s.Estimate = 500 * time.Millisecond })
	tables := []struct {
		name   string
		step   hswork.Step
		leaves time.Duration
		moved  bool
	}{
		{"a run that would be lost", long, 2 * time.Second, true},
		{"a run that ends before the worker leaves", short, 2 * time.Second, false},
		{"a run that would end just as the worker leaves", short, 600 * time.Millisecond, true},
		{"a long-running task", with(long, func(s *hswork.Step) { s.LongRunning = true }), 2 * time.Second, true},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := h.addWorker("a", "r1-1")
		h.submit(1, 1, "w2", tt.step)
		h.applyPlan("a")
		a.Endpoint.Leaving = true
		a.Endpoint.LeavesIn = tt.leaves
		h.advance(100 * time.Millisecond)
		if got := len(h.plans["a"].Runs) == 0; got != tt.moved {
			t.Errorf("%s: got moved %v, want %v", tt.name, got, tt.moved)
		}
	}
}
