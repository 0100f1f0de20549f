package hsdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hslifecycle"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// harness drives a dispatcher with a simulated clock, a log that commits on request, and fake workers.
type harness struct {
	t          *testing.T
	now        time.Time
	state      *hswork.State
	index      hsid.LogIndex
	dispatcher *hsdispatch.Dispatcher
	proposed   []*hswork.Command
	stops      []hsdispatch.Stop
	holds      []hsdispatch.Hold
	stragglers []hsdispatch.Straggler

	trustChanges []hsdispatch.TrustChange
	completions  []hsdispatch.Completion
	// lost counts the runs that were given up with their worker.
	lost   int
	thrown map[string]hscost.CoreSeconds
	// tick is how much time passes with each reading of the clock.
	tick    time.Duration
	plans   map[hsid.InstanceID]hsmessage.Plan
	reports map[hsid.InstanceID]*hsmessage.RunnerReport
	// adviser is the adviser of the next leadership; it may be nil.
	adviser hsdispatch.Adviser
	// features and speeds are those of the next leadership; without speeds the dispatcher has its own.
	features hsdispatch.Features
	speeds   hsdispatch.Speeds
	// stretch and target are the latency objective of the next jobs.
	stretch float64
	target  time.Duration
	// slowdowns holds the ratio of run times of workers that aren't average.
	slowdowns map[hsid.InstanceID]float64
	// work holds the run times of the tasks of jobs, by step, on an average worker. Workers carry out the plans for runs of
	// these jobs by themselves; those of other jobs only as a test has them do it.
	work map[hswork.ID][]time.Duration
	// taskFactor returns the ratio of the work of a task to that of its job; nil for equal tasks.
	taskFactor func(hswork.TaskID) float64
	// simulated holds the runs that advance lets progress.
	simulated map[hswork.RunID]*simulatedRun
}

func (h *harness) Now() time.Time {
	h.now = h.now.Add(h.tick)
	return h.now
}

func (h *harness) Send(to hsstate.Peer, m hsmessage.Message) {
	if p, ok := m.(hsmessage.Plan); ok {
		h.plans[hsid.InstanceID(to)] = p
	}
}

func (h *harness) ProposeWork(c *hswork.Command) bool {
	h.proposed = append(h.proposed, c)
	return true
}

func (h *harness) Clock() time.Duration { return h.now.Sub(time.UnixMilli(0)) }

func (h *harness) Placed(*hswork.Start, time.Duration) {}
func (h *harness) RunEnded(e *hswork.End, _ hsid.InstanceID) {
	if e.Kind == hswork.EndLost {
		h.lost++
	}
}
func (h *harness) Restarting(s hsdispatch.Straggler)                       { h.stragglers = append(h.stragglers, s) }
func (h *harness) TrustChanged(c hsdispatch.TrustChange)                   { h.trustChanges = append(h.trustChanges, c) }
func (h *harness) Completed(c hsdispatch.Completion)                       { h.completions = append(h.completions, c) }
func (h *harness) Held(x hsdispatch.Hold)                                  { h.holds = append(h.holds, x) }
func (h *harness) Stopping(s hsdispatch.Stop)                              { h.stops = append(h.stops, s) }
func (h *harness) WorkThrown(reason string, work hscost.CoreSeconds)       { h.thrown[reason] += work }
func (h *harness) WorkerChanged(hsid.InstanceID, hsmessage.Endpoint, bool) {}
func (h *harness) SpeedChanged(hsspeed.ClassChange)                        {}

const (
	lease = 8 * time.Second
	// passInterval is at least the time between two passes without other events.
	passInterval = 100 * time.Millisecond
)

// sendReport delivers a report under the next sequence number, without a flush.
func (h *harness) sendReport(report *hsmessage.RunnerReport) {
	report.Sequence++
	h.dispatcher.Receive(hsstate.Peer(report.Instance), *report)
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t:       t,
		now:     time.UnixMilli(1_000_000),
		state:   hswork.NewState(),
		plans:   map[hsid.InstanceID]hsmessage.Plan{},
		thrown:  map[string]hscost.CoreSeconds{},
		reports: map[hsid.InstanceID]*hsmessage.RunnerReport{},

		stretch:   3,
		slowdowns: map[hsid.InstanceID]float64{},
		work:      map[hswork.ID][]time.Duration{},
		simulated: map[hswork.RunID]*simulatedRun{},
	}
	h.state.Catalog = hswork.Catalog{
		Version:    1,
		Pools:      []hswork.Pool{{Name: "pool"}},
		Workspaces: []hswork.Workspace{{Name: "w1", Guaranteed: 8}, {Name: "w2"}},
	}
	h.startLeadership(1)
	return h
}

// startLeadership replaces the dispatcher by that of a new leadership. Proposals that aren't applied are lost.
func (h *harness) startLeadership(term hsid.Term) {
	c := hsdispatch.Config{Lease: lease, StopTimeout: 400 * time.Millisecond, Features: h.features}
	h.proposed = nil
	h.dispatcher = hsdispatch.New(c, hsdispatch.Ports{Clock: h, Sender: h, Log: h, Observer: h, Adviser: h.adviser}, h.state, term)
	if h.speeds != nil {
		h.dispatcher.SetSpeeds(h.speeds)
	}
}

// addWorker adds a worker on a rack, with 32 cores, 128 GiB and 8 accelerators, and delivers its first report.
func (h *harness) addWorker(id string, rack string) *hsmessage.RunnerReport {
	report := &hsmessage.RunnerReport{
		Instance:    hsid.InstanceID(id),
		Incarnation: 7,
		Endpoint: hsmessage.Endpoint{
			ID: hswork.EndpointID("e-" + id), Incarnation: 1, Pool: "pool", Labels: []hswork.Label{"a", hswork.Label(rack)}, Rack: hswork.Label(rack),
			Capacity: hswork.Resources{Cores: 32000, Memory: 128 * hsid.GiB, Accelerators: 8},
		},
		ListsKnown: true,
		Healthy:    true,
	}
	h.reports[report.Instance] = report
	h.report(id)
	return report
}

// report delivers the report of a worker under the next sequence number and flushes.
func (h *harness) report(worker string) {
	report := h.reports[hsid.InstanceID(worker)]
	report.Sequence++
	h.dispatcher.Receive(hsstate.Peer(worker), *report)
	h.dispatcher.Flush()
}

func (h *harness) reportAll() {
	for _, id := range h.workerIDs() {
		h.report(id)
	}
}

func (h *harness) workerIDs() []string {
	var ids []string
	for id := range h.reports {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids
}

// commit applies all proposals, including those that result from applying others.
func (h *harness) commit() {
	for len(h.proposed) > 0 {
		c := h.proposed[0]
		h.proposed = h.proposed[1:]
		h.apply(c)
		h.dispatcher.Flush()
	}
}

func (h *harness) apply(c *hswork.Command) {
	h.index++
	hslifecycle.Apply(h.state, c, h.index, h.Clock())
	h.dispatcher.Applied(c)
}

// advance lets time pass in small steps. In each one runs of jobs with work progress, all workers report, and all proposals
// are committed.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.simulate(100 * time.Millisecond)
		h.reportAll()
		h.dispatcher.Wake()
		h.dispatcher.Flush()
		h.commit()
	}
}

// advanceWithProgress lets time pass by whole seconds. Every running task progresses by one percent per second.
func (h *harness) advanceWithProgress(d time.Duration) {
	for range int(d / time.Second) {
		h.advance(time.Second)
		for _, report := range h.reports {
			for i := range report.Running {
				report.Running[i].Percent++
			}
		}
	}
}

func jobID(n int) hswork.ID { return hswork.ID(fmt.Sprintf("%016x", n)) }

// submit accepts a job with the given steps and commits what it causes.
func (h *harness) submit(n, priority int, workspace hsid.WorkspaceID, steps ...hswork.Step) hswork.ID {
	s := hswork.Submission{ID: jobID(n), Spec: "spec", Steps: steps}
	h.apply(&hswork.Command{Submit: &hswork.Submit{
		Submission: s, Queue: "queue", Pool: "pool", Workspace: workspace, Priority: priority, Attempts: 2, Stretch: h.stretch, Target: h.target,
	}})
	h.dispatcher.Flush()
	h.commit()
	return s.ID
}

// applyPlan lets a worker carry out its last plan: it lists the planned runs as running and the stopped ones as
// ended.
func (h *harness) applyPlan(worker string) {
	report := h.reports[hsid.InstanceID(worker)]
	p := h.plans[report.Instance]
	for _, r := range p.Runs {
		if !isListed(report, r.Run) {
			report.Running = append(report.Running, hsmessage.RunningTask{Run: r.Run})
		}
	}
	for _, run := range p.Stops {
		h.listEnd(worker, run, hswork.EndStopped, "saved")
	}
	h.report(worker)
}

// startPlanned lets a worker start the runs that its last plan has it start, and report them.
func (h *harness) startPlanned(worker string) {
	report := h.reports[hsid.InstanceID(worker)]
	for _, r := range h.plans[report.Instance].Runs {
		if !r.Listed && !isListed(report, r.Run) {
			report.Running = append(report.Running, hsmessage.RunningTask{Run: r.Run})
		}
	}
	h.report(worker)
}

// isListed reports whether a worker lists a run as running.
func isListed(report *hsmessage.RunnerReport, run hswork.RunID) bool {
	return slices.ContainsFunc(report.Running, func(x hsmessage.RunningTask) bool { return x.Run == run })
}

func (h *harness) applyPlans() {
	for _, id := range h.workerIDs() {
		h.applyPlan(id)
	}
	h.commit()
}

// listEnd lets a worker list the end of a run, if it lists the run as running. The next report tells of it.
func (h *harness) listEnd(worker string, run hswork.RunID, kind hswork.EndKind, checkpoint hswork.Checkpoint) {
	report := h.reports[hsid.InstanceID(worker)]
	before := len(report.Running)
	report.Running = slices.DeleteFunc(report.Running, func(x hsmessage.RunningTask) bool { return x.Run == run })
	if len(report.Running) == before {
		return
	}
	number := hswork.EndNumber(len(report.Ended) + 1)
	report.Ended = append(report.Ended, hsmessage.EndedTask{Number: number, Run: run, Kind: kind, Checkpoint: checkpoint})
}

// assignments returns where the tasks of a job are placed, as sorted "worker/run" strings.
func (h *harness) assignments(id hswork.ID) []string {
	var assignments []string
	h.state.Jobs[id].EachAssignment(func(_ hswork.TaskID, _ *hswork.Task, a hswork.Assignment) {
		assignments = append(assignments, fmt.Sprintf("%s/%d", a.Worker, a.Number))
	})
	slices.Sort(assignments)
	return assignments
}

func taskID(job hswork.ID, index int) hswork.TaskID { return hswork.TaskID{Job: job, Index: index} }

// assertEqual compares values by their printed form.
func (h *harness) assertEqual(what string, got, want any) {
	h.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
