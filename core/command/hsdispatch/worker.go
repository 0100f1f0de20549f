package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// worker is the leader's view of one runner and its endpoint.
type worker struct {
	id        hsid.InstanceID
	peer      hsstate.Peer
	report    hsmessage.RunnerReport
	lastHeard time.Time
	// changedAt is when the last report arrived that named another incarnation of the endpoint than the newest one does;
	// zero when there was none.
	changedAt time.Time
	// lives tells the reports of the present runner process from delayed ones of those before it.
	lives hsid.Lives
	// acked is the newest end listed by this incarnation of the endpoint that is committed, as are all before it (a
	// cumulative acknowledgement).
	acked   hswork.EndNumber
	planDue bool
	health  health
	urgent  urgentUse
	life    life
	// speed is the class of the worker's speed as of the last pass.
	speed speedClass
}

// need returns the resources that a task of a step reserves on its worker. A best-effort step reserves no cores: its
// tasks use those that others leave idle.
func need(s *hswork.Step) hswork.Resources {
	n := s.Need
	if s.BestEffort {
		n.Cores = 0
	}
	return n
}

// Receive updates the view of a worker from a report of its runner, proposes the ends that the report proves, and
// makes a plan due in reply. Outdated reports, and delayed ones of earlier processes of the runner, are ignored.
func (d *Dispatcher) Receive(from hsstate.Peer, report hsmessage.RunnerReport) {
	w := d.workers[report.Instance]
	if w == nil {
		w = &worker{id: report.Instance}
		d.workers[report.Instance] = w
	}
	now := d.ports.Clock.Now()
	if !w.lives.Accept(report.Incarnation, report.Sequence, now) {
		return
	}
	before := w.report
	previouslyHeard := w.lastHeard
	if before.Endpoint.Incarnation != report.Endpoint.Incarnation {
		w.changedAt = w.lastHeard
	}
	w.report = report
	w.peer = from
	w.lastHeard = now
	w.planDue = true
	if before.Endpoint.Incarnation != report.Endpoint.Incarnation {
		w.acked = 0
		w.health = health{}
	}
	d.recordLife(w, previouslyHeard)
	if acceptsRuns(&before) != acceptsRuns(&report) || before.Endpoint.Incarnation != report.Endpoint.Incarnation {
		d.ports.Observer.WorkerChanged(report.Instance, report.Endpoint, acceptsRuns(&report))
		d.passDue = true
	}
	for _, r := range report.Running {
		d.startedJobs[r.Run.Task.Job] = true
		if _, ok := d.runningSince[r.Run]; !ok {
			d.runningSince[r.Run] = w.lastHeard
		}
	}
	d.speedWorkerSeen(w)
	d.trackProgress(&report, w.lastHeard)
	d.proposeReportedEnds(w)
	d.epochs[w.id] = max(d.epochs[w.id], report.MinFence.EpochIn(d.term))
	d.advanceAck(w)
}

// acceptsRuns reports whether new runs may be placed on the worker that sent a report.
func acceptsRuns(report *hsmessage.RunnerReport) bool {
	return report.ListsKnown && report.Healthy && !report.EndpointTerminated && !report.Endpoint.Leaving && report.Endpoint.Incarnation != 0
}

// proposeReportedEnds proposes the ends that the report of a worker proves, and stops the runs that its endpoint
// refused.
func (d *Dispatcher) proposeReportedEnds(w *worker) {
	report := &w.report
	var ends []hswork.End
	add := func(e hswork.End) {
		if !d.proposedEnds[e.Run] && !slices.ContainsFunc(ends, func(x hswork.End) bool { return x.Run == e.Run }) {
			ends = append(ends, e)
		}
	}
	for _, e := range report.Ended {
		if d.isRelevant(w, e) && !d.proposedEnds[e.Run] {
			d.recordEnd(w, e.Run, e.Kind)
			add(hswork.End{Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint, Took: d.runTime(e, w.lastHeard)})
		}
	}
	for _, p := range d.placedOn(w.id) {
		if report.EndpointTerminated && p.assignment.EndpointIncarnation <= report.Endpoint.Incarnation {
			add(d.lostEnd(p.run))
		}
	}
	for _, run := range report.NeverStarted {
		switch a := d.assignmentOn(w, run); {
		case a == nil:
		case a.EndpointIncarnation < report.Endpoint.Incarnation:
			add(d.lostEnd(run))
		default:
			add(hswork.End{Run: run, Kind: hswork.EndNever})
		}
	}
	for _, r := range report.Refused {
		if d.assignmentOn(w, r.Run) != nil && !d.stopping[r.Run] {
			d.stopping[r.Run] = true
			d.ports.Observer.Stopping(Stop{Run: r.Run, Worker: w.id, Reason: StopRefused})
			d.dropPermit(w, r.Run.Task)
			w.health.recordFailure(w.lastHeard)
			if !report.Endpoint.Leaving {
				d.recordEvidence(w.id, EvidenceRefused, w.lastHeard)
			}
		}
	}
	d.proposeEnds(ends, w.id)
}

// assignmentOn returns the assignment of a run on the current incarnation of a worker's endpoint or on an earlier
// one, or nil. A start for an earlier incarnation may have reached the current one if both have the same endpoint id.
func (d *Dispatcher) assignmentOn(w *worker, run hswork.RunID) *hswork.Assignment {
	j := d.state.Jobs[run.Task.Job]
	if j == nil {
		return nil
	}
	t := j.Task(run.Task)
	if t == nil {
		return nil
	}
	a := t.Assignment(run.Number)
	if a == nil || a.Worker != w.id || a.EndpointIncarnation > w.report.Endpoint.Incarnation {
		return nil
	}
	return a
}

// isRelevant reports whether a listed end changes the state once it is committed: it is that of a placed run, or it
// shows that a run that was given up as lost completed after all, or failed in a way that isn't counted yet.
func (d *Dispatcher) isRelevant(w *worker, e hsmessage.EndedTask) bool {
	if d.assignmentOn(w, e.Run) != nil {
		return true
	}
	j := d.state.Jobs[e.Run.Task.Job]
	if j == nil || j.Phase != hswork.Open {
		return false
	}
	t := j.Task(e.Run.Task)
	if t == nil || j.Steps[e.Run.Task.Step].LongRunning || t.Done || e.Run.Number > t.Run {
		return false
	}
	return e.Kind == hswork.EndDone || e.Kind == hswork.EndFailed && !slices.Contains(t.Failed, e.Run.Number)
}

// advanceAck advances the acknowledged ends of a worker, and reports whether it did. It stops at the first end that
// isn't committed yet.
func (d *Dispatcher) advanceAck(w *worker) bool {
	before := w.acked
	for _, e := range w.report.Ended {
		if d.isRelevant(w, e) || d.proposedEnds[e.Run] {
			break
		}
		w.acked = max(w.acked, e.Number)
	}
	return w.acked != before
}
