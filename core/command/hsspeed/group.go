package hsspeed

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// workVariance is that of the work of a step around the expected run time: declared times are off by a factor of up
	// to e^0.9.
	workVariance = 0.25
	// taskVariance is that between the tasks of a step, which differ by 15 to 30 percent.
	taskVariance = 0.05
	// outlier is the deviation, in standard deviations, from which on a reading counts less.
	outlier = 2.0
	// settleAfter is how long after the last end of a run the step is taken as finished. Its other tasks may start until
	// then.
	settleAfter = 3 * time.Second
	// minExpected is the shortest expected run time that is assumed, as declared times may be far too short.
	minExpected = 10 * time.Millisecond
)

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job        hswork.ID
	occurrence int
	step       int
}

// group holds what was observed of the tasks of one step.
type group struct {
	key stepKey
	// prior is the logarithm of the expected run time in seconds.
	prior   float64
	members []member
	// open counts the runs in progress; once it is 0, the group is settled at settleAt.
	open     int
	settleAt instant
	// dirty is set while the group is in Tracker.dirty.
	dirty bool
}

// limit bounds the logarithm of a run's time to a distance of maxFactor from the expected one.
func (g *group) limit(total float64) float64 {
	return min(max(total, g.prior-maxFactor), g.prior+maxFactor)
}

// member sums up the tasks of a step on one worker.
type member struct {
	worker *worker
	// epoch is that of the worker at which the runs were observed.
	epoch int
	// total is the sum of the extrapolated times of count runs.
	total float64
	count int
	// recent is the sum of the extrapolated times by the recent rates of recentCount runs in progress, and recentNoise that
	// of their variances.
	recent      float64
	recentNoise float64
	recentCount int
	// added and addedRecent are what the group adds to the worker's evidence at present.
	added       evidence
	addedRecent evidence
}

// evidence is a sum of readings of a slowdown: the precision of each, which is the inverse of its variance, and each weighted
// by that.
type evidence struct {
	precision float64
	weighted  float64
}

// reading returns the evidence of one reading.
func reading(value, variance float64) evidence {
	return evidence{precision: 1 / variance, weighted: value / variance}
}

// replace replaces a part of a sum of evidence.
func (e *evidence) replace(before, after evidence) {
	e.precision += after.precision - before.precision
	e.weighted += after.weighted - before.weighted
}

// memberOf returns the position of the member for a worker, which it adds if there is none.
func (g *group) memberOf(w *worker) int {
	for i := range g.members {
		if g.members[i].worker == w && g.members[i].epoch == w.epoch {
			return i
		}
	}
	g.members = append(g.members, member{worker: w, epoch: w.epoch})
	return len(g.members) - 1
}

// term is one member's reading of the work of a step.
type term struct {
	// work is the logarithm of the observed time less the slowdown, and variance that of work.
	work     float64
	variance float64
	weight   float64
}

// work is an estimate of the logarithm of a step's work, as a sum of weights and of weighted values.
type work struct {
	weight float64
	sum    float64
}

// add adds a reading.
func (w *work) add(t term) {
	w.weight += t.weight
	w.sum += t.work * t.weight
}

// distance returns how far a reading is from the mean of the others, in standard deviations; 0 if it has no weight or is the
// only one.
func (w work) distance(t term) float64 {
	if t.weight == 0 || w.weight <= t.weight {
		return 0
	}
	mean, variance := w.without(t)
	return math.Abs(t.work-mean) / math.Sqrt(t.variance+variance)
}

// without returns the mean and variance of the estimate without one member's reading.
func (w work) without(t term) (mean, variance float64) {
	rest := w.weight - t.weight
	return (w.sum - t.work*t.weight) / rest, 1 / rest
}

// estimateWork estimates the work of a step from the expected run time and the times of all members. Times that deviate
// much from the others count less, as one stalled run would make all others look fast, and so does the expected run time: a
// few jobs take seven times as long as the rest. The terms are valid until the next call.
func (t *Tracker) estimateWork(g *group, now instant) (work, []term) {
	terms := t.terms[:0]
	expected := term{work: g.prior, variance: workVariance, weight: 1 / workVariance}
	var total work
	total.add(expected)
	for i := range g.members {
		m := &g.members[i]
		if m.count == 0 {
			terms = append(terms, term{})
			continue
		}
		b := m.worker.settled.asOf(now)
		x := term{work: m.total/float64(m.count) - b.mean, variance: taskVariance/float64(m.count) + b.variance}
		x.weight = 1 / x.variance
		total.add(x)
		terms = append(terms, x)
	}
	t.terms = terms
	var robust work
	for i := range terms {
		x := &terms[i]
		if z := total.distance(*x); z > outlier {
			x.weight *= outlier / z
		}
		robust.add(*x)
	}
	robust.add(expected)
	if z := robust.distance(expected) / outlier; z > 1 {
		robust.add(term{work: expected.work, weight: expected.weight * (math.Pow(z, -4) - 1)})
	}
	return robust, terms
}

// refresh brings the evidence that a group adds to its workers in line with its members.
func (t *Tracker) refresh(g *group, now instant) {
	total, terms := t.estimateWork(g, now)
	for i := range g.members {
		m := &g.members[i]
		if m.epoch != m.worker.epoch {
			continue
		}
		var added, addedRecent evidence
		if m.count > 0 {
			base, variance := total.without(terms[i])
			b := m.worker.settled.asOf(now)
			value, count := m.total/float64(m.count)-base, float64(m.count)
			added = reading(value, discount(value-b.mean, taskVariance/count+variance, variance, b.variance))
			if m.recentCount > 0 && compared(variance) {
				count = float64(m.recentCount)
				addedRecent = reading(m.recent/count-base, taskVariance/count+m.recentNoise/(count*count)+variance)
			}
		}
		m.worker.add(m, added, addedRecent)
	}
}

// discount returns the variance with which a reading counts that deviates from the belief about its worker. It is larger
// than its own for an outlier, so that the belief moves by no more than for one at the limit. If the reading is compared with
// little more than the expected run time, which is often far off, it is larger still.
func discount(deviation, variance, workLeft, beliefVariance float64) float64 {
	spread := variance + beliefVariance
	z := math.Abs(deviation) / math.Sqrt(spread)
	if z <= outlier {
		return variance
	}
	factor := z / outlier
	if !compared(workLeft) {
		factor *= factor
	}
	return spread*factor - beliefVariance
}

// compared reports whether an estimate of a step's work with a variance is more than the expected run time: that it is
// compared with the tasks on other workers.
func compared(variance float64) bool { return variance < workVariance/2 }

// settle adds what was observed of a finished step to the beliefs about its workers for good.
func (t *Tracker) settle(g *group, now instant) {
	t.refresh(g, now)
	for i := range g.members {
		m := &g.members[i]
		if m.epoch != m.worker.epoch {
			continue
		}
		added := m.added
		m.worker.add(m, evidence{}, evidence{})
		if added.precision > 0 {
			m.worker.settled = m.worker.settled.asOf(now).with(added.precision, added.weighted)
		}
	}
}

// update replaces what a run adds to its member.
func (m *member) update(before, after *run) {
	if before.observed {
		m.total -= before.total
		m.count--
	}
	if after.observed {
		m.total += after.total
		m.count++
	}
	if before.hasRecent {
		m.recent -= before.recent
		m.recentNoise -= before.recentNoise
		m.recentCount--
	}
	if after.hasRecent {
		m.recent += after.recent
		m.recentNoise += after.recentNoise
		m.recentCount++
	}
}
