package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestStalled checks which runs without progress are started elsewhere.
func TestStalled(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name    string
		step    hswork.Step
		percent hswork.Percent
		wait    time.Duration
		moved   bool
	}{
		{"a short while", step(1, 1000, 1), 50, time.Second, false},
		{"for long", step(1, 1000, 1), 50, 3 * time.Second, true},
		{"a gang that finds each other", with(step(2, 1000, 1), gang), 0, 3500 * time.Millisecond, false},
		{"a gang for long", with(step(2, 1000, 1), gang), 50, 5 * time.Second, true},
		{"a member that waits for slower ones", with(step(2, 1000, 1), gang), 100, 10 * time.Second, false},
		{"a lasting task", with(step(1, 1000, 1), func(s *hswork.Step) { s.Lasts = true }), 100, 10 * time.Second, false},
	}
	for _, tt := range tables {
		b := newBed(t)
		a := b.worker("a", "r1-1")
		b.submit(1, 1, "w2", tt.step)
		b.begin("a")
		for i := range a.Running {
			a.Running[i].Percent = tt.percent
		}
		b.settle(tt.wait)
		if got := len(b.plans["a"].Runs) == 0; got != tt.moved {
			t.Errorf("%s: got moved %v, want %v", tt.name, got, tt.moved)
		}
	}
}

// TestLeaving checks that nothing is left to run when a worker leaves, and that what ends before isn't stopped.
func TestLeaving(t *testing.T) {
	long := step(1, 1000, 1)
	short := with(step(1, 1000, 1), func(s *hswork.Step) { s.Estimate = 500 * time.Millisecond })
	tables := []struct {
		name   string
		step   hswork.Step
		leaves time.Duration
		moved  bool
	}{
		{"one that would be lost", long, 2 * time.Second, true},
		{"one that ends before", short, 2 * time.Second, false},
		{"one that would end in the last moment", short, 600 * time.Millisecond, true},
		{"a lasting one", with(long, func(s *hswork.Step) { s.Lasts = true }), 2 * time.Second, true},
	}
	for _, tt := range tables {
		b := newBed(t)
		a := b.worker("a", "r1-1")
		b.submit(1, 1, "w2", tt.step)
		b.begin("a")
		a.Endpoint.Leaving = true
		a.Endpoint.LeavesIn = tt.leaves
		b.settle(100 * time.Millisecond)
		if got := len(b.plans["a"].Runs) == 0; got != tt.moved {
			t.Errorf("%s: got moved %v, want %v", tt.name, got, tt.moved)
		}
	}
}
