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
	// unknownLostWork is the run time that is assumed to be lost with a run that was never reported to this leader as
	// running.
	unknownLostWork = 5 * time.Second
	// maxLossPercent bounds the work that is lost for a unit that isn't covered, in percent of the unit's own work.
	maxLossPercent = 100
	// uncoveredCostFactor multiplies the cost of preempting runs of priority 0. Only those that no guarantee covers
	// may be preempted.
	uncoveredCostFactor = 4
)

// victimSelector selects the runs to preempt for one unit: those that lose the least work first. It caches the candidates of
// each worker.
type victimSelector struct {
	dispatcher *Dispatcher
	unit       *unit
	workers    map[hsid.InstanceID]*workerVictims
}

// workerVictims holds the runs on a worker that may be preempted for the unit.
type workerVictims struct {
	// releasing is the capacity of runs that end anyway: they are being stopped, or their end is proposed, or their
	// job is no longer open.
	releasing hswork.Resources
	// candidates are the preemptible runs, in increasing order of cost.
	candidates []victim
}

// victim is a run that may be preempted, with the cost of that.
type victim struct {
	placedRun
	cost float64
}

func (d *Dispatcher) newVictimSelector(u *unit) *victimSelector {
	return &victimSelector{dispatcher: d, unit: u, workers: map[hsid.InstanceID]*workerVictims{}}
}

// plan implements victimPlanner.
func (v *victimSelector) plan(offers []*offer, offRack bool) *preemption {
	d := v.dispatcher
	members := d.assignLocal(v.unit, offers, v.fitsAfterPreemption)
	if members == nil && offRack {
		members = d.assign(v.unit, offers, "", v.fitsAfterPreemption)
	}
	if members == nil {
		return nil
	}
	pre := v.preemptionFor(members, offers)
	if !v.unit.covered && pre.loss > v.budget(len(members), pre.spare) {
		return nil
	}
	return &pre
}

// candidatesOn returns the runs on a worker that may be preempted.
func (v *victimSelector) candidatesOn(id hsid.InstanceID) *workerVictims {
	if w := v.workers[id]; w != nil {
		return w
	}
	w := &workerVictims{}
	v.workers[id] = w
	for _, p := range v.dispatcher.placedOn(id) {
		switch {
		case v.dispatcher.stopping[p.run] || v.dispatcher.proposedEnds[p.run] || p.job.Phase != hswork.Open:
			w.releasing = w.releasing.Plus(need(p.step))
		case v.dispatcher.preemptible(p, v.unit):
			w.candidates = append(w.candidates, victim{placedRun: p, cost: v.cost(p)})
		}
	}
	slices.SortStableFunc(w.candidates, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	return w
}

// preemption is the set of runs to stop for the members of a claim.
type preemption struct {
	members []hswork.Member
	victims []victim
	// loss is the total cost of the victims.
	loss float64
	// spare is how many more tasks of the step fit into the capacity that is freed.
	spare int
	// score is loss with the penalties of the workers, and saved what the unit's caller is spared. Both are set with
	// Features.Costs only.
	score float64
	saved hscost.Loss
}

// preemptionFor returns the runs to stop so that the members fit.
func (v *victimSelector) preemptionFor(members []hswork.Member, offers []*offer) preemption {
	pre := preemption{members: members}
	n := need(v.unit.step)
	for _, o := range offers {
		left := o.free
		for _, m := range members {
			if m.Worker == o.worker.id {
				left = left.Minus(n)
			}
		}
		if left == o.free {
			continue
		}
		chosen, cost, _ := v.choose(o, left)
		pre.victims = append(pre.victims, chosen...)
		pre.loss += cost
		for _, p := range chosen {
			left = left.Plus(need(p.step))
		}
		for limit := v.unit.step.Count; left.Holds(n) && limit > 0; limit-- {
			left = left.Minus(n)
			pre.spare++
		}
	}
	return pre
}

// budget returns the work, in core-seconds, that may be lost for a number of members. That is their own work and,
// unless they are a gang, the work of other waiting tasks of the step that fit into the freed capacity as well.
func (v *victimSelector) budget(members, spare int) float64 {
	ownWork := stepCores(v.unit.step) * v.dispatcher.expectedRunTime(v.unit.job, v.unit.step).Seconds()
	return ownWork * float64(v.unit.servedTasks(members, spare)) * maxLossPercent / 100
}

// servedTasks returns how many tasks of the unit's step start if its members do and a number of others fit as well.
func (u *unit) servedTasks(members, spare int) int {
	if u.step.Gang {
		return members
	}
	return min(members+spare, u.waitingTasks())
}

// waitingTasks returns how many tasks of the unit's step and occurrence are neither placed nor done.
func (u *unit) waitingTasks() int {
	first := u.key()
	count := 0
	for _, t := range u.job.Occurrences[first.Occurrence].Steps[first.Step] {
		if !t.Done && len(t.Assignments) == 0 {
			count++
		}
	}
	return count
}

// fitsAfterPreemption is the fitFunc for capacity that preemption can free. The cost is what the task adds to
// that of the preemptions for the tasks assigned to the worker before.
func (v *victimSelector) fitsAfterPreemption(_ *unit, o *offer, left hswork.Resources) (float64, bool) {
	_, after, ok := v.choose(o, left.Minus(need(v.unit.step)))
	if !ok {
		return 0, false
	}
	_, before, _ := v.choose(o, left)
	cost := after - before
	if left == o.free {
		cost += v.dispatcher.latenessCost(v.unit, o)
	}
	return cost, true
}

// choose returns the runs to preempt on a worker so that no resource of left is below zero, and their total cost. It
// takes the cheapest candidates until that is so and then drops those that turn out not to be needed. Runs that end
// anyway count as free. It returns false if all candidates together aren't enough.
func (v *victimSelector) choose(o *offer, left hswork.Resources) ([]victim, float64, bool) {
	var none hswork.Resources
	w := v.candidatesOn(o.worker.id)
	left = left.Plus(w.releasing)
	var chosen []victim
	for _, p := range w.candidates {
		if left.Holds(none) {
			break
		}
		left = left.Plus(need(p.step))
		chosen = append(chosen, p)
	}
	if !left.Holds(none) {
		return nil, 0, false
	}
	chosen = slices.DeleteFunc(chosen, func(p victim) bool {
		without := left.Minus(need(p.step))
		if !without.Holds(none) {
			return false
		}
		left = without
		return true
	})
	total := 0.0
	for _, p := range chosen {
		total += p.cost
	}
	return chosen, total, true
}

// preemptible reports whether a run may be preempted for a unit. Covered units may preempt any run that isn't
// covered, units of priority 0 any of lower priority, and other units only runs of lower priority that checkpoint
// their progress. Long-running runs are exempt while too many tasks of their step are unavailable.
func (d *Dispatcher) preemptible(p placedRun, u *unit) bool {
	switch {
	case d.coveredJobs[p.job.ID] || d.atMaxUnavailable(p):
		return false
	case u.covered:
		return true
	case u.job.Priority == 0:
		return p.job.Priority > 0
	}
	return p.job.Priority > u.job.Priority && p.step.Checkpoints
}

// cost returns the work in core-seconds that is lost when a run is preempted, with the rest of its gang. A run that
// checkpoints loses at most one second of its run time. One is added for every run, which favours fewer preemptions.
func (v *victimSelector) cost(p placedRun) float64 {
	lost := unknownLostWork
	if began, ok := v.dispatcher.runningSince[p.run]; ok {
		lost = v.dispatcher.ports.Clock.Now().Sub(began)
	}
	if p.step.Checkpoints {
		lost = min(lost, time.Second)
	}
	cost := stepCores(p.step) * lost.Seconds()
	if p.step.Gang {
		cost *= float64(p.step.Count)
	}
	if p.job.Priority == 0 {
		cost *= uncoveredCostFactor
	}
	return cost + 1
}
