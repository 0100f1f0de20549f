package hsdispatch_test

import (
	"slices"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// TestWorkerLoss checks for each way of losing a worker when its run is placed again.
func TestWorkerLoss(t *testing.T) {
	run := hswork.RunID{Task: taskID(jobID(1), 0), Number: 1}
	tables := []struct {
		name string
		lose func(h *harness, a *hsmessage.RunnerReport)
		want []string
	}{
		{"a silent worker keeps its run until its lease has expired", func(h *harness, _ *hsmessage.RunnerReport) {
			delete(h.reports, "a")
			h.advance(lease)
		}, []string{"a/1"}},
		{"and loses it after that", func(h *harness, _ *hsmessage.RunnerReport) {
			delete(h.reports, "a")
			h.advance(lease + lease/10)
		}, []string{"b/2"}},
		{"a new leader waits until the leases of its predecessor have expired", func(h *harness, _ *hsmessage.RunnerReport) {
			delete(h.reports, "a")
			h.now = h.now.Add(lease / 2)
			h.startLeadership(2)
			h.advance(lease)
		}, []string{"a/1"}},
		{"the endpoint has ended", func(h *harness, a *hsmessage.RunnerReport) {
			a.EndpointTerminated = true
			a.Running = nil
			h.advance(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"a later incarnation of the endpoint keeps the run until it has accepted the stop", func(h *harness, a *hsmessage.RunnerReport) {
			a.Endpoint.Incarnation = 2
			a.Running = nil
			h.advance(200 * time.Millisecond)
			if got := h.plans["a"].Stops; len(got) != 1 || got[0] != run {
				h.t.Errorf("got stops %v, want %s", got, run)
			}
		}, []string{"a/1"}},
		{"and releases it then", func(h *harness, a *hsmessage.RunnerReport) {
			a.Endpoint.Incarnation = 2
			a.Running = nil
			h.advance(200 * time.Millisecond)
			a.NeverStarted = h.plans["a"].Stops
			h.report("a")
			h.commit()
			h.assertEqual("run number", h.state.Jobs[jobID(1)].Occurrences[0].Steps[0][0].Run, 2)
		}, nil},
		{"a refused run is placed again once it is proved that it never begins", func(h *harness, a *hsmessage.RunnerReport) {
			a.Running = nil
			a.Endpoint.Leaving = true
			a.Refused = []hsmessage.RefusedRun{{Run: run, Reason: "room"}}
			h.report("a")
			a.NeverStarted = h.plans["a"].Stops
			h.advance(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"a leaving worker gets no new runs", func(h *harness, a *hsmessage.RunnerReport) {
			a.Endpoint.Leaving = true
			h.listEnd("a", run, hswork.EndFailed, "")
			h.advance(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"a restarted runner without an endpoint keeps the run until the lease has expired", func(h *harness, a *hsmessage.RunnerReport) {
			restartWithoutEndpoint(a)
			h.advance(lease)
		}, []string{"a/1"}},
		{"and loses it after that, though it goes on to report", func(h *harness, a *hsmessage.RunnerReport) {
			restartWithoutEndpoint(a)
			h.advance(lease + lease/10)
		}, []string{"b/2"}},
		{"the same with a new leader", func(h *harness, a *hsmessage.RunnerReport) {
			restartWithoutEndpoint(a)
			h.advance(lease / 2)
			h.startLeadership(2)
			h.advance(lease)
		}, []string{"a/1"}},
		{"and after the leases of its predecessor have expired", func(h *harness, a *hsmessage.RunnerReport) {
			restartWithoutEndpoint(a)
			h.advance(lease / 2)
			h.startLeadership(2)
			h.advance(lease + lease/10)
		}, []string{"b/2"}},
		{"an endpoint that announces itself again to a restarted runner keeps the run", func(h *harness, a *hsmessage.RunnerReport) {
			before := *a
			restartWithoutEndpoint(a)
			h.advance(lease / 2)
			before.Incarnation, before.Sequence = a.Incarnation, a.Sequence
			*a = before
			h.advance(2 * lease)
		}, []string{"a/1"}},
		{"a delayed message of the previous runner is ignored", func(h *harness, a *hsmessage.RunnerReport) {
			old := *a
			a.Incarnation++
			h.report("a")
			old.Sequence += 100
			old.EndpointTerminated = true
			h.dispatcher.Receive("a", old)
			h.dispatcher.Flush()
			h.commit()
		}, []string{"a/1"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := h.addWorker("a", "r1-1")
		h.submit(1, 1, "w2", step(1, 1000, 8))
		h.applyPlan("a")
		h.addWorker("b", "r1-1")
		tt.lose(h, a)
		if tt.want != nil {
			h.assertEqual(tt.name, h.assignments(jobID(1)), tt.want)
		}
	}
}

// restartWithoutEndpoint makes a report that of a restarted runner whose endpoint doesn't announce itself.
func restartWithoutEndpoint(r *hsmessage.RunnerReport) {
	*r = hsmessage.RunnerReport{Instance: r.Instance, Incarnation: r.Incarnation + 1}
}

// TestCompletionAfterLoss checks that a run that was given up as lost counts as done once its worker reports that it
// completed, and that the run that replaced it is stopped. It happens when an agent is disconnected while its tasks
// complete.
func TestCompletionAfterLoss(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	job := h.submit(1, 1, "w2", step(1, 1000, 8), with(step(1, 1000, 8), func(s *hswork.Step) { s.After = []int{0} }))
	h.applyPlan("a")
	h.addWorker("b", "r1-1")
	disconnected := h.reports["a"]
	delete(h.reports, "a")
	h.advance(lease + lease/10)
	h.assertEqual("placed again", h.assignments(job), []string{"b/2"})
	h.applyPlan("b")

	h.reports["a"] = disconnected
	h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndDone, "")
	h.report("a")
	h.assertEqual("acknowledged before the commit", h.plans["a"].AckedEnd, 0)
	h.commit()
	h.assertEqual("acknowledged after it", h.plans["a"].AckedEnd, 1)
	h.assertEqual("done", h.state.Jobs[job].Occurrences[0].Steps[0][0].Done, true)
	h.assertEqual("stops of the replacement", len(h.plans["b"].Stops), 1)
	h.assertEqual("next step", h.assignments(job), []string{"a/1", "b/2"})
}

// TestEndAcknowledgement checks that ends are acknowledged only when they are committed, as are all before them.
func TestEndAcknowledgement(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	job := h.submit(1, 1, "w2", step(2, 1000, 1))
	h.applyPlan("a")
	for i := range 2 {
		h.listEnd("a", hswork.RunID{Task: taskID(job, i), Number: 1}, hswork.EndDone, "")
	}
	h.report("a")
	h.assertEqual("before the commit", h.plans["a"].AckedEnd, 0)
	h.commit()
	h.assertEqual("after it", h.plans["a"].AckedEnd, 2)
	h.assertEqual("phase", h.state.Jobs[job].Phase, hswork.Completed)
}

// TestCancel checks that the runs of a cancelled job are stopped, and are no longer placed once they have ended.
func TestCancel(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	job := h.submit(1, 1, "w2", step(2, 1000, 1))
	h.applyPlan("a")
	h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
	h.dispatcher.Flush()
	h.assertEqual("runs", len(h.plans["a"].Runs), 0)
	h.assertEqual("stops", len(h.plans["a"].Stops), 2)
	h.applyPlan("a")
	h.reportAll()
	h.commit()
	h.assertEqual("placed", len(h.assignments(job)), 0)
}

// TestGangMemberEnd checks that the rest of a gang is stopped when a member ends, and that the whole gang is
// restarted from the checkpoint.
func TestGangMemberEnd(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", "r1-1")
	h.addWorker("b", "r1-1")
	job := h.submit(1, 1, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Gang = true; s.Checkpoints = true }))
	h.applyPlans()
	h.listEnd("a", hswork.RunID{Task: taskID(job, 0), Number: 1}, hswork.EndStopped, "saved")
	h.report("a")
	h.commit()
	h.assertEqual("stops at the other member", len(h.plans["b"].Stops), 1)
	h.applyPlans()
	h.commit()
	h.assertEqual("placed again", h.assignments(job), []string{"a/2", "b/2"})
	for _, w := range []hsid.InstanceID{"a", "b"} {
		if got := h.plans[w].Runs; len(got) != 1 || got[0].Checkpoint != "saved" {
			t.Errorf("%s: got %+v, want one run from the checkpoint", w, got)
		}
	}
}

// TestFenceAfterLoss checks when the fence that a plan carries rises. It must be above that of every start whose run was
// given up, as the endpoint may carry out such a start late.
func TestFenceAfterLoss(t *testing.T) {
	tables := []struct {
		name string
		play func(h *harness, a *hsmessage.RunnerReport)
		want hswork.Fence
	}{
		{"a run that goes on", func(h *harness, _ *hsmessage.RunnerReport) { h.report("a") }, hswork.NewFence(1, 0)},
		{"a run that was given up with a silent worker", func(h *harness, a *hsmessage.RunnerReport) {
			delete(h.reports, "a")
			h.advance(lease + lease/10)
			h.reports["a"] = a
			h.report("a")
		}, hswork.NewFence(1, 1)},
		{"a worker that was silent until it was forgotten", func(h *harness, a *hsmessage.RunnerReport) {
			delete(h.reports, "a")
			h.advance(2 * time.Minute)
			h.reports["a"] = a
			a.Running = nil
			h.report("a")
		}, hswork.NewFence(1, 1)},
		{"a run that was given up with its endpoint", func(h *harness, a *hsmessage.RunnerReport) {
			a.EndpointTerminated = true
			h.report("a")
			h.commit()
		}, hswork.NewFence(1, 1)},
		{"a runner that asks for a higher fence", func(h *harness, a *hsmessage.RunnerReport) {
			a.MinFence = hswork.NewFence(1, 9)
			h.report("a")
		}, hswork.NewFence(1, 9)},
		{"a runner that asks for a fence of an earlier term", func(h *harness, a *hsmessage.RunnerReport) {
			h.startLeadership(2)
			a.MinFence = hswork.NewFence(1, 9)
			h.report("a")
		}, hswork.NewFence(2, 0)},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := h.addWorker("a", "r1-1")
		h.submit(1, 1, "w2", step(1, 1000, 8))
		h.applyPlan("a")
		tt.play(h, a)
		h.assertEqual(tt.name, h.plans["a"].Fence, tt.want)
	}
}

// TestLostCheckpoint checks that a run that is lost with its endpoint continues from its last reported checkpoint, also
// if the runner reports it as never started at the same time.
func TestLostCheckpoint(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", "r1-1")
	id := h.submit(1, 1, "w2", step(1, 1000, 8))
	h.applyPlan("a")
	a.Running[0].Checkpoint = "saved"
	h.report("a")
	a.NeverStarted = []hswork.RunID{a.Running[0].Run}
	a.EndpointTerminated = true
	a.Running = nil
	h.report("a")
	h.commit()
	h.assertEqual("checkpoint", h.state.Jobs[id].Task(taskID(id, 0)).Checkpoint, "saved")
}

// TestMalformedReport delivers reports that name tasks with impossible numbers, as a damaged or foreign message may. They
// must not end the leader, and the job goes on.
func TestMalformedReport(t *testing.T) {
	tables := []struct {
		name string
		task hswork.TaskID
	}{
		{"negative step", hswork.TaskID{Job: jobID(1), Step: -1}},
		{"unknown step", hswork.TaskID{Job: jobID(1), Step: 7}},
		{"negative occurrence", hswork.TaskID{Job: jobID(1), Occurrence: -1}},
		{"occurrence that isn't due", hswork.TaskID{Job: jobID(1), Occurrence: 9}},
		{"negative task", hswork.TaskID{Job: jobID(1), Index: -1}},
		{"unknown task", hswork.TaskID{Job: jobID(1), Index: 99}},
		{"unknown job", hswork.TaskID{Job: "x"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := h.addWorker("a", "r1-1")
		job := h.submit(1, 1, "w2", step(1, 1000, 8))
		h.applyPlan("a")
		run := hswork.RunID{Task: tt.task, Number: 1}
		a.Running = append(a.Running, hsmessage.RunningTask{Run: run})
		a.Ended = []hsmessage.EndedTask{{Number: 1, Run: run, Kind: hswork.EndFailed}}
		a.NeverStarted = []hswork.RunID{run}
		a.Refused = []hsmessage.RefusedRun{{Run: run, Reason: "room"}}
		h.advance(300 * time.Millisecond)
		h.assertEqual(tt.name, h.assignments(job), []string{"a/1"})
	}
}

// TestOddReport delivers reports of a worker whose endpoint or runs have impossible values, as an older agent may pass them on
// from another writer. They must not end the leader, nor the one after it, and jobs go on on the other worker.
func TestOddReport(t *testing.T) {
	const most = 1<<63 - 1
	tables := []struct {
		name   string
		change func(r *hsmessage.RunnerReport)
	}{
		{"nothing odd", func(*hsmessage.RunnerReport) {}},
		{"sizes that overflow in sums", func(r *hsmessage.RunnerReport) {
			r.Endpoint.Capacity = hswork.Resources{Cores: most, Memory: most, Accelerators: most}
		}},
		{"negative sizes", func(r *hsmessage.RunnerReport) {
			r.Endpoint.Capacity = hswork.Resources{Cores: -most, Memory: -most, Accelerators: -most}
		}},
		{"no sizes", func(r *hsmessage.RunnerReport) { r.Endpoint.Capacity = hswork.Resources{} }},
		{"the highest incarnation", func(r *hsmessage.RunnerReport) { r.Endpoint.Incarnation = 1<<64 - 1 }},
		{"leaving after a time that overflows", func(r *hsmessage.RunnerReport) { r.Endpoint.Leaving, r.Endpoint.LeavesIn = true, most }},
		{"leaving long ago", func(r *hsmessage.RunnerReport) { r.Endpoint.Leaving, r.Endpoint.LeavesIn = true, -most }},
		{"no names", func(r *hsmessage.RunnerReport) { r.Endpoint.ID, r.Endpoint.Rack, r.Endpoint.Labels = "", "", nil }},
		{"progress out of range", func(r *hsmessage.RunnerReport) {
			for i := range r.Running {
				r.Running[i].Percent, r.Running[i].Load = -most, -most
			}
		}},
		{"the highest end", func(r *hsmessage.RunnerReport) {
			r.Ended = []hsmessage.EndedTask{{Number: 1<<64 - 1, Run: hswork.RunID{Task: hswork.TaskID{Job: "x"}, Number: 1<<32 - 1}, Kind: "odd"}}
		}},
		{"the highest fence", func(r *hsmessage.RunnerReport) { r.MinFence = 1<<64 - 1 }},
		{"a run twice", func(r *hsmessage.RunnerReport) { r.Running = append(r.Running, r.Running...) }},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.addWorker("a", "r1-1")
		first := h.submit(1, 0, "w1", step(4, 1000, 1))
		h.applyPlans()
		odd := h.addWorker("b", "r1-2")
		h.submit(2, 1, "w2", step(6, 1000, 1))
		h.applyPlans()
		tt.change(odd)
		h.advanceWithProgress(3 * time.Second)
		h.startLeadership(2)
		h.advanceWithProgress(3 * time.Second)
		for _, r := range slices.Clone(h.reports["a"].Running) {
			h.listEnd("a", r.Run, hswork.EndDone, "")
		}
		h.advance(time.Second)
		h.assertEqual(tt.name+": the first job", h.state.Jobs[first].Phase, hswork.Completed)
		last := h.submit(3, 0, "w1", step(1, 1000, 1))
		for range 5 {
			h.applyPlan("a")
			h.advance(200 * time.Millisecond)
		}
		h.assertEqual(tt.name+": runs of the last job", len(h.assignments(last)), 1)
	}
}

// TestPlansAfterForgetting cuts a worker off for longer than the leader remembers it. Its runner ignores every plan whose
// serial isn't higher than the last one of the term, so it would start nothing for about as long as the leader has led.
func TestPlansAfterForgetting(t *testing.T) {
	h := newHarness(t)
	report := h.addWorker("a", "r1-1")
	h.addWorker("b", "r1-2")
	h.advance(3 * time.Second)
	before := h.plans["a"].Serial
	delete(h.reports, "a")
	h.advance(62 * time.Second)
	h.reports["a"] = report
	h.report("a")
	if got := h.plans["a"].Serial; got <= before {
		t.Errorf("got a plan with serial %d after the cut, want one above %d", got, before)
	}
}

// TestLateFirstReport delivers the first report of a runner process late, after the next process has reported. The reports of the
// process that goes on must count again: its worker would get no runs for as long as it lives.
func TestLateFirstReport(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", "r1-1")
	late := *a
	late.Incarnation, late.Sequence = 8, 1
	a.Incarnation, a.Sequence = 9, 0
	h.advance(time.Second)
	h.dispatcher.Receive("a", late)
	h.advance(4 * time.Second)
	h.assertEqual("process that the plans are for", h.plans["a"].Incarnation, hsid.Incarnation(9))
	job := h.submit(1, 1, "w2", step(1, 1000, 8))
	h.assertEqual("assignments", h.assignments(job), []string{"a/1"})
}
