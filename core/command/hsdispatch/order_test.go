package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestOrderInBacklog checks which of two equal jobs gets the capacity that becomes free: one that waited, or one that has
// just arrived. Pattern: after a burst or a lost leader, the oldest jobs can't meet their objective any more; served
// first, they make the younger ones late as well, one after another.
func TestOrderInBacklog(t *testing.T) {
	tables := []struct {
		name string
		// waited is how long the first job waited. Both take 10 s and have an objective of 30 s.
		waited   time.Duration
		priority int
		want     hswork.ID
	}{
		{"the first job can still meet its objective", 19 * time.Second, 1, jobID(2)},
		{"it misses it by less than estimates are off", 21 * time.Second, 1, jobID(2)},
		{"it can't meet it any more", 24 * time.Second, 1, jobID(3)},
		{"it can't meet it any more, and has the lowest priority", 24 * time.Second, 2, jobID(2)},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.state.Catalog.Queues = []hswork.Queue{{Name: "queue", Priority: 2}}
		h.addWorker("a", "r1-1")
		whole := step(1, 32000, 8)
		busy := h.submit(1, 1, "w2", with(whole, func(s *hswork.Step) { s.Estimate = time.Minute }))
		h.applyPlan("a")
		h.submit(2, tt.priority, "w2", whole)
		h.advanceWithProgress(tt.waited)
		h.submit(3, tt.priority, "w2", whole)
		h.listEnd("a", hswork.RunID{Task: taskID(busy, 0), Number: 1}, hswork.EndDone, "")
		h.report("a")
		h.commit()
		for _, id := range []hswork.ID{jobID(2), jobID(3)} {
			if got, want := len(h.assignments(id)) > 0, id == tt.want; got != want {
				t.Errorf("%s: got job %s placed %v, want %v", tt.name, id, got, want)
			}
		}
	}
}
