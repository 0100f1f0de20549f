// Package hsqueue holds the queued jobs and orders them for scheduling.
//
// Urgent jobs come before normal ones, and normal ones before batch jobs; a job that has waited longer than the
// age bound of its class counts as the class above. Within a class the workspace with the smallest dominant share
// comes first (dominant resource fairness, Ghodsi and others, NSDI 2011), and within a workspace the job that was
// accepted first. A job that is queued again keeps its old position.
//
// A Queue isn't safe for concurrent use.
//
// # Usage
//
//	walk := queue.Walk(now, shares)
//	for j := walk.Next(); j != nil; j = walk.Next() {
//		if place(j) {
//			walk.Charge(j.Spec.Workspace, share)
//		}
//	}
package hsqueue

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// AgeBounds holds the age bound of each class: how long a job waits before it counts as the class above and may
// reserve accelerators.
type AgeBounds [3]time.Duration

// Queue holds the queued jobs in the order in which they were accepted.
type Queue struct {
	jobs      []*hsstate.Job
	ageBounds AgeBounds
	// SingleClass treats all jobs as one class. It exists to measure the effect of the classes.
	SingleClass bool
}

// New returns an empty queue with the given age bounds.
func New(b AgeBounds) *Queue {
	return &Queue{ageBounds: b}
}

// Add inserts a job at its position in the order of acceptance, replacing an entry with the same log index.
func (q *Queue) Add(j *hsstate.Job) {
	pos, found := slices.BinarySearchFunc(q.jobs, j.Index, func(o *hsstate.Job, i hsid.LogIndex) int {
		return int(int64(o.Index) - int64(i))
	})
	if found {
		q.jobs[pos] = j
		return
	}
	q.jobs = slices.Insert(q.jobs, pos, j)
}

// Compact removes the jobs that are no longer queued and returns how many are left.
func (q *Queue) Compact() int {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *hsstate.Job) bool { return j.Phase != hsstate.Queued })
	return len(q.jobs)
}

// Jobs returns the jobs in the order in which they were accepted, including those that left the queue since the last
// Compact. The caller must not modify the slice.
func (q *Queue) Jobs() []*hsstate.Job { return q.jobs }

// PastAgeBound reports whether a job has waited longer than the age bound of its class.
func (q *Queue) PastAgeBound(j *hsstate.Job, clock time.Duration) bool {
	return clock-j.Accepted > q.ageBounds[j.Spec.Class]
}

// EffectiveClass returns the class that a job counts as.
func (q *Queue) EffectiveClass(j *hsstate.Job, clock time.Duration) hsstate.Class {
	if q.SingleClass {
		return hsstate.Normal
	}
	if j.Spec.Class > hsstate.Urgent && q.PastAgeBound(j, clock) {
		return j.Spec.Class - 1
	}
	return j.Spec.Class
}

// Shares holds the dominant share of each workspace.
type Shares map[hsid.WorkspaceID]float64

// Walk iterates over the queued jobs in scheduling order. It is valid until the queue changes.
type Walk struct {
	shares  Shares
	byClass [3][]workspaceJobs
	class   hsstate.Class
}

// workspaceJobs holds the jobs of one workspace that count as one class and weren't visited yet.
type workspaceJobs struct {
	workspace hsid.WorkspaceID
	jobs      []*hsstate.Job
}

// Walk starts an iteration at a cluster time. Charge modifies shares.
func (q *Queue) Walk(clock time.Duration, shares Shares) *Walk {
	w := &Walk{shares: shares}
	indexes := [3]map[hsid.WorkspaceID]int{{}, {}, {}}
	for _, j := range q.jobs {
		if j.Phase != hsstate.Queued {
			continue
		}
		c := q.EffectiveClass(j, clock)
		i, ok := indexes[c][j.Spec.Workspace]
		if !ok {
			i = len(w.byClass[c])
			indexes[c][j.Spec.Workspace] = i
			w.byClass[c] = append(w.byClass[c], workspaceJobs{workspace: j.Spec.Workspace})
		}
		w.byClass[c][i].jobs = append(w.byClass[c][i].jobs, j)
	}
	return w
}

// Next returns the next job, or nil when all were visited.
func (w *Walk) Next() *hsstate.Job {
	for ; w.class <= hsstate.Batch; w.class++ {
		if ws := w.lowestShare(); ws != nil {
			j := ws.jobs[0]
			ws.jobs = ws.jobs[1:]
			return j
		}
	}
	return nil
}

// lowestShare returns the jobs of the workspace with the lowest share, or nil if all jobs of the current class were
// visited. Of workspaces with equal shares it takes the one whose next job was accepted first.
func (w *Walk) lowestShare() *workspaceJobs {
	var best *workspaceJobs
	workspaces := w.byClass[w.class]
	for i := range workspaces {
		ws := &workspaces[i]
		if len(ws.jobs) == 0 {
			continue
		}
		if best == nil || w.less(ws, best) {
			best = ws
		}
	}
	return best
}

// less reports whether the next job of a comes before that of b.
func (w *Walk) less(a, b *workspaceJobs) bool {
	x, y := w.shares[a.workspace], w.shares[b.workspace]
	if x != y {
		return x < y
	}
	return a.jobs[0].Index < b.jobs[0].Index
}

// Charge adds the share of a job that was placed to the share of its workspace.
func (w *Walk) Charge(id hsid.WorkspaceID, share float64) {
	w.shares[id] += share
}
