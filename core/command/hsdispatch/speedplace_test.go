package hsdispatch_test

import (
	"math"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// unevenFleet returns a fleet of four workers on two racks, of which a and c are fast, and b and d take 2.4 times as long as these.
// The speeds are known.
func unevenFleet(t *testing.T) *harness {
	h := newHarness(t)
	h.slowdowns = map[hsid.InstanceID]float64{"a": 0.7, "b": 1.7, "c": 0.7, "d": 1.7}
	h.speeds = h.estimates()
	h.features.Speeds = true
	h.startLeadership(1)
	h.addWorker("a", "r1-1")
	h.addWorker("b", "r1-1")
	h.addWorker("c", "r1-2")
	h.addWorker("d", "r1-2")
	return h
}

// urgent sets the objective of the customers' urgent jobs: 1.5 times the work plus 300 ms.
func (h *harness) urgent() { h.stretch, h.target = 1.5, 300*time.Millisecond }

// seconds returns a step whose tasks are declared to run for a time.
func seconds(s hswork.Step, declared float64) hswork.Step {
	s.Estimate = time.Duration(declared * float64(time.Second))
	return s
}

// TestPlaceBySpeed checks which of four free workers a unit gets, of which a and c are fast. Pattern: a third of the fleet takes 2.4
// times as long as the rest, and urgent gangs that start there miss their objective.
func TestPlaceBySpeed(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	rack := func(s *hswork.Step) { s.Gang, s.SameRack = true, true }
	tables := []struct {
		name    string
		urgent  bool
		step    hswork.Step
		unknown []hsid.InstanceID
		want    []string
	}{
		{"urgent task", true, seconds(step(1, 1000, 8), 2.3), nil, []string{"a/1"}},
		{"urgent gang over racks", true, with(seconds(step(2, 1000, 8), 2.3), gang), nil, []string{"a/1", "c/1"}},
		{"urgent gang that fits on one fast worker", true, with(seconds(step(2, 1000, 4), 2.3), rack), nil, []string{"a/1", "a/1"}},
		{"patient task leaves the fast workers free", false, seconds(step(1, 1000, 8), 7), nil, []string{"b/1"}},
		{"patient tasks leave the fast workers free", false, seconds(step(2, 1000, 8), 7), nil, []string{"b/1", "d/1"}},
		{"long-running task", false, with(step(1, 1000, 8), func(s *hswork.Step) { s.LongRunning = true }), nil, []string{"a/1"}},
		{"urgent task prefers a known fast worker to an unknown one", true, seconds(step(1, 1000, 8), 2.3), []hsid.InstanceID{"a"}, []string{"c/1"}},
		{"urgent task prefers an unknown worker to a slow one", true, seconds(step(1, 1000, 8), 2.3), []hsid.InstanceID{"a", "c"}, []string{"a/1"}},
		{"gang uses few unknown workers", true, with(seconds(step(2, 1000, 4), 2.3), gang), []hsid.InstanceID{"a", "c"}, []string{"a/1", "a/1"}},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		for _, id := range tt.unknown {
			delete(h.speeds.(fakeSpeeds), id)
		}
		priority := 2
		if tt.urgent {
			h.urgent()
			priority = 0
		}
		job := h.submit(1, priority, "w2", tt.step)
		h.assertEqual(tt.name, h.assignments(job), tt.want)
	}
}

// TestSpeedsWithoutEffect checks that decisions are the same as without speeds while the part is off, and while no
// observation shows that workers differ.
func TestSpeedsWithoutEffect(t *testing.T) {
	known := func(slowdown float64) hswork.SpeedEstimate {
		return hswork.SpeedEstimate{Slowdown: hswork.LogFactor(slowdown), Variance: 0.01}
	}
	uneven := fakeSpeeds{"a": known(0.5), "b": known(-0.4), "c": known(0.5), "d": known(-0.4)}
	tables := []struct {
		name     string
		features hsdispatch.Features
		speeds   hsdispatch.Speeds
	}{
		{"off, with speeds that differ", hsdispatch.Features{}, uneven},
		{"no worker is known to differ", hsdispatch.Features{Speeds: true}, fakeSpeeds{}},
	}
	play := func(features hsdispatch.Features, speeds hsdispatch.Speeds) (placed [][]string) {
		h := newHarness(t)
		h.features, h.speeds = features, speeds
		h.startLeadership(1)
		for i, id := range []string{"a", "b", "c", "d"} {
			h.addWorker(id, []string{"r1-1", "r1-2"}[i/2])
		}
		for n := range 12 {
			h.urgent()
			s := seconds(step(1+n%3, 1000, hsid.Accelerators(1+n%4)), 2)
			s.Gang, s.SameRack = n%2 == 0, n%4 == 0
			h.submitWork(n+1, n%3, "w2", 2*time.Second, s)
			h.advance(300 * time.Millisecond)
			for m := range n + 1 {
				placed = append(placed, h.assignments(jobID(m+1)))
			}
		}
		return placed
	}
	want := play(hsdispatch.Features{}, nil)
	for _, tt := range tables {
		h := newHarness(t)
		h.assertEqual(tt.name, play(tt.features, tt.speeds), want)
	}
}

// TestOddSpeeds checks that estimates that no tracker should give neither stop the dispatcher nor keep a job waiting.
func TestOddSpeeds(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	tables := []struct {
		name string
		odd  hswork.SpeedEstimate
	}{
		{"not a number", hswork.SpeedEstimate{Slowdown: hswork.LogFactor(nan), Variance: nan}},
		{"infinitely slow", hswork.SpeedEstimate{Slowdown: hswork.LogFactor(inf), Variance: inf}},
		{"infinitely fast", hswork.SpeedEstimate{Slowdown: hswork.LogFactor(-inf), Variance: 0}},
		{"negative variance", hswork.SpeedEstimate{Variance: -1}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.features.Speeds, h.speeds = true, fakeSpeeds{"a": {Slowdown: 0.5, Variance: 0.01}, "b": tt.odd, "c": tt.odd}
		h.startLeadership(1)
		for _, id := range []string{"a", "b", "c"} {
			h.addWorker(id, "r1-1")
		}
		h.urgent()
		for n := range 9 {
			h.submitWork(n+1, n%3, "w2", time.Second, with(seconds(step(2, 1000, 4), 1), func(s *hswork.Step) { s.Gang = n%2 == 0 }))
		}
		h.advance(20 * time.Second)
		for n := range 9 {
			h.assertEqual(tt.name+": phase", h.state.Jobs[jobID(n+1)].Phase, hswork.Completed)
		}
	}
}

// TestRemainingTimeBySpeed checks that a run that its slow worker doesn't end before the departure is stopped at the notice, and
// that a gang counts as a whole: its members end with the slowest one.
func TestRemainingTimeBySpeed(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name   string
		step   hswork.Step
		leaves string
		want   int
	}{
		{"a task on a fast worker", with(step(1, 1000, 8), func(s *hswork.Step) { s.Label = "fast" }), "a", 0},
		{"a task on a slow worker", with(step(1, 1000, 8), func(s *hswork.Step) { s.Label = "slow" }), "b", 1},
		{"a fast member of a gang with a slow one", with(step(2, 1000, 8), gang), "a", 1},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		h.reports["a"].Endpoint.Labels[0], h.reports["b"].Endpoint.Labels[0] = "fast", "slow"
		delete(h.reports, "c")
		delete(h.reports, "d")
		h.advance(2 * time.Second)
		h.submitWork(1, 1, "w2", 2*time.Second, seconds(tt.step, 2))
		h.advance(300 * time.Millisecond)
		leaving := h.reports[hsid.InstanceID(tt.leaves)]
		leaving.Endpoint.Leaving, leaving.Endpoint.LeavesIn = true, 2500*time.Millisecond
		h.advance(100 * time.Millisecond)
		h.assertEqual(tt.name+": stops", len(h.stops), tt.want)
	}
}

// TestStallOnSlowWorker checks that the stall timeout grows with the slowdown of the worker.
func TestStallOnSlowWorker(t *testing.T) {
	tables := []struct {
		name   string
		worker string
		want   int
	}{
		{"on a fast worker", "a", 1},
		{"on a slow worker", "b", 0},
	}
	for _, tt := range tables {
		h := unevenFleet(t)
		h.reports["a"].Endpoint.Labels[0], h.reports["b"].Endpoint.Labels[0] = "on a", "on b"
		h.submit(1, 1, "w2", with(seconds(step(1, 1000, 8), 130), func(s *hswork.Step) { s.Label = hswork.Label("on " + tt.worker) }))
		h.applyPlan(tt.worker)
		h.reports[hsid.InstanceID(tt.worker)].Running[0].Percent = 1
		h.advance(5 * time.Second)
		h.assertEqual(tt.name+": stops", len(h.stops), tt.want)
	}
}

// TestBackfillBySpeed checks that a short unit is backfilled before a reservation only on a worker that is fast enough to end it in
// time. A worker's last two accelerators are free for 8 s, and a job that needs the whole worker has reserved it.
func TestBackfillBySpeed(t *testing.T) {
	tables := []struct {
		name     string
		slowdown float64
		want     []string
	}{
		{"on a fast worker", 0.7, []string{"b/1"}},
		{"on a slow worker", 1.7, nil},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.slowdowns = map[hsid.InstanceID]float64{"a": 0.5, "b": tt.slowdown, "c": 2}
		h.speeds = h.estimates()
		h.features.Speeds = true
		h.startLeadership(1)
		for _, id := range []string{"a", "b", "c"} {
			h.addWorker(id, "r1-1").Endpoint.Labels[0] = hswork.Label(id)
		}
		onB := func(n hsid.Accelerators, declared float64) hswork.Step {
			return with(seconds(step(1, 1000, n), declared), func(s *hswork.Step) { s.Label = "b" })
		}
		h.submit(1, 0, "w2", onB(6, 8/tt.slowdown))
		h.applyPlans()
		h.submit(2, 1, "w2", onB(8, 8))
		job := h.submit(3, 2, "w2", onB(2, 6))
		h.assertEqual(tt.name, h.assignments(job), tt.want)
	}
}
