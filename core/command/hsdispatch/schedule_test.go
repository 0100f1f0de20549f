package hsdispatch_test

import (
	"testing"

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
