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

// TestSlowTaskIsNotStalled checks that a task whose percent steps take longer than the stall timeout goes on. Pattern: tasks of
// two minutes and more list a whole percentage every few seconds, and were stopped before they reached the first one.
func TestSlowTaskIsNotStalled(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name     string
		step     hswork.Step
		declared time.Duration
		work     time.Duration
		slowdown float64
	}{
		{"a task of 130 s", step(1, 1000, 1), 130 * time.Second, 130 * time.Second, 1},
		{"a task of 130 s on a slow worker", step(1, 1000, 1), 130 * time.Second, 130 * time.Second, 2.4},
		{"a gang on a slow worker", with(step(2, 1000, 1), gang), 300 * time.Second, 300 * time.Second, 2.4},
		{"a task that was declared too short", step(1, 1000, 1), 260 * time.Second, 400 * time.Second, 1},
		{"a task of many hours", step(1, 1000, 1), 1000 * time.Hour, 1000 * time.Hour, 1},
		{"a task with the longest time that can be declared", step(1, 1000, 1), 1<<63 - 1, 1000 * time.Hour, 1},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		h.slowdowns["a"] = tt.slowdown
		h.submitWork(1, 1, "w2", tt.work, with(tt.step, func(s *hswork.Step) { s.Estimate = tt.declared }))
		h.advance(25 * time.Second)
		h.assertEqual(tt.name+": stops", len(h.stops), 0)
	}
}

// TestStallOfLongTask checks that the stall of a long task is still found once it lasts longer than two percent steps and the
// timeout.
func TestStallOfLongTask(t *testing.T) {
	tables := []struct {
		name string
		wait time.Duration
		want int
	}{
		{"within two steps and the timeout", 4500 * time.Millisecond, 0},
		{"after them", 5 * time.Second, 1},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := h.addWorker("a", "r1-1")
		h.submit(1, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Estimate = 130 * time.Second }))
		h.applyPlan("a")
		a.Running[0].Percent = 1
		h.advance(tt.wait)
		h.assertEqual(tt.name+": stops", len(h.stops), tt.want)
	}
}
