package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// worker is what the leader knows of one runner and its endpoint.
type worker struct {
	id    hsid.InstanceID
	peer  hsstate.Peer
	tally hsmessage.Tally
	heard time.Time
	// replaced is the incarnation of the runner before this one; its late messages are dropped.
	replaced hsid.Incarnation
	serial   hsid.Sequence
	// noted is the newest end of this life that is committed with all before it.
	noted   hswork.EndNumber
	planDue bool
	health  health
}

// placedRun is a run that isn't proved to be over.
type placedRun struct {
	run   hswork.RunID
	job   *hswork.Job
	step  *hswork.Step
	task  *hswork.Task
	place hswork.Place
}

// need returns what a task takes of its worker. The cores of a filling task are those that others leave.
func need(s *hswork.Step) hswork.Resources {
	n := s.Need
	if s.Fills {
		n.Cores = 0
	}
	return n
}

// Receive takes a runner's tally.
func (d *Dispatcher) Receive(from hsstate.Peer, t hsmessage.Tally) {
	w := d.workers[t.Instance]
	if w == nil {
		w = &worker{id: t.Instance}
		d.workers[t.Instance] = w
	}
	if t.Incarnation == w.replaced || (t.Incarnation == w.tally.Incarnation && t.Sequence <= w.tally.Sequence) {
		return
	}
	if t.Incarnation != w.tally.Incarnation {
		w.replaced = w.tally.Incarnation
	}
	before := w.tally
	w.tally = t
	w.peer = from
	w.heard = d.ports.Clock.Now()
	w.planDue = true
	if before.Endpoint.Life != t.Endpoint.Life {
		w.noted = 0
		w.health = health{}
	}
	if usableTally(&before) != usableTally(&t) || before.Endpoint.Life != t.Endpoint.Life {
		d.ports.Observer.WorkerChanged(t.Instance, t.Endpoint, usableTally(&t))
		d.passDue = true
	}
	for _, r := range t.Running {
		d.begun[r.Run.Task.Work] = true
		if _, ok := d.began[r.Run]; !ok {
			d.began[r.Run] = w.heard
		}
	}
	d.watch(&t, w.heard)
	d.takeEnds(w)
	d.note(w)
}

func usableTally(t *hsmessage.Tally) bool {
	return t.Listed && t.Healthy && !t.Over && !t.Endpoint.Leaving && t.Endpoint.Life != 0
}

// takeEnds proposes the ends that a tally proves.
func (d *Dispatcher) takeEnds(w *worker) {
	t := &w.tally
	var ends []hswork.End
	add := func(e hswork.End) {
		if !d.ending[e.Run] && !slices.ContainsFunc(ends, func(x hswork.End) bool { return x.Run == e.Run }) {
			ends = append(ends, e)
		}
	}
	for _, e := range t.Ended {
		if d.wanted(w, e) {
			w.health.ended(e.How, w.heard)
			add(hswork.End{Run: e.Run, How: e.How, Checkpoint: e.Checkpoint, Took: d.took(e, w.heard)})
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
			w.health.failed(w.heard)
		}
	}
	for _, p := range d.placedOn(w.id) {
		if t.Over && p.place.Life <= t.Endpoint.Life {
			add(d.lostEnd(p.run))
		}
	}
	d.propose(ends, w.id)
}

// placeOn returns the place of a run on this life of a worker's endpoint or on an earlier one, or nil. A start
// that was meant for an earlier life may have reached this one, when both have the same name.
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

// wanted reports whether a listed end has something to tell: that of a placed run, or, of one that was given up,
// that it was done after all or a failure that isn't counted yet.
func (d *Dispatcher) wanted(w *worker, e hsmessage.EndedTask) bool {
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

// note advances the newest end that is committed with all before it, and reports whether it moved.
func (d *Dispatcher) note(w *worker) bool {
	before := w.noted
	for _, e := range w.tally.Ended {
		if d.wanted(w, e) || d.ending[e.Run] {
			break
		}
		w.noted = max(w.noted, e.Number)
	}
	return w.noted != before
}

// rebuild lists the placed runs by worker.
func (d *Dispatcher) rebuild() {
	if !d.placedStale {
		return
	}
	d.placedStale = false
	d.placed = map[hsid.InstanceID][]placedRun{}
	for _, j := range d.state.Jobs {
		j.EachPlace(func(id hswork.TaskID, t *hswork.Task, p hswork.Place) {
			run := hswork.RunID{Task: id, Number: p.Number}
			entry := placedRun{run: run, job: j, step: &j.Steps[id.Step], task: t, place: p}
			d.placed[p.Worker] = append(d.placed[p.Worker], entry)
		})
	}
	for _, runs := range d.placed {
		slices.SortFunc(runs, func(a, b placedRun) int { return hswork.CompareRuns(a.run, b.run) })
	}
}

// placedOn returns the placed runs of a worker, in order. The caller doesn't change them.
func (d *Dispatcher) placedOn(id hsid.InstanceID) []placedRun {
	d.rebuild()
	return d.placed[id]
}

// placedWorkers returns the workers with placed runs, in order.
func (d *Dispatcher) placedWorkers() []hsid.InstanceID {
	d.rebuild()
	ids := make([]hsid.InstanceID, 0, len(d.placed))
	for id := range d.placed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// checkpointOf returns the newest checkpoint that was seen of a run at work.
func (d *Dispatcher) checkpointOf(run hswork.RunID) hswork.Checkpoint {
	for _, w := range d.workers {
		for _, r := range w.tally.Running {
			if r.Run == run {
				return r.Checkpoint
			}
		}
	}
	return ""
}
