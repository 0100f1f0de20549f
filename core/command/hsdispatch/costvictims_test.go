package hsdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// newVictimHarness returns a fleet of workers on one rack, with queues of three priorities.
func newVictimHarness(t *testing.T, costs bool, workers ...string) *harness {
	h := newHarness(t)
	h.features = hsdispatch.Features{Costs: costs}
	h.startLeadership(1)
	h.state.Catalog.Queues = []hswork.Queue{{Name: "queue", Priority: 0}, {Name: "rebuilds", Priority: 1}, {Name: "bulk", Priority: 2}}
	for _, w := range workers {
		h.addWorker(w, "r1-1")
	}
	return h
}

// place submits a job that starts at once.
func (h *harness) place(n, priority int, s hswork.Step) hswork.ID {
	id := h.submit(n, priority, "w2", s)
	h.applyPlans()
	return id
}

// submitUrgent accepts a job of priority 0 with an objective of some times its run time.
func (h *harness) submitUrgent(n int, stretch float64, s hswork.Step) {
	h.apply(&hswork.Command{Submit: &hswork.Submit{
		Submission: hswork.Submission{ID: jobID(n), Spec: "spec", Steps: []hswork.Step{s}},
		Queue:      "queue", Pool: "pool", Workspace: "w2", Attempts: 2, Stretch: stretch,
	}})
	h.dispatcher.Flush()
	h.commit()
}

// stoppedJobs returns the numbers of the jobs of which runs were stopped, each once.
func (h *harness) stoppedJobs() []string {
	var numbers []string
	for _, s := range h.stops {
		n := string(s.Run.Task.Job[15:])
		if !slices.Contains(numbers, n) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// TestVictimsByCost checks which runs are stopped for an urgent job, with Features.Costs and without. Load: urgent gangs come while
// bulk jobs and rebuilds fill the fleet.
func TestVictimsByCost(t *testing.T) {
	whole := with(step(1, 1000, 8), func(s *hswork.Step) { s.Estimate = time.Minute })
	tables := []struct {
		name    string
		workers []string
		fill    func(h *harness)
		urgent  hswork.Step
		stretch float64
		// want and wantOff are the jobs that are stopped with and without Features.Costs.
		want, wantOff []string
	}{
		{"the run that loses less work", []string{"a", "b"}, func(h *harness) {
			h.place(1, 2, whole)
			h.advanceWithProgress(3 * time.Second)
			h.place(2, 2, whole)
			h.advanceWithProgress(2 * time.Second)
		}, whole, 1.5, []string{"2"}, []string{"2"}},
		{"a gang counts once, not for each member that is hit", []string{"a", "b", "c", "d"}, func(h *harness) {
			h.place(2, 2, whole)
			h.place(3, 2, whole)
			h.advanceWithProgress(time.Second)
			h.place(1, 2, with(whole, func(s *hswork.Step) { s.Count = 2; s.Gang = true }))
			h.advanceWithProgress(3 * time.Second)
		}, with(whole, func(s *hswork.Step) { s.Count = 2; s.Gang = true }), 1.5, []string{"1"}, []string{"2", "3"}},
		{"all members of a gang count, also those that aren't hit", []string{"a", "b", "c"}, func(h *harness) {
			h.place(1, 2, whole)
			h.advanceWithProgress(time.Second)
			h.place(2, 2, with(whole, func(s *hswork.Step) { s.Count = 2; s.Gang = true }))
			h.advanceWithProgress(2 * time.Second)
		}, whole, 1.5, []string{"1"}, []string{"1"}},
		{"among equal runs the one that keeps its objective", []string{"a", "b"}, func(h *harness) {
			tight := h.place(1, 2, whole)
			h.place(2, 2, whole)
			h.state.Jobs[tight].Stretch = 1.05
			h.advanceWithProgress(2 * time.Second)
		}, whole, 1.5, []string{"2"}, []string{"1"}},
		{"a run of a lower priority, with a little more work", []string{"a", "b"}, func(h *harness) {
			h.place(1, 2, whole)
			h.advanceWithProgress(time.Second)
			h.place(2, 1, whole)
			h.advanceWithProgress(3 * time.Second)
		}, whole, 1.5, []string{"1"}, []string{"2"}},
		{"the run that saved its progress a moment ago", []string{"a", "b"}, func(h *harness) {
			saves := with(whole, func(s *hswork.Step) { s.Checkpoints = true })
			h.place(1, 2, saves)
			h.place(2, 2, saves)
			h.advanceWithProgress(4 * time.Second)
			h.reports["b"].Running[0].Checkpoint = "saved"
			h.advance(200 * time.Millisecond)
		}, whole, 1.5, []string{"2"}, []string{"1"}},
		{"nothing for a job that would hardly be on time then", []string{"a"}, func(h *harness) {
			h.place(1, 1, whole)
			h.advanceWithProgress(time.Second)
		}, with(whole, func(s *hswork.Step) { s.Estimate = 2 * time.Second }), 0.95, nil, []string{"1"}},
	}
	for _, tt := range tables {
		for _, costs := range []bool{true, false} {
			h := newVictimHarness(t, costs, tt.workers...)
			tt.fill(h)
			h.submitUrgent(9, tt.stretch, tt.urgent)
			want := tt.wantOff
			if costs {
				want = tt.want
			}
			h.assertEqual(fmt.Sprintf("%s, costs %v", tt.name, costs), h.stoppedJobs(), want)
		}
	}
}

// TestRepeatedStops checks that a run that was stopped for an urgent job isn't stopped for the next one as well, though it has
// lost less work since. Load: waves of urgent jobs over bulk jobs.
func TestRepeatedStops(t *testing.T) {
	tables := []struct {
		costs bool
		want  []string
	}{
		{true, []string{"1", "2"}},
		{false, []string{"2"}},
	}
	for _, tt := range tables {
		h := newVictimHarness(t, tt.costs, "a", "b")
		whole := with(step(1, 1000, 8), func(s *hswork.Step) { s.Estimate = time.Minute })
		h.place(1, 2, whole)
		h.advanceWithProgress(time.Second)
		h.place(2, 2, whole)
		h.advanceWithProgress(2 * time.Second)
		for n := range 2 {
			urgent := jobID(8 + n)
			h.submitUrgent(8+n, 1.5, step(1, 1000, 8))
			h.applyPlans()
			h.advance(200 * time.Millisecond)
			h.applyPlans()
			worker := h.state.Jobs[urgent].Task(taskID(urgent, 0)).Assignments[0].Worker
			h.advanceWithProgress(time.Second)
			h.listEnd(string(worker), hswork.RunID{Task: taskID(urgent, 0), Number: 1}, hswork.EndDone, "")
			h.report(string(worker))
			h.commit()
			h.applyPlans()
			h.advanceWithProgress(4 * time.Second)
		}
		h.assertEqual(fmt.Sprintf("stopped with costs %v", tt.costs), h.stoppedJobs(), tt.want)
	}
}

// TestWaitInsteadOfStop checks when runs are stopped for an urgent job beside a run that is about to end. Load: urgent jobs come
// while short tasks end one after another. A run that is predicted to end and doesn't must not delay a covered job for long.
func TestWaitInsteadOfStop(t *testing.T) {
	tables := []struct {
		name      string
		costs     bool
		workspace hsid.WorkspaceID
		percent   hswork.Percent
		wait      time.Duration
		want      []string
	}{
		{"a run that is about to end is waited for", true, "w2", 97, 300 * time.Millisecond, nil},
		{"also by a covered job", true, "w1", 97, 300 * time.Millisecond, nil},
		{"but not for longer than it takes to stop runs", true, "w1", 97, 600 * time.Millisecond, []string{"2"}},
		{"a run that goes on isn't", true, "w1", 80, 0, []string{"2"}},
		{"with the feature off none is", false, "w1", 97, 0, []string{"2"}},
	}
	for _, tt := range tables {
		h := newVictimHarness(t, tt.costs, "a", "b")
		whole := step(1, 1000, 8)
		h.place(1, 2, whole)
		h.advance(200 * time.Millisecond)
		for range 8 {
			h.reports["a"].Running[0].Percent += tt.percent / 8
			h.advance(time.Second)
		}
		h.place(2, 2, whole)
		h.reports["a"].Running[0].Percent = tt.percent
		h.advance(100 * time.Millisecond)
		h.submit(9, 0, tt.workspace, whole)
		h.advance(tt.wait)
		h.assertEqual(tt.name, h.stoppedJobs(), tt.want)
	}
}
