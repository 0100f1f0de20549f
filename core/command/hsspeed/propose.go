package hsspeed

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// proposeInterval is the least time between two proposals.
	proposeInterval = time.Second
	// proposeTimeout is the time after which a proposal that isn't applied is given up and another one is made.
	proposeTimeout = 5 * time.Second
	// maxProposed bounds the workers of one proposal, to about 20 KB.
	maxProposed = 256
	// proposeChange is the change of a slowdown that is proposed.
	proposeChange = 0.1
	// proposeVariance is the share of its last committed value to which a variance has to fall.
	proposeVariance = 2.0 / 3
	// outdatedVariance is the variance that the next leader would assume from which on a speed is proposed again although the
	// estimate is the same. With less, the log would take an entry for each busy worker every few seconds.
	outdatedVariance = 0.05
	// refreshAfter is the time after which the speed of a worker that is seen is proposed again, so that it isn't dropped.
	refreshAfter = hswork.SpeedRetention / 2
)

// Proposal returns the speeds that have changed since they were committed, or nil if it isn't time for a proposal or there
// are none. The caller proposes them, and calls Rejected if it can't.
func (t *Tracker) Proposal(now time.Time, clock time.Duration) *hswork.SpeedUpdate {
	since := t.instant(now) - t.proposedAt
	if since < proposeInterval || t.pending && since < proposeTimeout {
		return nil
	}
	var update hswork.SpeedUpdate
	start := t.next
	for i := range t.order {
		at := (start + i) % len(t.order)
		w := t.order[at]
		if !t.worthProposing(w) {
			continue
		}
		update.Speeds = append(update.Speeds, hswork.WorkerSpeed{
			Worker:      w.id,
			Incarnation: w.incarnation,
			Slowdown:    hswork.LogFactor(clampSlowdown(w.current.mean - t.mean)),
			Variance:    w.current.variance,
			Runs:        w.runs,
			Updated:     clock,
		})
		if len(update.Speeds) == maxProposed {
			t.next = at + 1
			break
		}
	}
	if len(update.Speeds) == 0 {
		return nil
	}
	t.pending, t.proposedAt = true, t.instant(now)
	return &update
}

// worthProposing reports whether the next leader would do better with the current estimate than with the committed one.
func (t *Tracker) worthProposing(w *worker) bool {
	if !w.known() {
		return false
	}
	if !w.hasCommitted || w.committed.Incarnation != w.incarnation {
		return true
	}
	changed := math.Abs(w.current.mean-t.mean-float64(w.committed.Slowdown)) > proposeChange
	certain := w.current.variance <= w.committed.Variance*proposeVariance
	// The next leader knows less of the worker, the longer ago the update was.
	left := belief{variance: w.committed.Variance, at: w.committedAt}.asOf(t.now).variance
	outdated := left > outdatedVariance && w.current.variance <= left*proposeVariance
	return changed || certain || outdated || t.now-w.committedAt > refreshAfter && t.now-w.seen < refreshAfter
}

// Rejected records that the last proposal wasn't appended to the log.
func (t *Tracker) Rejected() { t.pending = false }

// Committed records speeds that are in the replicated state now.
func (t *Tracker) Committed(u *hswork.SpeedUpdate, now time.Time) {
	t.pending = false
	for _, s := range u.Speeds {
		if w := t.workers[s.Worker]; w != nil {
			w.committed, w.committedAt, w.hasCommitted = s, t.instant(now), true
		}
	}
}
