package hsspeed

import (
	"math"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// recentHold is how long the recent rate counts after the last reading of it. A worker without runs is tried again then.
	recentHold = 10 * time.Second
	// contradiction and agreement are the deviations of the recent rate, in standard deviations, from which on it counts,
	// and below which it no longer does.
	contradiction = 2.5
	agreement     = 1.0
	// minContradiction is the least deviation of a recent rate that counts, a factor of 1.35.
	minContradiction = 0.3
)

// worker is what is known about one worker.
type worker struct {
	id          hsid.InstanceID
	incarnation hswork.EndpointIncarnation
	// seen is when the worker was last heard of.
	seen instant
	// epoch counts the incarnations. The evidence from earlier ones is part of settled.
	epoch int
	// runs counts the runs observed.
	runs int
	// settled is the belief from finished steps.
	settled belief
	// evidence is that of the steps in progress, and recent that of the recent rates; parts counts the members of groups that
	// add to each.
	evidence    evidence
	recent      evidence
	parts       int
	recentParts int
	// lastReading is the update before which a run of the worker last made progress; hasReading is set if one did since the
	// last update.
	lastReading instant
	hasReading  bool
	// current is settled and evidence, as of the last update.
	current belief
	// deviant is the recent rate while it contradicts settled; deviates is set then.
	deviant  belief
	deviates bool
	// shown is set while the observations show that the worker differs from the others.
	shown bool
	class Class

	// committed is the speed in the replicated state, as of committedAt; hasCommitted is unset without one.
	committed    hswork.WorkerSpeed
	committedAt  instant
	hasCommitted bool
}

// known reports whether a run of the worker was observed.
func (w *worker) known() bool { return w.runs > 0 }

// unseen reports whether the worker wasn't heard of for forgetAfter and has no part in any group.
func (w *worker) unseen(now instant) bool { return now-w.seen > forgetAfter && w.parts == 0 }

// add replaces what a member adds to the worker's evidence.
func (w *worker) add(m *member, added, recent evidence) {
	w.evidence.replace(m.added, added)
	w.recent.replace(m.addedRecent, recent)
	w.parts += count(added) - count(m.added)
	w.recentParts += count(recent) - count(m.addedRecent)
	m.added, m.addedRecent = added, recent
	// Sums of differences keep rounding errors, which would count as evidence of a worker without runs.
	if w.parts == 0 {
		w.evidence = evidence{}
	}
	if w.recentParts == 0 {
		w.recent = evidence{}
	}
}

func count(e evidence) int {
	if e.precision > 0 {
		return 1
	}
	return 0
}

// changeIncarnation records another incarnation of the endpoint. It may run on another machine, so the mean is kept with no
// more confidence than one run gives, and the runs in progress of the earlier incarnation no longer count.
func (w *worker) changeIncarnation(incarnation hswork.EndpointIncarnation, now instant) {
	w.incarnation = incarnation
	if !w.known() {
		return
	}
	w.settled = w.settled.asOf(now).with(w.evidence.precision, w.evidence.weighted).atLeast(singleRunVariance)
	w.runs = 1
	w.epoch++
	w.evidence, w.recent, w.parts, w.recentParts = evidence{}, evidence{}, 0, 0
	w.deviates = false
}

// update computes the current belief, and whether the recent rate counts instead.
func (w *worker) update(now instant) {
	if w.hasReading {
		w.lastReading, w.hasReading = now, false
	}
	settled := w.settled.asOf(now)
	w.current = settled
	if w.parts > 0 {
		// The variance grows from the last reading on.
		w.current = w.settled.asOf(w.lastReading).with(w.evidence.precision, w.evidence.weighted).asOf(now)
	}
	w.updateDeviation(settled, now)
}

func (w *worker) updateDeviation(settled belief, now instant) {
	if now-w.lastReading > recentHold {
		w.deviates = false
		return
	}
	if w.recentParts == 0 {
		return
	}
	recent := belief{mean: w.recent.weighted / w.recent.precision, variance: 1 / w.recent.precision, at: now}
	distance := math.Abs(recent.mean - settled.mean)
	limit := contradiction
	if w.deviates {
		limit = agreement
	}
	deviates := distance > minContradiction && distance > limit*math.Sqrt(recent.variance+settled.variance)
	if deviates && !w.deviates {
		// The worker has changed, for a while or for good: finished runs move the belief faster from now on.
		w.settled = settled.atLeast(singleRunVariance)
	}
	w.deviates = deviates
	w.deviant = belief{mean: clampSlowdown(recent.mean), variance: min(recent.variance, hswork.PriorVariance), at: now}
}

// placing returns the belief that counts for placement.
func (w *worker) placing() belief {
	if w.deviates {
		return w.deviant
	}
	return w.current
}
