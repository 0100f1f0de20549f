package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestWorkThrown checks the work that is reported as thrown away, which operators see by reason. A run that is counted twice, or
// not at all, would hide what throws work away.
func TestWorkThrown(t *testing.T) {
	saves := func(s *hswork.Step) { s.Checkpoints = true }
	gang := func(s *hswork.Step) { s.Gang = true }
	one := hswork.RunID{Task: taskID(jobID(1), 0), Number: 1}
	tables := []struct {
		name string
		step hswork.Step
		end  func(h *harness)
		want string
	}{
		{"a run that is done", step(1, 1000, 1), func(h *harness) { h.listEnd("a", one, hswork.EndDone, "") }, "map[]"},
		{"a run that failed", step(1, 1000, 1), func(h *harness) { h.listEnd("a", one, hswork.EndFailed, "") }, "map[failed:27]"},
		{"a run that was lost with its endpoint", step(1, 1000, 1), func(h *harness) {
			h.reports["a"].EndpointTerminated = true
		}, "map[lost:27]"},
		{"the same after a checkpoint", with(step(1, 1000, 1), saves), func(h *harness) {
			h.reports["a"].Running[0].Checkpoint = "saved"
			h.advanceWithProgress(time.Second)
			h.reports["a"].EndpointTerminated = true
		}, "map[lost:8.1]"},
		{"a run that is preempted counts once", step(1, 1000, 8), func(h *harness) {
			h.submit(2, 0, "w1", step(1, 1000, 8))
			h.applyPlans()
		}, "map[guarantee:195]"},
		{"the other member of a gang", with(step(2, 1000, 1), gang), func(h *harness) {
			h.listEnd("a", one, hswork.EndFailed, "")
			h.report("a")
			h.commit()
			h.applyPlans()
		}, "map[failed:27 gang:27]"},
		{"a run of a cancelled job", step(1, 1000, 1), func(h *harness) {
			h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: jobID(1)}})
			h.dispatcher.Flush()
			h.applyPlans()
		}, "map[]"},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		h.submit(1, 1, "w2", tt.step)
		h.applyPlan("a")
		h.advanceWithProgress(3 * time.Second)
		tt.end(h)
		h.report("a")
		h.commit()
		h.advance(300 * time.Millisecond)
		h.assertEqual(tt.name, fmt.Sprint(h.thrown), tt.want)
	}
}
