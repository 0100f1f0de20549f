package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestHealth checks that a worker on which runs fail is used last, until its failures expire.
func TestHealth(t *testing.T) {
	tables := []struct {
		name string
		// failures is the number of consecutive failed runs on worker a, and done whether one completed after them.
		failures int
		done     bool
		// full is set if worker b has no free capacity, and wait is the time since the last failure.
		full bool
		wait time.Duration
		want string
	}{
		{"no failure", 0, false, false, 0, "a/1"},
		{"one failure", 1, false, false, 0, "b/1"},
		{"consecutive failures", 4, false, false, 0, "b/1"},
		{"consecutive failures and no capacity elsewhere", 4, false, true, 0, "a/1"},
		{"a success after them", 4, true, false, 0, "a/1"},
		{"failures that have expired", 4, false, false, 16 * time.Second, "a/1"},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		run := func(n int, kind hswork.EndKind) {
			job := h.submit(n, 1, "w2", step(1, 1000, 1))
			h.applyPlan("a")
			h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, kind, "")
			h.report("a")
			h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
			h.commit()
		}
		for i := range tt.failures {
			run(1+i, hswork.EndFailed)
		}
		if tt.done {
			run(50, hswork.EndDone)
		}
		h.addWorker("b", "r1-1")
		if tt.full {
			h.submit(60, 0, "w2", step(1, 1000, 8))
		}
		h.advance(tt.wait)
		job := h.submit(70, 1, "w2", step(1, 1000, 1))
		h.assertEqual(tt.name, h.assignments(job), []string{tt.want})
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
