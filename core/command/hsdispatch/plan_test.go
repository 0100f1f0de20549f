package hsdispatch_test

import (
	"strings"
	"testing"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestPlanSize checks that the specs in a plan stay within a fraction of what a message holds, and that all runs get
// theirs in turn. Guards against a plan above the limit of a message, which is dropped each time it is sent, and the
// lease of the worker's other runs with it.
func TestPlanSize(t *testing.T) {
	const maxSpecs = 2 * hsid.MiB
	tables := []struct {
		name  string
		tasks int
		spec  hsid.Bytes
		// deferred is set where the specs of one plan don't cover all runs.
		deferred bool
	}{
		{"a few runs", 8, 4000, false},
		{"many runs of a short spec", 2400, 10, false},
		{"many runs of a long spec", 2400, 4000, true},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		small := with(step(tt.tasks, 10, 0), func(s *hswork.Step) { s.Need.Memory = hsid.MiB })
		s := hswork.Submission{ID: jobID(1), Spec: strings.Repeat("s", int(tt.spec)), Steps: []hswork.Step{small}}
		h.apply(&hswork.Command{Submit: &hswork.Submit{Submission: s, Queue: "queue", Pool: "pool", Workspace: "w1", Attempts: 2, Stretch: 3}})
		h.dispatcher.Flush()
		h.commit()
		h.report("a")
		report := h.reports["a"]
		for rounds := 0; len(report.Running) < tt.tasks; rounds++ {
			p := h.plans["a"]
			var size hsid.Bytes
			deferred, started := 0, 0
			for _, r := range p.Runs {
				size += hsid.Bytes(len(r.Spec))
				switch {
				case r.Spec != "":
					started++
				case !isListed(report, r.Run):
					deferred++
					if !r.Listed {
						t.Errorf("%s: got run %v to start without a spec", tt.name, r.Run)
					}
				}
			}
			if len(p.Runs) != tt.tasks || size > maxSpecs || started == 0 || rounds == 0 && (deferred > 0) != tt.deferred {
				t.Fatalf("%s: got %d runs in plan %d with %d bytes of specs, %d to start and %d deferred", tt.name, len(p.Runs), rounds, size, started, deferred)
			}
			h.startPlanned("a")
		}
	}
}
