package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestDrain checks that a draining endpoint gets no new runs until the drain expires, and counts as empty once its
// runs have moved.
func TestDrain(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	h.addWorker("b", "r1-2")
	saving := h.submit(1, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Checkpoints = true }))
	h.applyPlan("a")
	h.assertEqual("with a run", h.dispatcher.Drain("e-a", false), false)
	h.dispatcher.Flush()
	h.applyPlan("a")
	h.commit()
	h.assertEqual("moved", h.assignments(saving), []string{"b/2"})
	h.report("a")
	h.assertEqual("empty", h.dispatcher.Drain("e-a", false), true)
	other := h.submit(2, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Label = "r1-1" }))
	h.assertEqual("no new runs", len(h.assignments(other)), 0)
	h.advance(3 * time.Second)
	h.assertEqual("after the drain expired", h.assignments(other), []string{"a/1"})
}
