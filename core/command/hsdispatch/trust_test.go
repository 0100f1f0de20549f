package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestTrust checks which units a worker gets for how long after it was lost with its runs. The other worker is busy. Pattern: a
// worker that restarts every few seconds is free whenever it is up, and gangs that start there lose their work again and again.
func TestTrust(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	long := seconds(step(1, 1000, 1), 20)
	trust := hsdispatch.Features{Trust: true}
	tables := []struct {
		name     string
		features hsdispatch.Features
		losses   int
		wait     time.Duration
		priority int
		covered  bool
		step     hswork.Step
		want     []string
	}{
		{"short task at once", trust, 1, 0, 1, false, seconds(long, 2), []string{"a/1"}},
		{"long task with checkpoints at once", trust, 1, 0, 1, false, with(long, func(s *hswork.Step) { s.Checkpoints = true }), []string{"a/1"}},
		{"long task at once", trust, 1, 0, 1, false, long, nil},
		{"long task after a step", trust, 1, 1100 * time.Millisecond, 1, false, long, []string{"a/1"}},
		{"gang after a step", trust, 1, 1100 * time.Millisecond, 1, false, with(seconds(step(2, 1000, 1), 2), gang), nil},
		{"gang after two steps", trust, 1, 2100 * time.Millisecond, 1, false, with(seconds(step(2, 1000, 1), 2), gang), []string{"a/1", "a/1"}},
		{"urgent gang after two steps", trust, 1, 2100 * time.Millisecond, 0, false, with(seconds(step(2, 1000, 1), 2), gang), nil},
		{"urgent gang after three steps", trust, 1, 3100 * time.Millisecond, 0, false, with(seconds(step(2, 1000, 1), 2), gang), []string{"a/1", "a/1"}},
		{"urgent gang after two losses", trust, 2, 3100 * time.Millisecond, 0, false, with(seconds(step(2, 1000, 1), 2), gang), nil},
		{"urgent gang that a guarantee covers", trust, 2, 0, 0, true, with(seconds(step(2, 1000, 1), 2), gang), []string{"a/1", "a/1"}},
		{"urgent gang with the part off", hsdispatch.Features{}, 2, 0, 0, false, with(seconds(step(2, 1000, 1), 2), gang), []string{"a/1", "a/1"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.features = tt.features
		h.startLeadership(1)
		h.addWorker("a", "r1-1")
		for n := range tt.losses {
			// Losses that follow each other within two seconds count as one.
			h.advance(time.Duration(n) * 2500 * time.Millisecond)
			h.submitWork(10+n, 1, "w2", time.Hour, with(step(1, 1000, 8), func(s *hswork.Step) { s.Checkpoints = true }))
			h.advance(200 * time.Millisecond)
			h.depart("a")
			h.advance(200 * time.Millisecond)
			h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: jobID(10 + n)}})
			h.comeBack("a")
			h.report("a")
			h.commit()
		}
		h.addWorker("b", "r1-2")
		h.addWorker("c", "r1-2")
		h.submitWork(60, 0, "w2", time.Hour, with(seconds(step(2, 32000, 8), 3600), func(s *hswork.Step) { s.Label = "r1-2" }))
		h.advance(tt.wait)
		workspace := hsid.WorkspaceID("w2")
		if tt.covered {
			workspace = "w1"
		}
		job := h.submitWork(70, tt.priority, workspace, 2*time.Second, tt.step)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
	}
}

// TestFlappingWorker checks that urgent gangs rarely lose work on a worker that comes back again and again for some seconds, and
// that the trust in it rises again once it stays.
func TestFlappingWorker(t *testing.T) {
	tables := []struct {
		name     string
		features hsdispatch.Features
	}{
		{"health alone", hsdispatch.Features{}},
		{"trust", hsdispatch.Features{Trust: true}},
	}
	lost := map[string]int{}
	for _, tt := range tables {
		h := newHarness(t)
		h.features = tt.features
		h.startLeadership(1)
		for i := range 8 {
			h.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r1-%d", i/4))
		}
		var jobs []hswork.ID
		for n := range 600 {
			switch n % 60 {
			case 40:
				h.depart("w0")
			case 50:
				h.comeBack("w0")
			}
			if n%4 == 0 {
				h.urgent()
				jobs = append(jobs, h.submitWork(n+1, 0, "w2", 2*time.Second, with(seconds(step(4, 1000, 2), 2), func(s *hswork.Step) { s.Gang = true })))
			}
			h.advance(100 * time.Millisecond)
		}
		lost[tt.name] = h.lost
		h.advance(2 * time.Minute)
		for _, id := range jobs {
			if h.state.Jobs[id].Phase != hswork.Completed {
				t.Errorf("%s: job %s isn't completed", tt.name, id)
			}
		}
		if n := len(h.trustChanges); tt.features.Trust && (n == 0 || h.trustChanges[n-1].Level != hsdispatch.TrustFull) {
			t.Errorf("%s: got changes %v, want full trust in the end", tt.name, h.trustChanges)
		}
	}
	t.Logf("runs lost with the worker: %v", lost)
	if lost["trust"] >= lost["health alone"] {
		t.Errorf("got runs lost with the worker %v, want fewer with trust", lost)
	}
}

// TestCommonCause checks that at most a quarter of the workers is distrusted: when most of the fleet restarts, the workers aren't
// to blame, and gangs start at once.
func TestCommonCause(t *testing.T) {
	h := newHarness(t)
	h.features.Trust = true
	h.startLeadership(1)
	for i := range 8 {
		h.addWorker(fmt.Sprintf("w%d", i), "r1-1")
	}
	h.submitWork(1, 1, "w2", time.Hour, with(step(8, 1000, 8), func(s *hswork.Step) { s.Checkpoints = true }))
	h.advance(200 * time.Millisecond)
	for id := range h.reports {
		h.depart(id)
	}
	h.advance(200 * time.Millisecond)
	h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: jobID(1)}})
	for id := range h.reports {
		h.comeBack(id)
	}
	h.reportAll()
	h.commit()
	job := h.submitWork(2, 0, "w2", time.Second, with(step(6, 1000, 8), func(s *hswork.Step) { s.Gang = true }))
	h.assertEqual("members placed", len(h.assignments(job)), 6)
}
