package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestSpreadLimitHoldsOnlyItsOwnStep checks that a step whose tasks wait because of their spread limit doesn't keep a
// step with the same demands waiting.
func TestSpreadLimitHoldsOnlyItsOwnStep(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	spread := with(step(3, 1000, 1), func(s *hswork.Step) { s.Spread = 1 })
	first := h.submit(1, 1, "w2", spread)
	h.assertEqual("first job", h.assignments(first), []string{"a/1"})
	second := h.submit(2, 1, "w2", spread)
	h.assertEqual("second job", h.assignments(second), []string{"a/1"})
}

// TestPassesLeaveTime checks that a pass that takes long puts off the next one, so that a flood of commits doesn't keep
// the leader from reports, requests and heartbeats, and that the dispatcher says when it is due.
func TestPassesLeaveTime(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	h.tick = time.Millisecond
	first := h.submit(1, 1, "w2", step(1, 1000, 1))
	h.assertEqual("first job", h.assignments(first), []string{"a/1"})
	second := h.submit(2, 1, "w2", step(1, 1000, 1))
	h.assertEqual("job right after a pass", len(h.assignments(second)), 0)
	at, due := h.dispatcher.NextPass()
	if !due || !at.After(h.now) || at.Sub(h.now) > passInterval {
		t.Errorf("got next pass at %s and due %v, want it within %s", at.Sub(h.now), due, passInterval)
	}
	h.now = at
	h.dispatcher.Flush()
	h.commit()
	h.assertEqual("job once the next pass is due", h.assignments(second), []string{"a/1"})
}

// TestReservationOnIdleFleet checks that a reservation doesn't keep a job off room that is idle. Pattern: the only worker with a
// label has a small run, a large job that needs the whole worker waits for it, and a small job comes.
func TestReservationOnIdleFleet(t *testing.T) {
	tables := []struct {
		name  string
		first hswork.Step
		after time.Duration
	}{
		{"beside a run that never ends", hswork.Step{LongRunning: true}, 500 * time.Millisecond},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for _, id := range []string{"a", "b", "c"} {
			h.addWorker(id, "r1-1")
		}
		h.reports["b"].Endpoint.Labels[0] = "b"
		onB := func(accelerators hsid.Accelerators, estimate time.Duration) hswork.Step {
			s := step(1, 1000, accelerators)
			s.Label, s.Estimate = "b", estimate
			return s
		}
		first := onB(1, tt.first.Estimate)
		first.LongRunning = tt.first.LongRunning
		h.submit(1, 0, "w2", first)
		h.applyPlans()
		h.advanceWithProgress(3 * time.Second)
		h.submit(2, 1, "w2", onB(8, time.Minute))
		h.advanceWithProgress(time.Second)
		small := h.submit(3, 2, "w2", onB(3, 20*time.Minute))
		h.advance(tt.after)
		h.assertEqual(tt.name, h.assignments(small), []string{"b/1"})
	}
}
