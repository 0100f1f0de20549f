// Package hsqueue orders the queued jobs.
//
// Urgent jobs go before normal ones and normal ones before batch jobs; a job that waited past the
// bound of its class counts as the class above. Within a class the workspace with the smallest
// dominant share goes first (dominant-resource fairness, Ghodsi and others, NSDI 2011), and within a
// workspace the job that was accepted first. A job that is queued again keeps its old place.
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

// AgeBounds is, for each class, how long a job waits before it counts as the class above and may
// reserve accelerators.
type AgeBounds [3]time.Duration

// Queue holds the queued jobs in the order in which they were accepted.
type Queue struct {
	jobs  []*hsstate.Job
	bound AgeBounds
	// Flat counts all jobs as of one class, for comparison.
	Flat bool
}

// New returns an empty queue.
func New(b AgeBounds) *Queue {
	return &Queue{bound: b}
}

// Add puts a job in its place. A job that is there already stays once.
func (q *Queue) Add(j *hsstate.Job) {
	at, found := slices.BinarySearchFunc(q.jobs, j.Index, func(o *hsstate.Job, i hsid.LogIndex) int {
		return int(int64(o.Index) - int64(i))
	})
	if found {
		q.jobs[at] = j
		return
	}
	q.jobs = slices.Insert(q.jobs, at, j)
}

// Compact drops the jobs that aren't queued any more and returns how many are left.
func (q *Queue) Compact() int {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *hsstate.Job) bool { return j.Phase != hsstate.Queued })
	return len(q.jobs)
}

// Jobs returns the queued jobs, the one accepted first in front. The caller doesn't change the slice.
func (q *Queue) Jobs() []*hsstate.Job { return q.jobs }

// Aged reports whether a job waited past the bound of its class.
func (q *Queue) Aged(j *hsstate.Job, clock time.Duration) bool {
	return clock-j.Accepted > q.bound[j.Spec.Class]
}

// Effective returns the class that a job counts as.
func (q *Queue) Effective(j *hsstate.Job, clock time.Duration) hsstate.Class {
	if q.Flat {
		return hsstate.Normal
	}
	if j.Spec.Class > hsstate.Urgent && q.Aged(j, clock) {
		return j.Spec.Class - 1
	}
	return j.Spec.Class
}

// Shares holds the dominant share of each workspace.
type Shares map[hsid.WorkspaceID]float64

// Walk visits the queued jobs in order. It is valid until the queue changes.
type Walk struct {
	shares Shares
	lanes  [3][]lane
	class  hsstate.Class
}

// lane is the jobs of one workspace that count as one class.
type lane struct {
	workspace hsid.WorkspaceID
	jobs      []*hsstate.Job
}

// Walk starts a visit at a cluster time. Shares is changed by Charge.
func (q *Queue) Walk(clock time.Duration, shares Shares) *Walk {
	w := &Walk{shares: shares}
	at := [3]map[hsid.WorkspaceID]int{{}, {}, {}}
	for _, j := range q.jobs {
		if j.Phase != hsstate.Queued {
			continue
		}
		c := q.Effective(j, clock)
		i, ok := at[c][j.Spec.Workspace]
		if !ok {
			i = len(w.lanes[c])
			at[c][j.Spec.Workspace] = i
			w.lanes[c] = append(w.lanes[c], lane{workspace: j.Spec.Workspace})
		}
		w.lanes[c][i].jobs = append(w.lanes[c][i].jobs, j)
	}
	return w
}

// Next returns the next job, or nil when all were visited.
func (w *Walk) Next() *hsstate.Job {
	for ; w.class <= hsstate.Batch; w.class++ {
		if l := w.poorest(); l != nil {
			j := l.jobs[0]
			l.jobs = l.jobs[1:]
			return j
		}
	}
	return nil
}

// poorest returns the lane of the workspace with the smallest share; among equals the one whose next
// job was accepted first.
func (w *Walk) poorest() *lane {
	var best *lane
	lanes := w.lanes[w.class]
	for i := range lanes {
		l := &lanes[i]
		if len(l.jobs) == 0 {
			continue
		}
		if best == nil || w.before(l, best) {
			best = l
		}
	}
	return best
}

func (w *Walk) before(a, b *lane) bool {
	x, y := w.shares[a.workspace], w.shares[b.workspace]
	if x != y {
		return x < y
	}
	return a.jobs[0].Index < b.jobs[0].Index
}

// Charge adds to the share of a workspace once one of its jobs was placed.
func (w *Walk) Charge(id hsid.WorkspaceID, share float64) {
	w.shares[id] += share
}
