package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestShares checks whose tasks start when four of sixteen accelerators become free, with Features.Shares and without. Load: a wave
// of jobs of one workspace, heavy, fills the fleet and waits for more; then another one, light, submits jobs.
func TestShares(t *testing.T) {
	// jobs are a number of jobs with four tasks each.
	type jobs struct {
		workspace hsid.WorkspaceID
		priority  int
		count     int
	}
	tables := []struct {
		name         string
		wave, second jobs
		// before happens before runs end.
		before func(h *harness)
		// want and wantOff are how many tasks of the second jobs start with and without Features.Shares.
		want, wantOff int
	}{
		{"light goes first", jobs{"heavy", 1, 10}, jobs{"light", 1, 1}, nil, 4, 0},
		{"with urgent jobs too", jobs{"heavy", 0, 10}, jobs{"light", 0, 1}, nil, 4, 0},
		{"a wave of light too", jobs{"heavy", 1, 10}, jobs{"light", 1, 10}, nil, 4, 0},
		{"also with a new leader", jobs{"heavy", 1, 10}, jobs{"light", 1, 1}, func(h *harness) {
			h.startLeadership(2)
			h.reportAll()
		}, 4, 0},
		{"not before heavy's jobs of a higher priority", jobs{"heavy", 1, 10}, jobs{"light", 2, 1}, nil, 0, 0},
		{"not before heavy's jobs that can be on time", jobs{"heavy", 1, 10}, jobs{"light", 1, 1}, func(h *harness) {
			h.state.Jobs[jobID(100)].Stretch = 0.1
			h.advanceWithProgress(2 * time.Second)
		}, 0, 0},
		{"not within a workspace", jobs{"heavy", 1, 10}, jobs{"heavy", 1, 1}, nil, 0, 0},
		{"a covered job goes first anyway", jobs{"heavy", 1, 10}, jobs{"w1", 0, 1}, nil, 4, 4},
		{"heavy has the rest while light is idle", jobs{"heavy", 1, 4}, jobs{"heavy", 1, 1}, nil, 4, 4},
	}
	for _, tt := range tables {
		for _, on := range []bool{true, false} {
			h := newHarness(t)
			h.features = hsdispatch.Features{Shares: on}
			h.startLeadership(1)
			h.state.Catalog.Queues = []hswork.Queue{{Name: "queue", Priority: 2}}
			h.addWorker("a", "r1-1")
			h.addWorker("b", "r1-1")
			submit := func(first int, kind jobs) {
				for i := range kind.count {
					h.submit(first+i, kind.priority, kind.workspace, step(4, 1000, 1))
				}
			}
			submit(1, tt.wave)
			h.applyPlans()
			h.advanceWithProgress(2 * time.Second)
			submit(100, tt.second)
			if tt.before != nil {
				tt.before(h)
			}
			for i := range 4 {
				worker := h.state.Jobs[jobID(1)].Task(taskID(jobID(1), i)).Assignments[0].Worker
				h.listEnd(string(worker), hswork.RunID{Task: taskID(jobID(1), i), Number: 1}, hswork.EndDone, "")
			}
			h.reportAll()
			h.commit()
			want := tt.wantOff
			if on {
				want = tt.want
			}
			got := 0
			for i := range tt.second.count {
				got += len(h.assignments(jobID(100 + i)))
			}
			h.assertEqual(fmt.Sprintf("%s, shares %v", tt.name, on), got, want)
		}
	}
}
