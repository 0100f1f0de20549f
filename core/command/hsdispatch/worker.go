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
	tally     hsmessage.Tally
	lastHeard time.Time
	// previousIncarnation is the incarnation of the runner before this one; its delayed messages are dropped.
	previousIncarnation hsid.Incarnation
	planSerial          hsid.Sequence
	// acked is the newest end of this life that is committed, as are all before it (a cumulative acknowledgement).
	acked   hswork.EndNumber
	planDue bool
	health  health
}

// placedRun is a run that isn't proved to have ended.
type placedRun struct {
	run   hswork.RunID
	job   *hswork.Job
	step  *hswork.Step
	task  *hswork.Task
	place hswork.Place
}

// need returns the resources that a task of a step reserves on its worker. A step that fills reserves no cores: its
// tasks use those that others leave idle.
func need(s *hswork.Step) hswork.Resources {
	n := s.Need
	if s.Fills {
		n.Cores = 0
	}
	return n
}

// Receive updates the view of a worker from a tally of its runner, proposes the ends that the tally proves, and makes
// a plan due in reply. Outdated tallies, and those of an earlier incarnation, are ignored.
func (d *Dispatcher) Receive(from hsstate.Peer, t hsmessage.Tally) {
	w := d.workers[t.Instance]
	if w == nil {
		w = &worker{id: t.Instance}
		d.workers[t.Instance] = w
	}
	if t.Incarnation == w.previousIncarnation || (t.Incarnation == w.tally.Incarnation && t.Sequence <= w.tally.Sequence) {
		return
	}
	if t.Incarnation != w.tally.Incarnation {
		w.previousIncarnation = w.tally.Incarnation
	}
	before := w.tally
	w.tally = t
	w.peer = from
	w.lastHeard = d.ports.Clock.Now()
	w.planDue = true
	if before.Endpoint.Life != t.Endpoint.Life {
		w.acked = 0
		w.health = health{}
	}
	if acceptsRuns(&before) != acceptsRuns(&t) || before.Endpoint.Life != t.Endpoint.Life {
		d.ports.Observer.WorkerChanged(t.Instance, t.Endpoint, acceptsRuns(&t))
		d.passDue = true
	}
	for _, r := range t.Running {
		d.startedJobs[r.Run.Task.Work] = true
		if _, ok := d.runningSince[r.Run]; !ok {
			d.runningSince[r.Run] = w.lastHeard
		}
	}
	d.trackProgress(&t, w.lastHeard)
	d.proposeReportedEnds(w)
	d.advanceAck(w)
}

// acceptsRuns reports whether new runs may be placed on the worker that sent a tally.
func acceptsRuns(t *hsmessage.Tally) bool {
	return t.Listed && t.Healthy && !t.Over && !t.Endpoint.Leaving && t.Endpoint.Life != 0
}

// proposeReportedEnds proposes the ends that the tally of a worker proves, and stops the runs that its endpoint
// refused.
func (d *Dispatcher) proposeReportedEnds(w *worker) {
	t := &w.tally
	var ends []hswork.End
	add := func(e hswork.End) {
		if !d.proposedEnds[e.Run] && !slices.ContainsFunc(ends, func(x hswork.End) bool { return x.Run == e.Run }) {
			ends = append(ends, e)
		}
	}
	for _, e := range t.Ended {
		if d.isRelevant(w, e) {
			w.health.recordEnd(e.How, w.lastHeard)
			add(hswork.End{Run: e.Run, How: e.How, Checkpoint: e.Checkpoint, Took: d.runTime(e, w.lastHeard)})
		}
	}
	for _, run := range t.Never {
		switch p := d.placeOn(w, run); {
		case p == nil:
		case p.Life < t.Endpoint.Life:
			add(d.lostEnd(run))
		default:
			add(hswork.End{Run: run, How: hswork.EndNever})
		}
	}
	for _, r := range t.Refused {
		if d.placeOn(w, r.Run) != nil && !d.stopping[r.Run] {
			d.stopping[r.Run] = true
			d.dropPermit(w, r.Run.Task)
			w.health.recordFailure(w.lastHeard)
		}
	}
	for _, p := range d.placedOn(w.id) {
		if t.Over && p.place.Life <= t.Endpoint.Life {
			add(d.lostEnd(p.run))
		}
	}
	d.proposeEnds(ends, w.id)
}

// placeOn returns the place of a run on the current life of a worker's endpoint or on an earlier one, or nil. A start
// for an earlier life may have reached the current one if both have the same endpoint id.
func (d *Dispatcher) placeOn(w *worker, run hswork.RunID) *hswork.Place {
	j := d.state.Jobs[run.Task.Work]
	if j == nil {
		return nil
	}
	t := j.Task(run.Task)
	if t == nil {
		return nil
	}
	p := t.Place(run.Number)
	if p == nil || p.Worker != w.id || p.Life > w.tally.Endpoint.Life {
		return nil
	}
	return p
}

// isRelevant reports whether a listed end changes the state once it is committed: it is that of a placed run, or it
// shows that a run that was given up as lost completed after all, or failed in a way that isn't counted yet.
func (d *Dispatcher) isRelevant(w *worker, e hsmessage.EndedTask) bool {
	if d.placeOn(w, e.Run) != nil {
		return true
	}
	j := d.state.Jobs[e.Run.Task.Work]
	if j == nil || j.Phase != hswork.Open {
		return false
	}
	t := j.Task(e.Run.Task)
	if t == nil || j.Steps[e.Run.Task.Step].Lasts || t.Done || e.Run.Number > t.Run {
		return false
	}
	return e.How == hswork.EndDone || e.How == hswork.EndFailed && !slices.Contains(t.Failed, e.Run.Number)
}

// advanceAck advances the acknowledged ends of a worker, and reports whether it did. It stops at the first end that
// isn't committed yet.
func (d *Dispatcher) advanceAck(w *worker) bool {
	before := w.acked
	for _, e := range w.tally.Ended {
		if d.isRelevant(w, e) || d.proposedEnds[e.Run] {
			break
		}
		w.acked = max(w.acked, e.Number)
	}
	return w.acked != before
}

// rebuildPlaced rebuilds the index of the placed runs if it is outdated.
func (d *Dispatcher) rebuildPlaced() {
	if !d.placedOutdated {
		return
	}
	d.placedOutdated = false
	d.placedByWorker = map[hsid.InstanceID][]placedRun{}
	for _, j := range d.state.Jobs {
		j.EachPlace(func(id hswork.TaskID, t *hswork.Task, p hswork.Place) {
			run := hswork.RunID{Task: id, Number: p.Number}
			entry := placedRun{run: run, job: j, step: &j.Steps[id.Step], task: t, place: p}
			d.placedByWorker[p.Worker] = append(d.placedByWorker[p.Worker], entry)
		})
	}
	for _, runs := range d.placedByWorker {
		slices.SortFunc(runs, func(a, b placedRun) int { return hswork.CompareRuns(a.run, b.run) })
	}
}

// placedOn returns the placed runs of a worker, ordered by hswork.CompareRuns. The caller must not modify them.
func (d *Dispatcher) placedOn(id hsid.InstanceID) []placedRun {
	d.rebuildPlaced()
	return d.placedByWorker[id]
}

// workersWithRuns returns the workers with placed runs, in the order of their ids.
func (d *Dispatcher) workersWithRuns() []hsid.InstanceID {
	d.rebuildPlaced()
	ids := make([]hsid.InstanceID, 0, len(d.placedByWorker))
	for id := range d.placedByWorker {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// lastCheckpoint returns the last reported checkpoint of a run, or none if no tally lists it as running.
func (d *Dispatcher) lastCheckpoint(run hswork.RunID) hswork.Checkpoint {
	for _, w := range d.workers {
		for _, r := range w.tally.Running {
			if r.Run == run {
				return r.Checkpoint
			}
		}
	}
	return ""
}
