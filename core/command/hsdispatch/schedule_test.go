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

// newReservedWorker returns a fleet of three workers, of which only b has the label b. A first step runs there, and a job that
// needs the whole of b waits for it.
func newReservedWorker(t *testing.T, first hswork.Step) *harness {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.addWorker(id, "r1-1")
	}
	h.reports["b"].Endpoint.Labels[0] = "b"
	h.submit(1, 0, "w2", first)
	h.applyPlans()
	h.advanceWithProgress(3 * time.Second)
	h.submit(2, 1, "w2", stepOnB(8, time.Minute))
	h.advanceWithProgress(time.Second)
	return h
}

// stepOnB returns a step of one task that needs a worker with the label b.
func stepOnB(accelerators hsid.Accelerators, estimate time.Duration) hswork.Step {
	return with(step(1, 1000, accelerators), func(s *hswork.Step) { s.Label, s.Estimate = "b", estimate })
}

// TestReservationBehindLongRunning checks that nothing is reserved behind a run that never ends. Pattern: a large job that needs
// a whole worker waits beside a long-running task, and a small job comes for which there is room.
func TestReservationBehindLongRunning(t *testing.T) {
	h := newReservedWorker(t, with(stepOnB(1, time.Second), func(s *hswork.Step) { s.LongRunning = true }))
	small := h.submit(3, 2, "w2", stepOnB(3, 20*time.Minute))
	h.advance(500 * time.Millisecond)
	h.assertEqual("the small job", h.assignments(small), []string{"b/1"})
}

// TestReservationOnIdleFleet checks that a reservation doesn't keep a small job off room on an idle fleet for longer than the
// users accept. Pattern: a large job that needs a whole worker waits for a run of ten minutes.
func TestReservationOnIdleFleet(t *testing.T) {
	h := newReservedWorker(t, stepOnB(1, 10*time.Minute))
	small := h.submit(3, 2, "w2", stepOnB(3, 20*time.Minute))
	h.advance(3 * time.Second)
	h.assertEqual("the small job", h.assignments(small), []string{"b/1"})
}
