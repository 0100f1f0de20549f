package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
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

// TestGangOnLeavingWorkerCountsAsWhole checks that a gang is stopped at the notice of departure if a member elsewhere won't end in
// time. The member on the leaving worker waits for it at the end, and looked done until it was time to leave.
func TestGangOnLeavingWorkerCountsAsWhole(t *testing.T) {
	tables := []struct {
		name     string
		features hsdispatch.Features
		percent  hswork.Percent
		want     int
	}{
		{"the other member ends late", hsdispatch.Features{Speeds: true}, 40, 1},
		{"the other member ends in time", hsdispatch.Features{Speeds: true}, 90, 0},
		{"without speeds", hsdispatch.Features{}, 40, 0},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.features = tt.features
		h.startLeadership(1)
		a, b := h.addWorker("a", "r1-1"), h.addWorker("b", "r1-1")
		h.submit(1, 1, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Gang = true }))
		h.applyPlans()
		h.advance(2 * time.Second)
		a.Running[0].Percent, b.Running[0].Percent = 100, tt.percent
		h.advance(100 * time.Millisecond)
		a.Endpoint.Leaving, a.Endpoint.LeavesIn = true, 2*time.Second
		h.advance(100 * time.Millisecond)
		h.assertEqual(tt.name+": stops", len(h.stops), tt.want)
	}
}

// depart ends a worker with all runs there, as at the end of a notice.
func (h *harness) depart(worker hsid.InstanceID) {
	report := h.reports[worker]
	for _, r := range report.Running {
		h.simulated[r.Run].stopped = true
	}
	report.EndpointTerminated, report.Running = true, nil
	report.Ended, report.NeverStarted = nil, nil
}

// comeBack starts a worker again as the next incarnation of its endpoint.
func (h *harness) comeBack(worker hsid.InstanceID) {
	report := h.reports[worker]
	report.EndpointTerminated = false
	report.Endpoint.Leaving, report.Endpoint.LeavesIn = false, 0
	report.Endpoint.Incarnation++
}

// TestNoticesOverBurst plays waves of notices of departure over a burst of urgent gangs. Each wave takes two of twelve workers for
// three seconds. Pattern: days on which capacity is taken back while callers need it most.
func TestNoticesOverBurst(t *testing.T) {
	tables := []struct {
		name     string
		features hsdispatch.Features
	}{
		{"without the optional parts", hsdispatch.Features{}},
		{"with speeds", hsdispatch.Features{Speeds: true}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.features = tt.features
		var ids []hsid.InstanceID
		for i := range 12 {
			id := hsid.InstanceID(fmt.Sprintf("w%02d", i))
			ids = append(ids, id)
			h.slowdowns[id] = []float64{1.7, 0.7, 0.7}[i%3]
		}
		h.speeds = h.estimates()
		h.startLeadership(1)
		for i, id := range ids {
			h.addWorker(string(id), fmt.Sprintf("r1-%d", i/4))
		}
		var jobs []hswork.ID
		const notice, wave = 20, 50 // in steps of 100 ms
		for n := range 300 {
			first := 2 * (n / wave)
			for _, id := range ids[first : first+2] {
				switch n % wave {
				case 0:
					h.reports[id].Endpoint.Leaving, h.reports[id].Endpoint.LeavesIn = true, notice*100*time.Millisecond
				case notice:
					h.depart(id)
				case wave - 1:
					h.comeBack(id)
				}
				if n%wave < notice {
					h.reports[id].Endpoint.LeavesIn = time.Duration(notice-n%wave) * 100 * time.Millisecond
				}
			}
			if n < 200 && n%4 == 0 {
				h.urgent()
				jobs = append(jobs, h.submitWork(n+1, 0, "w2", 2*time.Second, with(seconds(step(1+n/4%4, 1000, 4), 2), func(s *hswork.Step) { s.Gang = true })))
			}
			h.advance(100 * time.Millisecond)
		}
		for _, id := range jobs {
			if h.state.Jobs[id].Phase != hswork.Completed {
				t.Errorf("%s: job %s isn't completed after the burst", tt.name, id)
			}
		}
		h.assertEqual(tt.name+": runs lost with their workers", h.lost, 0)
	}
}
