package hsdispatch_test

import (
	"testing"
	"time"

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
