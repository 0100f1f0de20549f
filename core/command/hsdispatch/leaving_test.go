package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestStartOnLeavingWorker checks that a unit placed on a worker just before its notice of departure is placed elsewhere at once.
// Its runner starts nothing any more, so the unit waited there for as long as it would have ended before the departure, and the
// other members of a gang were started in vain.
func TestStartOnLeavingWorker(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name string
		step hswork.Step
		// begun is set if the runs have begun before the notice.
		begun bool
		want  []string
	}{
		{"a short task that hasn't begun", step(1, 1000, 8), false, []string{"b/2"}},
		{"a gang of which no member has begun", with(step(2, 1000, 8), gang), false, []string{"b/2", "c/2"}},
		{"a short task that has begun", step(1, 1000, 8), true, []string{"a/1"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for _, id := range []string{"a", "b", "c"} {
			h.addWorker(id, "r1-1")
		}
		job := h.submitWork(1, 1, "w2", 5*time.Second, with(tt.step, func(s *hswork.Step) { s.Estimate = 5 * time.Second }))
		if tt.begun {
			h.advance(500 * time.Millisecond)
		}
		h.reports["a"].Endpoint.Leaving, h.reports["a"].Endpoint.LeavesIn = true, 20*time.Second
		h.advance(time.Second)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
	}
}

// TestNoticeBeforeCommit checks that no member of a gang is planned once a notice of departure of one of its workers has arrived
// before the start is committed, also while the next pass is put off. The other members were started and stopped again.
func TestNoticeBeforeCommit(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.addWorker(id, "r1-1")
	}
	h.advance(time.Second)
	h.tick = 5 * time.Millisecond
	gang := with(step(2, 1000, 8), func(s *hswork.Step) { s.Gang = true })
	h.apply(&hswork.Command{Submit: &hswork.Submit{
		Submission: hswork.Submission{ID: jobID(1), Spec: "spec", Steps: []hswork.Step{gang}}, Queue: "queue", Pool: "pool", Workspace: "w2", Attempts: 2, Stretch: 3,
	}})
	h.dispatcher.Flush()
	h.tick = 0
	h.reports["a"].Endpoint.Leaving, h.reports["a"].Endpoint.LeavesIn = true, 2*time.Second
	h.report("a")
	h.commit()
	for _, id := range []hsid.InstanceID{"b", "c"} {
		for _, r := range h.plans[id].Runs {
			if r.Run.Number == 1 {
				t.Errorf("%s: got run %s in the plan, want none of a gang with a member on a leaving worker", id, r.Run)
			}
		}
	}
}
