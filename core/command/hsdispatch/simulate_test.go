package hsdispatch_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// listInterval is the time between two updates of the progress that a simulated run lists.
const listInterval = time.Second

// fakeSpeeds is a hsdispatch.Speeds with fixed estimates. Other workers are unknown; without any, no worker is known to differ.
type fakeSpeeds map[hsid.InstanceID]hswork.SpeedEstimate

func (f fakeSpeeds) Estimate(worker hsid.InstanceID) hswork.SpeedEstimate {
	if e, ok := f[worker]; ok {
		return e
	}
	if len(f) == 0 {
		return hswork.SpeedEstimate{}
	}
	return hswork.SpeedEstimate{Variance: hswork.PriorVariance}
}

// estimates returns an estimate with a standard deviation of 0.1 of the true slowdown of each worker that has one.
func (h *harness) estimates() fakeSpeeds {
	f := fakeSpeeds{}
	for id, slowdown := range h.slowdowns {
		f[id] = hswork.SpeedEstimate{Slowdown: hswork.LogFactor(math.Log(slowdown)), Variance: 0.01}
	}
	return f
}

// submitWork accepts a job whose tasks take the given time on an average worker.
func (h *harness) submitWork(n, priority int, workspace hsid.WorkspaceID, work time.Duration, steps ...hswork.Step) hswork.ID {
	for range steps {
		h.work[jobID(n)] = append(h.work[jobID(n)], work)
	}
	return h.submit(n, priority, workspace, steps...)
}

// simulatedRun is a run on a simulated worker.
type simulatedRun struct {
	worker hsid.InstanceID
	// done is the share of the work that is done. A member of a gang stays at 1 until the others are there too.
	done     float64
	listedAt time.Time
	stopped  bool
}

// simulate lets the workers carry out their plans for jobs with work, and the runs in progress go on for a time.
func (h *harness) simulate(d time.Duration) {
	for _, id := range h.workerIDs() {
		h.carryOut(hsid.InstanceID(id))
	}
	for _, id := range h.workerIDs() {
		report := h.reports[hsid.InstanceID(id)]
		for i := range report.Running {
			h.progress(hsid.InstanceID(id), &report.Running[i], d)
		}
	}
	for _, id := range h.workerIDs() {
		for _, r := range h.running(id) {
			if s := h.simulated[r.Run]; s != nil && !s.stopped && h.complete(r.Run) {
				h.listEnd(id, r.Run, hswork.EndDone, "")
			}
		}
	}
}

// running returns a copy of the runs that a worker lists, as listEnd changes the list.
func (h *harness) running(worker string) []hsmessage.RunningTask {
	return append([]hsmessage.RunningTask(nil), h.reports[hsid.InstanceID(worker)].Running...)
}

// carryOut starts and stops the runs of jobs with work as the last plan of a worker says. A leaving worker starts none.
func (h *harness) carryOut(worker hsid.InstanceID) {
	report, plan := h.reports[worker], h.plans[worker]
	for _, r := range plan.Runs {
		if _, began := h.simulated[r.Run]; began || len(h.work[r.Run.Task.Job]) == 0 || report.Endpoint.Leaving {
			continue
		}
		percent, _ := strconv.Atoi(string(r.Checkpoint))
		h.simulated[r.Run] = &simulatedRun{worker: worker, done: float64(percent) / 100, listedAt: h.now}
		report.Running = append(report.Running, hsmessage.RunningTask{Run: r.Run, Percent: hswork.Percent(percent)})
	}
	for _, run := range plan.Stops {
		s := h.simulated[run]
		switch {
		case len(h.work[run.Task.Job]) == 0:
		case s != nil && !s.stopped:
			s.stopped = true
			h.listEnd(string(worker), run, hswork.EndStopped, h.checkpoint(run, s.done))
		case s == nil:
			h.simulated[run] = &simulatedRun{worker: worker, stopped: true}
			report.NeverStarted = append(report.NeverStarted, run)
		}
	}
}

// checkpoint returns the checkpoint of a run of a step that saves them, which is the percentage done.
func (h *harness) checkpoint(run hswork.RunID, done float64) hswork.Checkpoint {
	if !h.state.Jobs[run.Task.Job].Step(run.Task).Checkpoints {
		return ""
	}
	return hswork.Checkpoint(strconv.Itoa(int(100 * done)))
}

// progress lets a run go on at the speed of its worker, and lists its whole percentage once in each listInterval.
func (h *harness) progress(worker hsid.InstanceID, r *hsmessage.RunningTask, d time.Duration) {
	s := h.simulated[r.Run]
	if s == nil || s.stopped {
		return
	}
	total := h.work[r.Run.Task.Job][r.Run.Task.Step].Seconds()
	if slowdown := h.slowdowns[worker]; slowdown > 0 {
		total *= slowdown
	}
	if h.taskFactor != nil {
		total *= h.taskFactor(r.Run.Task)
	}
	s.done = min(s.done+d.Seconds()/total, 1)
	if h.now.Sub(s.listedAt) >= listInterval {
		s.listedAt = h.now
		r.Percent = hswork.Percent(100 * s.done)
		r.Checkpoint = h.checkpoint(r.Run, s.done)
	}
}

// complete reports whether a run has done its work, as have all members of its gang.
func (h *harness) complete(run hswork.RunID) bool {
	s := h.state.Jobs[run.Task.Job].Step(run.Task)
	if !s.Gang {
		return h.simulated[run].done >= 1
	}
	for i := range s.Count {
		run.Task.Index = i
		if m := h.simulated[run]; m == nil || m.done < 1 {
			return false
		}
	}
	return true
}

// TestSimulatedRuns checks that the harness lets runs progress by the speed of their worker, as the other tests rely on it.
func TestSimulatedRuns(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name string
		step hswork.Step
		// after is how long the job takes, to a step of the harness.
		after time.Duration
	}{
		{"a task on an average worker", with(step(1, 1000, 8), func(s *hswork.Step) { s.Label = "r1-1" }), 2 * time.Second},
		{"a task on a slow worker", with(step(1, 1000, 8), func(s *hswork.Step) { s.Label = "r1-2" }), 4 * time.Second},
		{"a gang with a member on a slow worker", with(step(2, 1000, 8), gang), 4 * time.Second},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		h.addWorker("b", "r1-2")
		h.slowdowns["b"] = 2
		job := h.submitWork(1, 1, "w2", 2*time.Second, tt.step)
		h.advance(tt.after - 200*time.Millisecond)
		h.assertEqual(tt.name+": before", h.state.Jobs[job].Phase, hswork.Open)
		h.advance(400 * time.Millisecond)
		h.assertEqual(tt.name+": after", h.state.Jobs[job].Phase, hswork.Completed)
	}
}
