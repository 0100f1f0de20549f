package hsdispatch_test

import (
	"math"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// TestOddCosts submits jobs with odd values and delivers odd reports while costs and shares decide. None of them may stop the
// passes or keep an urgent job waiting, also under the next leader.
func TestOddCosts(t *testing.T) {
	const most = math.MaxInt64
	tables := []struct {
		name   string
		step   func(s *hswork.Step)
		report func(r *hsmessage.RunnerReport)
		job    func(j *hswork.Job)
	}{
		{"nothing odd", nil, nil, nil},
		{"no run time", func(s *hswork.Step) { s.Estimate = 0 }, nil, nil},
		{"a negative run time", func(s *hswork.Step) { s.Estimate = -time.Hour }, nil, nil},
		{"the highest run time", func(s *hswork.Step) { s.Estimate = most }, nil, nil},
		{"a run time a thousand times too long", func(s *hswork.Step) { s.Estimate *= 1000 }, nil, nil},
		{"sizes that overflow in sums", func(s *hswork.Step) {
			s.Need = hswork.Resources{Cores: most, Memory: most, Accelerators: most}
		}, nil, nil},
		{"no sizes", func(s *hswork.Step) { s.Need = hswork.Resources{} }, nil, nil},
		{"negative sizes", func(s *hswork.Step) { s.Need = hswork.Resources{Cores: -1000, Accelerators: -1} }, nil, nil},
		{"no objective", nil, nil, func(j *hswork.Job) { j.Stretch, j.Target = 0, 0 }},
		{"a negative objective", nil, nil, func(j *hswork.Job) { j.Stretch, j.Target = -3, -time.Hour }},
		{"an objective that isn't a number", nil, nil, func(j *hswork.Job) { j.Stretch = math.NaN() }},
		{"accepted in the future", nil, nil, func(j *hswork.Job) { j.Accepted = most }},
		{"an odd priority", nil, nil, func(j *hswork.Job) { j.Priority = most }},
		{"progress that goes backwards", nil, func(r *hsmessage.RunnerReport) {
			for i := range r.Running {
				r.Running[i].Percent = 50 - r.Running[i].Percent
			}
		}, nil},
		{"progress and checkpoints out of range", nil, func(r *hsmessage.RunnerReport) {
			for i := range r.Running {
				r.Running[i].Percent, r.Running[i].Checkpoint = -most, "odd"
			}
		}, nil},
		{"the end of a run that never ran", nil, func(r *hsmessage.RunnerReport) {
			run := hswork.RunID{Task: hswork.TaskID{Job: jobID(1), Step: 9, Index: -1}, Number: 9}
			r.Ended = append(r.Ended, hsmessage.EndedTask{Number: 1, Run: run, Kind: hswork.EndDone})
		}, nil},
		{"sizes of workers that overflow in sums", nil, func(r *hsmessage.RunnerReport) {
			r.Endpoint.Capacity = hswork.Resources{Cores: most, Memory: most, Accelerators: most}
		}, nil},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.features = hsdispatch.Features{Costs: true, Shares: true}
		h.startLeadership(1)
		for _, w := range []string{"a", "b", "c"} {
			h.addWorker(w, "r1-1")
		}
		h.submit(1, 2, "w2", step(24, 1000, 1))
		h.applyPlans()
		odd := with(step(4, 1000, 1), func(s *hswork.Step) {
			if tt.step != nil {
				tt.step(s)
			}
		})
		for n, workspace := range []hsid.WorkspaceID{"w1", "w2", "w3"} {
			id := h.submit(10+n, n, workspace, odd)
			if tt.job != nil {
				tt.job(h.state.Jobs[id])
			}
		}
		for term := range hsid.Term(2) {
			h.startLeadership(term + 1)
			for range 3 {
				if tt.report != nil {
					tt.report(h.reports["b"])
				}
				h.advanceWithProgress(time.Second)
			}
		}
		h.submitUrgent(20, 1.2, step(1, 1000, 8))
		for range 10 {
			h.applyPlans()
			h.advance(200 * time.Millisecond)
		}
		h.assertEqual(tt.name+": runs of the urgent job", len(h.assignments(jobID(20))), 1)
	}
}
