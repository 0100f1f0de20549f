package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestLateCauses checks which cause is reported for a job that misses its objective of 3.75 s.
func TestLateCauses(t *testing.T) {
	tables := []struct {
		name     string
		slowdown float64
		// busy is how long another job keeps the worker, and lose is when the worker is lost; 0 for never.
		busy, lose time.Duration
		want       []hsdispatch.LateCause
	}{
		{"on time", 1, 0, 0, []hsdispatch.LateCause{""}},
		{"slow worker", 2, 0, 0, []hsdispatch.LateCause{hsdispatch.LateSlowWorker}},
		{"waited", 1, 4 * time.Second, 0, []hsdispatch.LateCause{hsdispatch.LateWaited}},
		{"lost", 1, 0, 2 * time.Second, []hsdispatch.LateCause{hsdispatch.LateLost}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.slowdowns = map[hsid.InstanceID]float64{"a": tt.slowdown}
		h.speeds = h.estimates()
		h.features.Speeds = true
		h.startLeadership(1)
		h.addWorker("a", "r1-1")
		h.stretch = 0
		if tt.busy > 0 {
			h.submitWork(1, 0, "w2", tt.busy, seconds(step(1, 1000, 8), tt.busy.Seconds()))
		}
		h.advance(200 * time.Millisecond)
		h.urgent()
		h.submitWork(2, 0, "w2", 2300*time.Millisecond, seconds(step(1, 1000, 8), 2.3))
		if tt.lose > 0 {
			h.advance(tt.lose)
			h.depart("a")
			h.advance(200 * time.Millisecond)
			h.comeBack("a")
		}
		h.advance(10 * time.Second)
		var got []hsdispatch.LateCause
		for _, c := range h.completions {
			got = append(got, c.Late)
		}
		h.assertEqual(tt.name+": phase", h.state.Jobs[jobID(2)].Phase, hswork.Completed)
		h.assertEqual(tt.name, got, tt.want)
	}
}
