package hsfleet

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Worker is one worker as its agent reported it last.
type Worker struct {
	Peer     hsstate.Peer
	Report   hsmessage.Report
	Reported time.Time
	// Granted is when the run lease was last granted to this worker's agent.
	Granted time.Time
	// Serial is that of the newest orders to the agent.
	Serial hsid.Sequence
	// Ordered is the serial of the first orders that listed a grant.
	Ordered map[hsid.Grant]hsid.Sequence
	// Quarantined is set while the worker gets no work because it failed what it started.
	Quarantined bool
	// Gone is set once the agent is silent past its run lease.
	Gone bool
	// retired lists earlier lives of the agent, the newest last; their late reports are ignored.
	retired []hsid.Incarnation

	groups []Mask
	all    Mask
}

// Groups returns the sets of adjacent accelerators of the worker.
func (w *Worker) Groups() []Mask { return w.groups }

// All returns all accelerators of the worker.
func (w *Worker) All() Mask { return w.all }

// Usable reports whether the worker may be given new work under a rule number.
func (w *Worker) Usable(rules hsid.RuleNumber) bool {
	r := &w.Report
	return w.Announced() && r.Listed && !r.Leaving && r.Rules == rules && !w.Quarantined
}

// Announced reports whether the worker's endpoint is there and stays.
func (w *Worker) Announced() bool {
	return !w.Gone && w.Report.Worker.Endpoint != 0 && !w.Report.Worker.Leaving
}

// Task returns what the agent reported about a grant, or nil.
func (w *Worker) Task(g hsid.Grant) *hsmessage.Task {
	for i := range w.Report.Tasks {
		if w.Report.Tasks[i].Grant == g {
			return &w.Report.Tasks[i]
		}
	}
	return nil
}

// Fleet holds the workers that reported to this leader.
type Fleet struct {
	workers map[hsid.InstanceID]*Worker
	order   []hsid.InstanceID
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{workers: map[hsid.InstanceID]*Worker{}}
}

// Get returns a worker, or nil when it hasn't reported.
func (f *Fleet) Get(id hsid.InstanceID) *Worker { return f.workers[id] }

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.order) }

// Each calls visit for every worker, in the order of their names.
func (f *Fleet) Each(visit func(w *Worker)) {
	for _, id := range f.order {
		visit(f.workers[id])
	}
}

// maxRetired bounds the earlier lives of an agent that are remembered.
const maxRetired = 16

// Update takes over a report. It returns the worker, and false when the report is older than the one
// that is known, or of an earlier life of the agent.
func (f *Fleet) Update(from hsstate.Peer, r hsmessage.Report, now time.Time) (*Worker, bool) {
	w := f.workers[r.Instance]
	if w == nil {
		w = &Worker{Ordered: map[hsid.Grant]hsid.Sequence{}}
		f.workers[r.Instance] = w
		at, _ := slices.BinarySearch(f.order, r.Instance)
		f.order = slices.Insert(f.order, at, r.Instance)
	}
	if w.Report.Incarnation == r.Incarnation && r.Sequence <= w.Report.Sequence {
		return w, false
	}
	if slices.Contains(w.retired, r.Incarnation) {
		return w, false
	}
	if w.Report.Incarnation != r.Incarnation {
		w.retired = append(w.retired, w.Report.Incarnation)
		w.retired = w.retired[max(0, len(w.retired)-maxRetired):]
		w.Serial = 0
		clear(w.Ordered)
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

// Remove forgets a worker.
func (f *Fleet) Remove(id hsid.InstanceID) {
	delete(f.workers, id)
	if at, ok := slices.BinarySearch(f.order, id); ok {
		f.order = slices.Delete(f.order, at, at+1)
	}
}

// Reflects reports whether the newest report was made after the orders that first listed a grant.
func (w *Worker) Reflects(g hsid.Grant) bool {
	first, ok := w.Ordered[g]
	return ok && w.Report.Serial >= first
}
