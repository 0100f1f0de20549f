package hsdispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// maxComingWait bounds the wait by which units are compared.
	maxComingWait = time.Minute
	// negligibleLoss is the part of a result's value below which an expected loss counts as none. Units that lose less are
	// ordered by slack.
	negligibleLoss = 0.001
)

// unitCost is the cost to callers of a waiting unit, which decides its place in the order while room is short.
type unitCost struct {
	measure hscost.Unit
	// rank combines priority and timeliness; lower ranks come first.
	rank int
	// density is the loss per core-second that the coming wait causes.
	density float64
}

// resetCosts drops what was computed for the pass before.
func (d *Dispatcher) resetCosts() {
	d.comingWaits = nil
	d.groups, d.stepMeasures = map[hsid.InstanceID][]victimGroup{}, map[StepID]hscost.Unit{}
}

// measure returns the cost to callers of a unit and the rest of its job.
func (d *Dispatcher) measure(u *unit, now time.Time) hscost.Unit {
	occurrence := u.key().Occurrence
	return hscost.Unit{
		Priority:  u.job.Priority,
		Objective: d.latencyObjective(u.job),
		Age:       d.age(u.job, occurrence, now),
		Path:      d.pathFrom(u.job, u.key().Step),
		Work:      d.waitingWork(u.job, occurrence),
	}
}

// pathFrom returns the estimated run time of the longest chain of dependent steps that begins with a step.
func (d *Dispatcher) pathFrom(j *hswork.Job, step int) time.Duration {
	return d.expectedRunTime(j, &j.Steps[step]) + d.restOfPath(j, step)
}

// waitingWork returns the work of the tasks of an occurrence that are neither done nor placed.
func (d *Dispatcher) waitingWork(j *hswork.Job, occurrence int) hscost.CoreSeconds {
	var work hscost.CoreSeconds
	for s := range j.Occurrences[occurrence].Steps {
		waiting := 0
		for _, t := range j.Occurrences[occurrence].Steps[s] {
			if !t.Done && len(t.Assignments) == 0 {
				waiting++
			}
		}
		if waiting > 0 {
			work += hscost.WorkOf(j.Steps[s].Need, waiting, d.expectedRunTime(j, &j.Steps[s]))
		}
	}
	return work
}

// roomIsShort reports whether the order of the units decides which of them start: they need more than is free, or the fleet
// isn't idle.
func (d *Dispatcher) roomIsShort(units []*unit) bool {
	if d.load.highest >= idlePercent {
		return true
	}
	left := d.free
	var none hswork.Resources
	for _, u := range units {
		n := need(u.step)
		for range u.tasks {
			if left = left.Minus(n); !left.Holds(none) {
				return true
			}
		}
	}
	return false
}

// sortByCost orders the units by what their callers lose.
func (d *Dispatcher) sortByCost(units []*unit, now time.Time) {
	d.comingWaits = d.newComingWaits(units)
	var previous *unit
	for _, u := range units {
		if previous != nil && previous.step == u.step && previous.key().Occurrence == u.key().Occurrence {
			u.cost = previous.cost
		} else {
			d.weigh(u, now)
		}
		previous = u
	}
	slices.SortStableFunc(units, compareByCost)
}

// weigh sets the cost of a unit.
func (d *Dispatcher) weigh(u *unit, now time.Time) {
	m := d.measure(u, now)
	wait := d.comingWaits.of(u.job.Priority)
	c := &u.cost
	c.measure = m
	loss := m.Delay(wait)
	if u.step.LongRunning {
		// Its users do without it all the time, so it counts as losing its objective within the longest idle wait.
		loss = m.LateLoss()
		m.Work = hscost.WorkOf(u.step.Need, len(u.tasks), maxIdleWait)
	}
	if loss > negligibleLoss*hscost.Weight(m.Priority) {
		c.density = hscost.PerCoreSecond(loss, m.Work)
	}
	atRisk := u.step.LongRunning || m.Timeliness(wait) != hscost.OnTime
	c.rank = rankOf(d.comingWaits.level(u.job.Priority), u.timeliness, atRisk)
}

// rankOf returns the rank of a unit. Level is the position of its priority among all. Units of a higher priority come first,
// and within a priority those that can still be on time. But units that can't be on time any more let those of the next
// priority go first that would miss their objective otherwise: their own result is late in any case.
func rankOf(level int, t timeliness, atRisk bool) int {
	const ranksPerLevel = 5
	base := ranksPerLevel * level
	switch {
	case t == onTime && atRisk:
		return base
	case t == onTime:
		return base + 3
	}
	// After the units at risk of the next level, and before its other units.
	return base + ranksPerLevel + int(t)
}

// compareByCost orders units: covered ones first, as compareUnits does; then by rank, by the loss per core-second that the
// coming wait causes, by slack, and by the order in which their jobs were accepted.
func compareByCost(a, b *unit) int {
	if a.covered || b.covered {
		return compareUnits(a, b)
	}
	return cmp.Or(
		cmp.Compare(a.cost.rank, b.cost.rank),
		-cmp.Compare(a.cost.density, b.cost.density),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.job.Index, b.job.Index),
	)
}

// comingWaits predicts how long units of each priority wait if they aren't served now: as long as the waiting units of
// higher priorities, and half of those of their own, occupy the fleet.
type comingWaits struct {
	// priorities holds the priorities of the catalog and of the waiting units in ascending order, and waits their waits.
	priorities []int
	waits      []time.Duration
}

func (d *Dispatcher) newComingWaits(units []*unit) *comingWaits {
	work := map[int]hscost.CoreSeconds{}
	for i := range d.state.Catalog.Queues {
		work[d.state.Catalog.Queues[i].Priority] = 0
	}
	for _, u := range units {
		work[u.job.Priority] += hscost.WorkOf(need(u.step), len(u.tasks), d.expectedRunTime(u.job, u.step))
	}
	w := &comingWaits{priorities: slices.Sorted(maps.Keys(work))}
	var before hscost.CoreSeconds
	for _, p := range w.priorities {
		w.waits = append(w.waits, d.timeToServe(before+work[p]/2))
		before += work[p]
	}
	return w
}

// timeToServe returns how long the whole fleet takes for an amount of work, between passInterval and maxComingWait.
func (d *Dispatcher) timeToServe(work hscost.CoreSeconds) time.Duration {
	if d.totalCores <= 0 {
		return maxComingWait
	}
	seconds := math.Min(float64(work)/d.totalCores, maxComingWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), passInterval)
}

// of returns the wait of a priority.
func (w *comingWaits) of(priority int) time.Duration {
	if w == nil || len(w.waits) == 0 {
		return passInterval
	}
	return w.waits[min(w.level(priority), len(w.waits)-1)]
}

// level returns the position of a priority among all.
func (w *comingWaits) level(priority int) int {
	i, _ := slices.BinarySearch(w.priorities, priority)
	return i
}
