package hsfleet

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Worker is one worker according to the last report of its agent.
type Worker struct {
	// Peer is the address of the agent.
	Peer hsstate.Peer
	// Report is the last report, and Reported the time at which it was received.
	Report   hsmessage.AgentReport
	Reported time.Time
	// Granted is the time at which the run lease was last granted to the agent.
	Granted time.Time
	// Serial is the serial of the latest orders sent to the agent.
	Serial hsid.Sequence
	// FirstSerials holds, for each grant, the serial of the first orders that listed it.
	FirstSerials map[hsid.Grant]hsid.Sequence
	// Quarantined is set while the worker gets no ordinary work because the jobs started there kept failing.
	Quarantined bool
	// Gone is set when the agent hasn't reported for longer than its run lease.
	Gone bool
	// lives tells the reports of the present agent process from delayed ones of those before it.
	lives hsid.Lives

	groups []Mask
	all    Mask
}

// Groups returns the sets of adjacent accelerators of the worker.
func (w *Worker) Groups() []Mask { return w.groups }

// All returns the union of Groups, all accelerators of the worker.
func (w *Worker) All() Mask { return w.all }

// Usable reports whether the worker may be given new work under the rule file with the given number.
func (w *Worker) Usable(rules hsid.RuleNumber) bool {
	r := &w.Report
	return w.Announced() && r.TasksKnown && !r.Leaving && r.Rules == rules && !w.Quarantined
}

// Announced reports whether the worker has an announced endpoint that isn't leaving.
func (w *Worker) Announced() bool {
	return !w.Gone && w.Report.Worker.Endpoint != 0 && !w.Report.Worker.Leaving
}

// Task returns the reported state of a grant, or nil when the last report doesn't list it.
func (w *Worker) Task(g hsid.Grant) *hsmessage.Task {
	for i := range w.Report.Tasks {
		if w.Report.Tasks[i].Grant == g {
			return &w.Report.Tasks[i]
		}
	}
	return nil
}

// Fleet is the set of workers that have reported to this leader.
type Fleet struct {
	workers map[hsid.InstanceID]*Worker
	order   []hsid.InstanceID
	// serials holds Worker.Serial of each worker that was removed: its agent ignores orders with a lower serial for as long
	// as the term lasts.
	serials map[hsid.InstanceID]hsid.Sequence
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{workers: map[hsid.InstanceID]*Worker{}, serials: map[hsid.InstanceID]hsid.Sequence{}}
}

// Get returns a worker, or nil when it hasn't reported yet.
func (f *Fleet) Get(id hsid.InstanceID) *Worker { return f.workers[id] }

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.order) }

// Each calls visit for every worker, in the order of the identifiers.
func (f *Fleet) Each(visit func(w *Worker)) {
	for _, id := range f.order {
		visit(f.workers[id])
	}
}

// Update records a report, and adds its worker if it is new. It returns the worker, and false when the report was
// ignored because it isn't newer than the last one, or comes from an earlier incarnation of the agent.
func (f *Fleet) Update(from hsstate.Peer, r hsmessage.AgentReport, now time.Time) (*Worker, bool) {
	w := f.workers[r.Instance]
	if w == nil {
		w = &Worker{Serial: f.serials[r.Instance], FirstSerials: map[hsid.Grant]hsid.Sequence{}}
		f.workers[r.Instance] = w
		at, _ := slices.BinarySearch(f.order, r.Instance)
		f.order = slices.Insert(f.order, at, r.Instance)
	}
	if !w.lives.Accept(r.Incarnation, r.Sequence, now) {
		return w, false
	}
	if w.Report.Incarnation != r.Incarnation {
		clear(w.FirstSerials)
	}
	w.Peer = from
	w.Report = r
	w.Reported = now
	w.Gone = false
	w.groups = nil
	w.all = 0
	for _, g := range r.Worker.Groups {
		m := MaskOf(g)
		w.groups = append(w.groups, m)
		w.all |= m
	}
	return w, true
}

// Remove removes a worker; it returns with its next report.
func (f *Fleet) Remove(id hsid.InstanceID) {
	if w := f.workers[id]; w != nil {
		f.serials[id] = w.Serial
	}
	delete(f.workers, id)
	if at, ok := slices.BinarySearch(f.order, id); ok {
		f.order = slices.Delete(f.order, at, at+1)
	}
}

// HasSeenOrder reports whether the agent had received the first orders that listed a grant when it made its last
// report.
func (w *Worker) HasSeenOrder(g hsid.Grant) bool {
	first, ok := w.FirstSerials[g]
	return ok && w.Report.Serial >= first
}
