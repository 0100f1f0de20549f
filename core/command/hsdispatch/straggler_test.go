package hsdispatch_test

import (
	"maps"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// hide keeps workers from reporting until the returned function is called.
func (h *harness) hide(ids ...hsid.InstanceID) func() {
	hidden := map[hsid.InstanceID]*hsmessage.RunnerReport{}
	for _, id := range ids {
		hidden[id] = h.reports[id]
		delete(h.reports, id)
	}
	h.reportAll()
	return func() { maps.Copy(h.reports, hidden) }
}

// TestStragglers checks which units that started on slow workers are restarted once fast workers are free. The task takes 10 s on
// an average worker, 7 s on a fast and 17 s on a slow one, and the objective is 12.3 s. Pattern: a gang starts in a burst, when
// only slow workers are free, and the rest of the fleet is idle a moment later.
func TestStragglers(t *testing.T) {
	gang := with(seconds(step(2, 1000, 8), 10), func(s *hswork.Step) { s.Gang = true })
	single := seconds(step(1, 1000, 8), 10)
	on := hsdispatch.Features{Speeds: true, Stragglers: true}
	tables := []struct {
		name     string
		features hsdispatch.Features
		step     hswork.Step
		stretch  float64
		// freeAfter is when the fast workers become free.
		freeAfter time.Duration
		want      []string
		// onTime is set if the job is on time in the end.
		onTime bool
	}{
		{"a gang on slow workers", on, gang, 1.2, 2200 * time.Millisecond, []string{"a/2", "c/2"}, true},
		{"the last task of a step", on, single, 1.2, 2200 * time.Millisecond, []string{"a/2"}, true},
		{"one of several tasks", on, seconds(step(2, 1000, 8), 10), 1.2, 2200 * time.Millisecond, []string{"b/1", "d/1"}, false},
		{"the objective is met on the slow workers", on, gang, 2, 2200 * time.Millisecond, []string{"b/1", "d/1"}, true},
		{"the end without a restart isn't clearly late", on, gang, 1.55, 2200 * time.Millisecond, []string{"b/1", "d/1"}, false},
		{"too late for a restart", on, gang, 1.2, 3200 * time.Millisecond, []string{"b/1", "d/1"}, false},
		{"too late without its checkpoint", on, with(gang, func(s *hswork.Step) { s.Checkpoints = true }), 1.2, 3200 * time.Millisecond, []string{"a/2", "c/2"}, true},
		{"no fast workers", on, gang, 1.2, time.Hour, []string{"b/1", "d/1"}, false},
		{"the part is off", hsdispatch.Features{Speeds: true}, gang, 1.2, 2200 * time.Millisecond, []string{"b/1", "d/1"}, false},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		h.features = tt.features
		h.startLeadership(1)
		appear := h.hide("a", "c")
		h.stretch, h.target = tt.stretch, 300*time.Millisecond
		job := h.submitWork(1, 0, "w2", 10*time.Second, tt.step)
		h.advance(min(tt.freeAfter, 10*time.Second))
		if tt.freeAfter < time.Hour {
			appear()
		}
		h.advance(1500 * time.Millisecond)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
		h.advance(20 * time.Second)
		j := h.state.Jobs[job]
		objective := time.Duration(tt.stretch*float64(10*time.Second)) + h.target
		if got := j.Phase == hswork.Completed && j.Ended-j.Accepted <= objective; got != tt.onTime {
			t.Errorf("%s: got on time %v (phase %s, after %s), want %v", tt.name, got, j.Phase, j.Ended-j.Accepted, tt.onTime)
		}
	}
}

// TestStragglerRestartsOnce checks that a unit isn't restarted again when the worker of its second start turns out to be slow too,
// though a faster one is free.
func TestStragglerRestartsOnce(t *testing.T) {
	h := newHarness(t)
	h.slowdowns = map[hsid.InstanceID]float64{"a": 3, "b": 3, "c": 0.7}
	h.features = hsdispatch.Features{Speeds: true, Stragglers: true}
	speeds := h.estimates()
	speeds["b"] = hswork.SpeedEstimate{Slowdown: 0.1, Variance: 0.01}
	h.speeds = speeds
	h.startLeadership(1)
	h.addWorker("a", "r1-1")
	h.stretch, h.target = 2, 300*time.Millisecond
	job := h.submitWork(1, 0, "w2", 10*time.Second, seconds(step(1, 1000, 8), 10))
	h.advance(3 * time.Second)
	h.addWorker("b", "r1-1")
	h.advance(2 * time.Second)
	h.assertEqual("first restart", h.assignments(job), []string{"b/2"})
	speeds["b"] = speeds["a"]
	h.addWorker("c", "r1-1")
	h.advance(10 * time.Second)
	h.assertEqual("no second one", h.assignments(job), []string{"b/2"})
	h.assertEqual("restarts", len(h.stragglers), 1)
}

// TestClaimOfStraggler checks that the fast workers stay claimed for a straggler until its runs have stopped, and that the claim
// ends with the job.
func TestClaimOfStraggler(t *testing.T) {
	tables := []struct {
		name   string
		cancel bool
		// first and next are where the straggler and a job that comes right after the decision are placed in the end.
		first, next []string
	}{
		{"the runs stop", false, []string{"a/2"}, []string{"c/1"}},
		{"the job is cancelled", true, nil, []string{"a/1"}},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		h.features.Stragglers = true
		h.startLeadership(1)
		appear := h.hide("a", "c")
		h.stretch, h.target = 1.2, 300*time.Millisecond
		job := h.submitWork(1, 0, "w2", 10*time.Second, seconds(step(1, 1000, 8), 10))
		h.advance(2200 * time.Millisecond)
		appear()
		for range 10 {
			if len(h.stragglers) > 0 {
				break
			}
			h.advance(100 * time.Millisecond)
		}
		h.assertEqual(tt.name+": restarts", len(h.stragglers), 1)
		if tt.cancel {
			h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
			h.dispatcher.Flush()
		}
		next := h.submitWork(2, 0, "w2", 10*time.Second, seconds(step(1, 1000, 8), 10))
		h.advance(500 * time.Millisecond)
		h.assertEqual(tt.name+": straggler", h.assignments(job), tt.first)
		h.assertEqual(tt.name+": next job", h.assignments(next), tt.next)
	}
}
