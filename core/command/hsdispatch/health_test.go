package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// failRuns lets runs of jobs of their own fail one after another on worker a, waiting for each to be placed there.
func failRuns(h *harness, first, count int) {
	for n := first; n < first+count; n++ {
		job := h.submit(n, 1, "w2", step(1, 1000, 1))
		for range 100 {
			if len(h.assignments(job)) > 0 {
				break
			}
			h.advance(100 * time.Millisecond)
		}
		h.applyPlan("a")
		h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndFailed, "")
		h.report("a")
		h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
		h.commit()
	}
}

// TestHealth checks how a worker on which runs fail is used. Pattern: a worker that fails all that it starts is always
// free, and on a busy fleet it would use up the attempts of every job that waits for capacity.
func TestHealth(t *testing.T) {
	tables := []struct {
		name     string
		failures int
		// busy is set if the other worker has no free capacity, and wait is the time since the last failure.
		busy      bool
		wait      time.Duration
		priority  int
		workspace hsid.WorkspaceID
		step      hswork.Step
		want      []string
	}{
		{"no failure", 0, false, 0, 1, "w2", step(1, 1000, 1), []string{"a/1"}},
		{"one failure", 1, false, 0, 1, "w2", step(1, 1000, 1), []string{"b/1"}},
		{"one failure and no capacity elsewhere", 1, true, 0, 1, "w2", step(1, 1000, 1), []string{"a/1"}},
		{"consecutive failures", 4, false, 0, 1, "w2", step(1, 1000, 1), []string{"b/1"}},
		{"consecutive failures and no capacity elsewhere", 4, true, 0, 1, "w2", step(1, 1000, 1), nil},
		{"one task at a time as a probe", 2, true, 1100 * time.Millisecond, 1, "w2", step(3, 1000, 1), []string{"a/1"}},
		{"no probe before a longer pause after more failures", 4, true, 3900 * time.Millisecond, 1, "w2", step(1, 1000, 1), nil},
		{"a probe after it", 4, true, 4100 * time.Millisecond, 1, "w2", step(1, 1000, 1), []string{"a/1"}},
		{"no gang as a probe", 2, true, 3 * time.Second, 1, "w2", with(step(2, 1000, 1), func(s *hswork.Step) { s.Gang = true }), nil},
		{"a job that a guarantee covers", 4, true, 0, 0, "w1", step(1, 1000, 1), []string{"a/1"}},
		{"failures that have expired", 4, false, 16 * time.Second, 1, "w2", step(1, 1000, 1), []string{"a/1"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		failRuns(h, 1, tt.failures)
		h.addWorker("b", "r1-1")
		if tt.busy {
			h.submit(60, 0, "w2", step(1, 32000, 8))
			h.applyPlan("b")
		}
		h.advance(tt.wait)
		job := h.submit(70, tt.priority, tt.workspace, tt.step)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
	}
}

// TestSuspectWorkerOfIdleFleet checks that a job doesn't wait for a healthy worker for long while much of the fleet is
// idle, and that a completed run ends the suspicion.
func TestSuspectWorkerOfIdleFleet(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	failRuns(h, 1, 4)
	job := h.submit(70, 1, "w2", step(1, 1000, 1))
	h.assertEqual("at once", len(h.assignments(job)), 0)
	h.advance(2200 * time.Millisecond)
	h.assertEqual("after a while", h.assignments(job), []string{"a/1"})
	h.applyPlan("a")
	h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndDone, "")
	h.report("a")
	h.commit()
	next := h.submit(71, 1, "w2", step(2, 1000, 1))
	h.assertEqual("after a completed run", h.assignments(next), []string{"a/1", "a/1"})
}

// TestLongRunningOnSuspectWorker checks that a long-running task, which serves users, waits only briefly for a healthy
// worker, however busy the fleet is.
func TestLongRunningOnSuspectWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	failRuns(h, 1, 4)
	for _, id := range []string{"b", "c"} {
		h.addWorker(id, "r1-1")
	}
	h.submit(60, 0, "w2", with(step(2, 32000, 8), func(s *hswork.Step) { s.Need.Memory = 128 * hsid.GiB; s.Estimate = time.Minute }))
	h.applyPlans()
	job := h.submit(70, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.LongRunning = true }))
	h.assertEqual("at once", len(h.assignments(job)), 0)
	h.advance(2200 * time.Millisecond)
	h.assertEqual("after a while", h.assignments(job), []string{"a/1"})
}

// TestLastAttempt checks that a task whose next failure makes its job fail isn't started on a worker where a run of
// another job has failed, and waits for another one while the fleet is busy.
func TestLastAttempt(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	job := h.submit(1, 1, "w2", step(1, 1000, 1))
	h.applyPlan("a")
	h.addWorker("b", "r1-1")
	busy := h.submit(60, 1, "w2", step(1, 32000, 8))
	h.assertEqual("busy", h.assignments(busy), []string{"b/1"})
	h.applyPlan("b")
	h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndFailed, "")
	h.report("a")
	h.commit()
	h.assertEqual("while the other worker is busy", len(h.assignments(job)), 0)
	h.listEnd("b", hswork.RunID{Task: taskID(busy, 0), Number: 1}, hswork.EndDone, "")
	h.report("b")
	h.commit()
	h.assertEqual("once it is free", h.assignments(job), []string{"b/2"})
}

// TestJobAtFault checks that the failures of a job that fails on several workers and completes nothing don't make those
// workers suspect.
func TestJobAtFault(t *testing.T) {
	tables := []struct {
		name string
		// done is set if one of the job's tasks completed.
		done bool
		want int
	}{
		{"nothing completed", false, 0},
		{"one task completed", true, 1},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		job := h.submit(1, 1, "w2", step(9, 4000, 1))
		h.applyPlan("a")
		h.addWorker("b", "r1-1")
		h.commit()
		h.applyPlan("b")
		fail := func(worker string, index int, kind hswork.EndKind) {
			h.listEnd(worker, hswork.RunID{Task: taskID(job, index), Number: 1}, kind, "")
			h.report(worker)
			h.commit()
		}
		if tt.done {
			fail("a", 7, hswork.EndDone)
		}
		fail("a", 0, hswork.EndFailed)
		fail("b", 8, hswork.EndFailed)
		h.assertEqual(tt.name, h.dispatcher.Failures("b"), tt.want)
	}
}

// TestFailureCountedOnce checks that a failure that several reports list before its end is committed counts once: the
// worker isn't suspect, which would keep it out of reservations.
func TestFailureCountedOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	job := h.submit(1, 1, "w2", step(1, 1000, 1))
	h.applyPlan("a")
	h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndFailed, "")
	for range 3 {
		h.report("a")
	}
	h.assertEqual("failures", h.dispatcher.Failures("a"), 1)
}
