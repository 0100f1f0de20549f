package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestNoEvidence checks that costs and shares decide nothing while there is nothing to weigh: all that waits fits into free
// capacity, or one workspace's equal jobs wait for it. Otherwise switching them on would change fleets that need neither.
func TestNoEvidence(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true; s.SameRack = true }
	type job struct {
		priority  int
		workspace hsid.WorkspaceID
		step      hswork.Step
	}
	tables := []struct {
		name string
		jobs []job
	}{
		{"jobs of three priorities on an idle fleet", []job{
			{2, "w2", step(3, 4000, 1)}, {0, "w2", with(step(2, 8000, 4), gang)}, {1, "w2", with(step(3, 2000, 2), gang)}, {0, "w2", step(1, 32000, 8)},
		}},
		{"jobs of several workspaces on an idle fleet", []job{
			{1, "w3", with(step(2, 4000, 8), gang)}, {1, "w2", step(6, 1000, 1)}, {1, "w1", step(2, 1000, 2)}, {0, "w3", step(4, 2000, 1)},
		}},
		{"equal jobs of one workspace that don't fit", []job{
			{1, "w2", step(8, 1000, 8)}, {1, "w2", step(8, 1000, 8)}, {1, "w2", step(8, 1000, 8)},
		}},
	}
	for _, tt := range tables {
		var got, want string
		for _, features := range []hsdispatch.Features{{}, {Costs: true, Shares: true}} {
			h := newHarness(t)
			h.features = features
			h.startLeadership(1)
			h.state.Catalog.Queues = []hswork.Queue{{Name: "queue", Priority: 2}}
			for i := range 8 {
				h.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r1-%d", i/4))
			}
			for i, j := range tt.jobs {
				// The dispatcher sees all of them in one pass.
				h.apply(&hswork.Command{Submit: &hswork.Submit{
					Submission: hswork.Submission{ID: jobID(i + 1), Spec: "spec", Steps: []hswork.Step{j.step}},
					Queue:      "queue", Pool: "pool", Workspace: j.workspace, Priority: j.priority, Attempts: 2, Stretch: 3,
				}})
			}
			h.advance(time.Second)
			want, got = got, ""
			for i := range tt.jobs {
				got += fmt.Sprintln(h.assignments(jobID(i + 1)))
			}
			got += fmt.Sprintln(len(h.stops))
		}
		h := harness{t: t}
		h.assertEqual(tt.name, got, want)
	}
}
