package hsdispatch

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// maxStopFactor bounds the factor by which earlier stops of a run raise its cost.
	maxStopFactor = 8
	// maxThrownPercent bounds the cost of a preemption for a unit that isn't covered, in percent of the work that it serves if
	// it is certain to be late without the preemption and on time with it. Thrown capacity counts half, as others miss it only
	// while the fleet is full.
	maxThrownPercent = 200
)

// victimGroup is what a worker frees when one run is stopped: the run, or all members of its gang there.
type victimGroup struct {
	// run is one of the runs, in the index of placed runs. The whole gang is stopped with it.
	run   *placedRun
	frees hswork.Resources
	// priced is set once thrown and lost are.
	priced bool
	// thrown is the capacity that is lost with the run or the whole gang: the work since the last checkpoint, the time to stop
	// and to restart. Each earlier stop adds as much again.
	thrown hscost.CoreSeconds
	// lost is what the caller loses because of the stop.
	lost hscost.Loss
}

// key returns the id that all runs share that are stopped together: that of the first task's run.
func (g *victimGroup) key() hswork.RunID {
	key := g.run.run
	if g.run.step.Gang {
		key.Task.Index = 0
	}
	return key
}

// includes reports whether a run is stopped with the group.
func (g *victimGroup) includes(p *placedRun) bool {
	a, b := &g.run.run, &p.run
	return p.step.Gang && a.Number == b.Number && a.Task.Step == b.Task.Step && a.Task.Occurrence == b.Task.Occurrence && a.Task.Job == b.Task.Job
}

// victimGroups returns the runs on a worker by group, in the order of their ids. They are kept until the next pass.
func (d *Dispatcher) victimGroups(id hsid.InstanceID) []victimGroup {
	groups, ok := d.groups[id]
	if ok {
		return groups
	}
	runs := d.placedOn(id)
	groups = make([]victimGroup, 0, len(runs))
	for i := range runs {
		p := &runs[i]
		if n := len(groups); n > 0 && groups[n-1].includes(p) {
			groups[n-1].frees = groups[n-1].frees.Plus(need(p.step))
			continue
		}
		groups = append(groups, victimGroup{run: p, frees: need(p.step)})
	}
	d.groups[id] = groups
	return groups
}

// price sets what stopping a group costs.
func (d *Dispatcher) price(g *victimGroup, now time.Time) {
	if !g.priced {
		g.priced = true
		g.thrown = d.thrownCapacity(*g.run, now)
		g.lost = d.lossByStop(*g.run, now)
	}
}

// thrownCapacity returns the capacity that is lost when a run is stopped, with the rest of its gang. Every stop of the run
// before, whatever its cause, raises it, so that no run is stopped again and again.
func (d *Dispatcher) thrownCapacity(p placedRun, now time.Time) hscost.CoreSeconds {
	lost := d.lostByStop(p, now) + d.config.StopTimeout + restartTime
	stops := int(p.task.Run) - 1 - len(p.task.Failed)
	return hscost.WorkOf(p.step.Need, gangSize(p.step), lost) * hscost.CoreSeconds(min(max(1+stops, 1), maxStopFactor))
}

// lossByStop returns what the caller of a run loses when it is stopped: it waits again, and does again what wasn't saved.
func (d *Dispatcher) lossByStop(p placedRun, now time.Time) hscost.Loss {
	m := d.measureOfStep(p, now)
	if p.step.LongRunning {
		return m.LateLoss()
	}
	expected := d.expectedRunTime(p.job, p.step)
	remaining := d.remainingTime(p, now)
	rest := m.Path - expected
	again := remaining + d.lostByStop(p, now)
	if !p.step.Checkpoints {
		again = max(expected, again)
	}
	m.Path = rest + remaining
	before := m.Loss(0)
	m.Path = rest + again
	return max(m.Loss(d.config.StopTimeout+restartTime+d.comingWaits.of(p.job.Priority))-before, 0)
}

// measureOfStep returns the cost to callers of a run's step and the rest of its job, kept until the next pass. Its work isn't
// set.
func (d *Dispatcher) measureOfStep(p placedRun, now time.Time) hscost.Unit {
	id := stepIDOf(p.run.Task)
	m, ok := d.stepMeasures[id]
	if !ok {
		m = hscost.Unit{
			Priority:  p.job.Priority,
			Objective: d.latencyObjective(p.job),
			Age:       d.age(p.job, id.Occurrence, now),
			Path:      d.pathFrom(p.job, id.Step),
		}
		d.stepMeasures[id] = m
	}
	return m
}

// costSelector selects the runs to preempt for one unit by the cost to callers. It weighs the work that is thrown away and the
// objectives that the victims miss against the objective that the unit meets.
type costSelector struct {
	dispatcher *Dispatcher
	unit       *unit
	now        time.Time
	measure    hscost.Unit
	// saved is the loss by a missed objective that the unit's caller is spared if it starts once runs have stopped.
	saved   hscost.Loss
	workers map[hsid.InstanceID]*groupVictims
	// splitGangs is set if the cost of a gang is divided among the tasks of the unit that may replace its members. Without
	// that, a task of the unit sees the cost of the whole gang and prefers single runs, though the gang may make room for all.
	splitGangs bool
	// sawGang is set once a member of a gang was a candidate.
	sawGang bool
	// taken holds the gangs that are stopped for the members assigned so far, each with the worker where it was chosen, and hit
	// the jobs whose callers lose by all that is stopped.
	taken map[hswork.RunID]hsid.InstanceID
	hit   map[hswork.ID]hsid.InstanceID
}

// groupVictims holds the groups on a worker that may be preempted for the unit.
type groupVictims struct {
	// releasing is the capacity of runs that end anyway.
	releasing  hswork.Resources
	candidates []groupVictim
}

// groupVictim is a group with its costs for the unit, in core-seconds of the unit's priority.
type groupVictim struct {
	*victimGroup
	// work is the cost of what is thrown away, and loss that of the objective that the caller misses.
	work, loss float64
	// split is the number that both are divided by in a choice between workers: 1 unless splitGangs is set.
	split float64
}

func (d *Dispatcher) newCostSelector(u *unit, wait time.Duration, now time.Time) *costSelector {
	m := d.measure(u, now)
	return &costSelector{
		dispatcher: d,
		unit:       u,
		now:        now,
		measure:    m,
		saved:      m.LateLoss() * hscost.Loss(max(m.LateRisk(wait)-m.LateRisk(d.config.StopTimeout), 0)),
		workers:    map[hsid.InstanceID]*groupVictims{},
	}
}

// plan implements victimPlanner.
func (v *costSelector) plan(offers []*offer, offRack bool) *preemption {
	best := v.bestPlan(offers, offRack)
	if v.sawGang && len(v.unit.tasks) > 1 {
		v.splitGangs = true
		v.workers = map[hsid.InstanceID]*groupVictims{}
		if other := v.bestPlan(offers, offRack); other != nil && (best == nil || other.score < best.score) {
			best = other
		}
	}
	if best == nil || !v.unit.covered && best.loss > v.budget(best, offers) {
		return nil
	}
	return best
}

// bestPlan returns the cheapest preemption on one of the unit's local racks, or with offRack anywhere if there is none.
func (v *costSelector) bestPlan(offers []*offer, offRack bool) *preemption {
	racks := v.dispatcher.localRacks(v.unit, offers)
	if racks == nil {
		racks = []hswork.Label{""}
	}
	var best *preemption
	for _, rack := range racks {
		if pre := v.planOn(offers, rack); pre != nil && (best == nil || pre.score < best.score) {
			best = pre
		}
	}
	if best == nil && offRack {
		return v.planOn(offers, "")
	}
	return best
}

// planOn assigns the tasks of the unit in turn to the workers on a rack where that costs least, or on any for an empty rack.
// It returns nil if a task doesn't fit.
func (v *costSelector) planOn(offers []*offer, rack hswork.Label) *preemption {
	d := v.dispatcher
	v.taken, v.hit = map[hswork.RunID]hsid.InstanceID{}, map[hswork.ID]hsid.InstanceID{}
	counts := d.occupancy(v.unit)
	left := map[hsid.InstanceID]hswork.Resources{}
	var eligible, used []*offer
	for _, o := range offers {
		if d.isEligible(v.unit, o, rack) {
			eligible = append(eligible, o)
			left[o.worker.id] = o.free
		}
	}
	pre := &preemption{saved: v.saved}
	var penalties float64
	for _, t := range v.unit.tasks {
		best, cost := d.cheapest(v.unit, eligible, left, counts, v.fits)
		if best == nil {
			return nil
		}
		id := best.worker.id
		stops, _ := v.costOfNext(best, left[id])
		penalties += cost - stops
		left[id] = left[id].Minus(need(v.unit.step))
		counts[id]++
		pre.members = append(pre.members, best.member(t))
		if !slices.Contains(used, best) {
			used = append(used, best)
		}
		if !v.settle(pre, used, left) {
			return nil
		}
	}
	pre.score = pre.loss + penalties
	return pre
}

// settle sets the victims of a preemption: the groups to stop so that the members assigned so far fit on the workers used.
func (v *costSelector) settle(pre *preemption, used []*offer, left map[hsid.InstanceID]hswork.Resources) bool {
	clear(v.taken)
	clear(v.hit)
	pre.victims, pre.loss = pre.victims[:0], 0
	for _, o := range used {
		chosen, _, ok := v.choose(o, left[o.worker.id])
		if !ok {
			return false
		}
		for _, g := range chosen {
			cost := g.work
			if _, ok := v.hit[g.run.job.ID]; !ok {
				v.hit[g.run.job.ID] = o.worker.id
				cost += g.loss
			}
			if g.run.step.Gang {
				v.taken[g.key()] = o.worker.id
			}
			pre.victims = append(pre.victims, victim{placedRun: *g.run, cost: cost})
			pre.loss += cost
		}
	}
	return true
}

// fits is the fitFunc for capacity that preemption can free. A worker on which the unit is likely to be late costs its work.
func (v *costSelector) fits(_ *unit, o *offer, left hswork.Resources) (float64, bool) {
	cost, ok := v.costOfNext(o, left)
	if ok && left == o.free {
		cost += v.dispatcher.latenessCost(v.unit, o)
	}
	return cost, ok
}

// costOfNext returns what another task adds to the cost of the stops for the tasks assigned to a worker before.
func (v *costSelector) costOfNext(o *offer, left hswork.Resources) (float64, bool) {
	_, after, ok := v.choose(o, left.Minus(need(v.unit.step)))
	if !ok {
		return 0, false
	}
	_, before, _ := v.choose(o, left)
	return after - before, true
}

// choose returns the groups to stop on a worker so that no resource of left is below zero, and their total cost. Runs that end
// anyway count as free, and so do those of groups that are stopped for members on other workers. It takes the cheapest
// candidates until left suffices and then drops those that turn out not to be needed. It returns false if all candidates
// together aren't enough.
func (v *costSelector) choose(o *offer, left hswork.Resources) ([]groupVictim, float64, bool) {
	var none hswork.Resources
	if left.Holds(none) {
		return nil, 0, true
	}
	id := o.worker.id
	w := v.candidatesOn(id)
	left = left.Plus(w.releasing)
	if len(v.taken) > 0 {
		for _, g := range w.candidates {
			if v.takenElsewhere(g, id) {
				left = left.Plus(g.frees)
			}
		}
	}
	var chosen []groupVictim
	for _, g := range w.candidates {
		if left.Holds(none) {
			break
		}
		if !v.takenElsewhere(g, id) {
			left = left.Plus(g.frees)
			chosen = append(chosen, g)
		}
	}
	if !left.Holds(none) {
		return nil, 0, false
	}
	// The dearest are dropped first.
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := left.Minus(chosen[i].frees); without.Holds(none) {
			left = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, v.total(chosen, id), true
}

// takenElsewhere reports whether a gang is stopped for members on another worker.
func (v *costSelector) takenElsewhere(g groupVictim, id hsid.InstanceID) bool {
	if !g.run.step.Gang {
		return false
	}
	at, ok := v.taken[g.key()]
	return ok && at != id
}

// total returns the cost of stopping groups on a worker. What a caller loses counts once for all runs of its job.
func (v *costSelector) total(chosen []groupVictim, id hsid.InstanceID) float64 {
	total := 0.0
	for i, g := range chosen {
		total += g.work / g.split
		job := g.run.job.ID
		at, hit := v.hit[job]
		before := slices.ContainsFunc(chosen[:i], func(x groupVictim) bool { return x.run.job.ID == job })
		if !before && (!hit || at == id) {
			total += g.loss / g.split
		}
	}
	return total
}

// candidatesOn returns the groups on a worker that may be preempted, in increasing order of cost; among equal costs, those
// whose callers lose least come first.
func (v *costSelector) candidatesOn(id hsid.InstanceID) *groupVictims {
	if w := v.workers[id]; w != nil {
		return w
	}
	d := v.dispatcher
	w := &groupVictims{}
	v.workers[id] = w
	groups := d.victimGroups(id)
	for i := range groups {
		g := &groups[i]
		switch p := g.run; {
		case d.stopping[p.run] || d.proposedEnds[p.run] || p.job.Phase != hswork.Open:
			w.releasing = w.releasing.Plus(g.frees)
		case d.preemptible(*p, v.unit):
			d.price(g, v.now)
			w.candidates = append(w.candidates, v.victim(g))
		}
	}
	slices.SortStableFunc(w.candidates, func(a, b groupVictim) int {
		return cmp.Or(cmp.Compare((a.work+a.loss)/a.split, (b.work+b.loss)/b.split), cmp.Compare(a.loss, b.loss))
	})
	return w
}

// victim returns a group with its costs. Work counts by the priority for which it is done. One is added for every group, which
// favours fewer preemptions.
func (v *costSelector) victim(g *victimGroup) groupVictim {
	split := 1.0
	if g.run.step.Gang {
		v.sawGang = true
		if v.splitGangs {
			split = float64(max(min(g.run.step.Count, len(v.unit.tasks)), 1))
		}
	}
	weight := float64(hscost.Weight(g.run.job.Priority) / hscost.Weight(v.unit.job.Priority))
	return groupVictim{
		victimGroup: g,
		work:        weight*float64(g.thrown) + 1,
		loss:        float64(g.lost/v.measure.LateLoss()) * v.ownWork(len(v.unit.tasks)),
		split:       split,
	}
}

// ownWork returns the work of a number of the unit's tasks in core-seconds.
func (v *costSelector) ownWork(tasks int) float64 {
	return float64(hscost.WorkOf(v.unit.step.Need, tasks, v.dispatcher.expectedRunTime(v.unit.job, v.unit.step)))
}

// budget returns the highest cost at which a preemption is worth it for a unit that isn't covered: maxThrownPercent of the work
// that it serves, times the probability that the preemption saves its objective.
func (v *costSelector) budget(pre *preemption, offers []*offer) float64 {
	served := v.unit.servedTasks(len(pre.members), v.spare(pre, offers))
	return v.ownWork(served) * maxThrownPercent / 100 * float64(v.saved/v.measure.LateLoss())
}

// spare returns how many more tasks of the unit's step fit into the capacity that a preemption frees. That is 0 for a gang.
func (v *costSelector) spare(pre *preemption, offers []*offer) int {
	if v.unit.step.Gang {
		return 0
	}
	freed := map[hsid.InstanceID]hswork.Resources{}
	n := need(v.unit.step)
	for _, m := range pre.members {
		freed[m.Worker] = freed[m.Worker].Minus(n)
	}
	for _, p := range pre.victims {
		for _, r := range v.dispatcher.stoppedWith(p.placedRun) {
			freed[r.assignment.Worker] = freed[r.assignment.Worker].Plus(need(r.step))
		}
	}
	spare := 0
	for _, o := range offers {
		change, ok := freed[o.worker.id]
		if !ok || !o.suits(v.unit.job.Pool, v.unit.step) {
			continue
		}
		left := o.free.Plus(change)
		for limit := v.unit.step.Count; left.Holds(n) && limit > 0; limit-- {
			left = left.Minus(n)
			spare++
		}
	}
	return spare
}
