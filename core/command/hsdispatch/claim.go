package hsdispatch

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// claimFactor is how many stop timeouts a claim waits for the runs that give way.
	claimFactor = 4
	// unseenWork is the work that a run is taken to lose when its start wasn't seen by this leader.
	unseenWork = 5 * time.Second
	// acceleratorCores is how many cores of work an accelerator stands for.
	acceleratorCores = 8
	// costOther multiplies the cost of uncovered runs of priority 0.
	costOther = 4
)

// claim is room that runs give way for.
type claim struct {
	members []hswork.Member
	at      time.Time
}

// dropClaims forgets the claims of units that don't wait any more, and those that weren't met in time.
func (d *Dispatcher) dropClaims(units []*unit, now time.Time) {
	waiting := map[hswork.TaskID]bool{}
	for _, u := range units {
		waiting[u.key()] = true
	}
	for key, c := range d.claims {
		if !waiting[key] || now.Sub(c.at) > claimFactor*d.config.StopTimeout {
			delete(d.claims, key)
		}
	}
}

// tryClaim starts a unit once all of its claim is free. The rooms count the claim as taken.
func (d *Dispatcher) tryClaim(u *unit, c *claim, rooms []*room, now time.Time) {
	for _, m := range c.members {
		r := roomOf(rooms, m.Worker)
		if r == nil || r.worker.tally.Endpoint.Life != m.Life {
			delete(d.claims, u.key())
			return
		}
		if r.free.Cores < 0 || r.free.Memory < 0 || r.free.Accelerators < 0 {
			return
		}
	}
	delete(d.claims, u.key())
	d.start(u, c.members, now)
}

// victims finds what has to give way on each worker for a unit.
type victims struct {
	d *Dispatcher
	u *unit
}

// claimFor has runs give way that aren't covered, those that lose the least work first.
func (d *Dispatcher) claimFor(u *unit, rooms []*room, now time.Time) {
	v := &victims{d: d, u: u}
	var members []hswork.Member
	if racks := d.nearRacks(u, rooms); racks != nil {
		members = d.bestOf(u, rooms, racks, v.fit)
	}
	if members == nil {
		members = d.spreadOver(u, rooms, "", v.fit)
	}
	if members == nil {
		return
	}
	free := map[hsid.InstanceID]hswork.Resources{}
	for _, m := range members {
		r := roomOf(rooms, m.Worker)
		left, ok := free[m.Worker]
		if !ok {
			left = r.free
		}
		runs, _, _ := v.choose(r, left)
		for _, p := range runs {
			d.giveWay(p, u.job.ID)
		}
		free[m.Worker] = left.Minus(need(u.step))
	}
	take(u, members, rooms)
	d.claims[u.key()] = &claim{members: members, at: now}
}

// fit reports whether a task fits once others give way, and what that costs.
func (v *victims) fit(_ *unit, r *room, left hswork.Resources) (float64, bool) {
	_, cost, ok := v.choose(r, left)
	return cost, ok
}

// choose returns the runs that have to give way on a worker so that a task of the unit fits. What is being
// stopped already counts as free.
func (v *victims) choose(r *room, left hswork.Resources) ([]placedRun, float64, bool) {
	n := need(v.u.step)
	var runs []placedRun
	for _, p := range v.d.placedOn(r.worker.id) {
		if v.d.stopping[p.run] || v.d.ending[p.run] || p.job.Phase != hswork.Open {
			left = left.Plus(need(p.step))
			continue
		}
		if v.mayStop(p) {
			runs = append(runs, p)
		}
	}
	slices.SortStableFunc(runs, func(a, b placedRun) int { return cmp.Compare(v.cost(a), v.cost(b)) })
	var chosen []placedRun
	total := 0.0
	for _, p := range runs {
		if left.Holds(n) {
			break
		}
		left = left.Plus(need(p.step))
		chosen = append(chosen, p)
	}
	if !left.Holds(n) {
		return nil, 0, false
	}
	chosen = slices.DeleteFunc(chosen, func(p placedRun) bool {
		rest := left.Minus(need(p.step))
		if !rest.Holds(n) {
			return false
		}
		left = rest
		return true
	})
	for _, p := range chosen {
		total += v.cost(p)
	}
	return chosen, total, true
}

// mayStop reports whether a run may give way to the unit.
func (v *victims) mayStop(p placedRun) bool {
	return !v.d.coveredJobs[p.job.ID]
}

// cost is the work in core-seconds that is lost when a run gives way; a gang gives way whole.
func (v *victims) cost(p placedRun) float64 {
	lost := unseenWork
	if began, ok := v.d.began[p.run]; ok {
		lost = v.d.ports.Clock.Now().Sub(began)
	}
	if p.step.Saves {
		lost = min(lost, time.Second)
	}
	cores := float64(p.step.Need.Cores)/1000 + acceleratorCores*float64(p.step.Need.Accelerators)
	cost := cores * lost.Seconds()
	if p.step.Gang {
		cost *= float64(p.step.Count)
	}
	if p.job.Priority == 0 {
		cost *= costOther
	}
	return cost + 1
}

// giveWay has a run stopped, with the other members of its gang.
func (d *Dispatcher) giveWay(p placedRun, by hswork.ID) {
	d.ports.Observer.Preempted(p.run, p.place.Worker, by)
	tasks := []hswork.Task{*p.task}
	if p.step.Gang {
		tasks = p.job.Rounds[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	}
	for i := range tasks {
		run := p.run
		if p.step.Gang {
			run.Task.Index = i
		}
		if place := tasks[i].Place(p.run.Number); place != nil {
			d.stopping[run] = true
			d.planFor(place.Worker)
		}
	}
}
