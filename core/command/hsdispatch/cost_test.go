package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// newCostHarness returns a fleet of one worker that a run of priority 0 fills, with queues of three priorities.
func newCostHarness(t *testing.T, features hsdispatch.Features) (h *harness, busy hswork.ID) {
	h = newHarness(t)
	h.features = features
	h.startLeadership(1)
	h.state.Catalog.Queues = []hswork.Queue{{Name: "queue", Priority: 0}, {Name: "rebuilds", Priority: 1}, {Name: "bulk", Priority: 2}}
	h.addWorker("a", "r1-1")
	busy = h.submit(1, 0, "w2", with(step(1, 32000, 8), func(s *hswork.Step) { s.Estimate = time.Minute }))
	h.applyPlan("a")
	return h, busy
}

// TestOrderByCost checks which of two kinds of waiting jobs gets the worker that becomes free, with Features.Costs and without.
// Load: too little capacity with three priorities; all tasks take 10 s, and all jobs have an objective of 30 s.
func TestOrderByCost(t *testing.T) {
	whole := step(1, 32000, 8)
	eighth := step(1, 4000, 1)
	type jobs struct {
		count, priority int
		workspace       hsid.WorkspaceID
		step            hswork.Step
	}
	tables := []struct {
		name          string
		first, second jobs
		// waited is how long the first jobs waited before the second ones came.
		waited time.Duration
		// want and wantOff are the kind that starts, 1 or 2, with and without Features.Costs.
		want, wantOff int
	}{
		{"a large job that can just be on time precedes small ones that have time",
			jobs{1, 1, "w2", whole}, jobs{8, 1, "w2", eighth}, 19 * time.Second, 1, 1},
		{"but not so many small ones that they would be late instead",
			jobs{1, 1, "w2", whole}, jobs{30, 1, "w2", eighth}, 19 * time.Second, 2, 1},
		{"priority comes first between jobs that can be on time",
			jobs{1, 1, "w2", whole}, jobs{1, 0, "w2", whole}, 19 * time.Second, 2, 2},
		{"a late job of priority 0 precedes one of priority 1 that has time",
			jobs{1, 0, "w2", whole}, jobs{1, 1, "w2", eighth}, 30 * time.Second, 1, 1},
		{"but not those that would miss their objective",
			jobs{1, 0, "w2", whole}, jobs{40, 1, "w2", whole}, 30 * time.Second, 2, 1},
		{"a late job of priority 0 precedes those two priorities below",
			jobs{1, 0, "w2", whole}, jobs{40, 2, "w2", whole}, 30 * time.Second, 1, 1},
		{"a covered job comes first, late or not",
			jobs{1, 0, "w1", whole}, jobs{40, 1, "w2", whole}, 30 * time.Second, 1, 1},
	}
	for _, tt := range tables {
		for _, costs := range []bool{true, false} {
			h, busy := newCostHarness(t, hsdispatch.Features{Costs: costs})
			if tt.first.workspace == "w1" {
				// A covered job would stop the run of a job that isn't covered.
				h.state.Catalog.Workspaces[0].Guaranteed = 16
				h.state.Jobs[busy].Workspace = "w1"
			}
			number := 2
			submit := func(kind jobs) {
				for range kind.count {
					h.submit(number, kind.priority, kind.workspace, kind.step)
					number++
				}
			}
			submit(tt.first)
			h.advanceWithProgress(tt.waited)
			submit(tt.second)
			h.listEnd("a", hswork.RunID{Task: taskID(busy, 0), Number: 1}, hswork.EndDone, "")
			h.report("a")
			h.commit()
			got := 1
			if len(h.assignments(jobID(2))) == 0 {
				got = 2
			}
			want := tt.wantOff
			if costs {
				want = tt.want
			}
			if got != want {
				t.Errorf("%s, costs %v: got kind %d placed, want %d", tt.name, costs, got, want)
			}
		}
	}
}
