package hsdispatch

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// unseenWork is the work that a run is taken to lose when its start wasn't seen by this leader.
	unseenWork = 5 * time.Second
	// lossShare bounds the work that is thrown away for a unit that isn't covered, in percent of its own.
	lossShare = 100
	// costOther multiplies the cost of uncovered runs of priority 0.
	costOther = 4
)

// victims finds what has to give way on each worker for a unit.
type victims struct {
	d *Dispatcher
	u *unit
	// workers holds what was found out about each worker.
	workers map[hsid.InstanceID]*yielding
}

// yielding is what may give way on a worker.
type yielding struct {
	// ending is what will be free without anything more being stopped.
	ending hswork.Resources
	// runs may be stopped; the one that loses the least comes first.
	runs []yieldingRun
}

type yieldingRun struct {
	placedRun
	cost float64
}

func (d *Dispatcher) victimsOf(u *unit) *victims {
	return &victims{d: d, u: u, workers: map[hsid.InstanceID]*yielding{}}
}

// on returns what may give way on a worker.
func (v *victims) on(id hsid.InstanceID) *yielding {
	if y := v.workers[id]; y != nil {
		return y
	}
	y := &yielding{}
	v.workers[id] = y
	for _, p := range v.d.placedOn(id) {
		switch {
		case v.d.stopping[p.run] || v.d.ending[p.run] || p.job.Phase != hswork.Open:
			y.ending = y.ending.Plus(need(p.step))
		case v.mayStop(p):
			y.runs = append(y.runs, yieldingRun{placedRun: p, cost: v.cost(p)})
		}
	}
	slices.SortStableFunc(y.runs, func(a, b yieldingRun) int { return cmp.Compare(a.cost, b.cost) })
	return y
}

// sacrifice is what has to give way to the members of a claim.
type sacrifice struct {
	runs []yieldingRun
	// loss is the cost of the runs.
	loss float64
	// spare is how many more tasks of the step fit into the room that is made.
	spare int
}

// sacrificeFor returns what has to give way to the members.
func (v *victims) sacrificeFor(members []hswork.Member, rooms []*room) sacrifice {
	var s sacrifice
	n := need(v.u.step)
	for _, r := range rooms {
		left := r.free
		for _, m := range members {
			if m.Worker == r.worker.id {
				left = left.Minus(n)
			}
		}
		if left == r.free {
			continue
		}
		chosen, cost, _ := v.choose(r, left)
		s.runs = append(s.runs, chosen...)
		s.loss += cost
		for _, p := range chosen {
			left = left.Plus(need(p.step))
		}
		for limit := v.u.step.Count; left.Holds(n) && limit > 0; limit-- {
			left = left.Minus(n)
			s.spare++
		}
	}
	return s
}

// budget returns the work, in core-seconds, that may be thrown away for a number of members: that of their own, and
// of the tasks of the same step that wait and fit into the room that is made with them.
func (v *victims) budget(members, spare int) float64 {
	own := coresOf(v.u.step) * v.d.expectStep(v.u.job, v.u.step).Seconds()
	served := members
	if !v.u.step.Gang {
		served = min(served+spare, v.waiting())
	}
	return own * float64(served) * lossShare / 100
}

// waiting returns how many tasks of the unit's step and occurrence aren't placed and not done.
func (v *victims) waiting() int {
	first := v.u.tasks[0]
	count := 0
	for _, t := range v.u.job.Rounds[first.Occurrence].Steps[first.Step] {
		if !t.Done && len(t.Places) == 0 {
			count++
		}
	}
	return count
}

// fit reports whether a task fits once others give way, and what that costs beyond what gives way to the
// members placed there before it.
func (v *victims) fit(_ *unit, r *room, left hswork.Resources) (float64, bool) {
	_, after, ok := v.choose(r, left.Minus(need(v.u.step)))
	if !ok {
		return 0, false
	}
	_, before, _ := v.choose(r, left)
	return after - before, true
}

// choose returns the runs that have to give way on a worker so that what is left there isn't below zero, and
// what that costs. What is being stopped already counts as free.
func (v *victims) choose(r *room, left hswork.Resources) ([]yieldingRun, float64, bool) {
	var none hswork.Resources
	y := v.on(r.worker.id)
	left = left.Plus(y.ending)
	var chosen []yieldingRun
	for _, p := range y.runs {
		if left.Holds(none) {
			break
		}
		left = left.Plus(need(p.step))
		chosen = append(chosen, p)
	}
	if !left.Holds(none) {
		return nil, 0, false
	}
	chosen = slices.DeleteFunc(chosen, func(p yieldingRun) bool {
		rest := left.Minus(need(p.step))
		if !rest.Holds(none) {
			return false
		}
		left = rest
		return true
	})
	total := 0.0
	for _, p := range chosen {
		total += p.cost
	}
	return chosen, total, true
}

// mayStop reports whether a run may give way to the unit. Below priority 0 only runs that keep their
// progress do.
func (v *victims) mayStop(p placedRun) bool {
	switch {
	case v.d.coveredJobs[p.job.ID] || v.d.spared(p):
		return false
	case v.u.covered:
		return true
	case v.u.job.Priority == 0:
		return p.job.Priority > 0
	}
	return p.job.Priority > v.u.job.Priority && p.step.Saves
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
	cost := coresOf(p.step) * lost.Seconds()
	if p.step.Gang {
		cost *= float64(p.step.Count)
	}
	if p.job.Priority == 0 {
		cost *= costOther
	}
	return cost + 1
}
