package hsdispatch

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Weights of the choice between workers that have room. Lower totals win.
const (
	weightFar     = 10.0
	weightSuspect = 100.0
	// weightBreak is for taking accelerators of a worker that is wholly free.
	weightBreak = 0.3
)

// coveredPatience is how long a covered unit waits for room on its rack; with the time for a stop that is well
// within the time in which a guarantee has to be met.
const coveredPatience = 1200 * time.Millisecond

// place finds room for a unit where it runs at full speed and takes it from the rooms, or returns nil.
func (d *Dispatcher) place(u *unit, rooms []*room) []hswork.Member {
	members := d.near(u, rooms, fits)
	if members == nil {
		return nil
	}
	return take(u, members, rooms)
}

// near places a unit where it runs at full speed, or returns nil.
func (d *Dispatcher) near(u *unit, rooms []*room, fit fitting) []hswork.Member {
	if racks := d.nearRacks(u, rooms); racks != nil {
		return d.bestOf(u, rooms, racks, fit)
	}
	return d.spreadOver(u, rooms, "", fit)
}

// maySpread reports whether a unit that found no room on its rack rather runs away from it: to wait until there
// is room takes longer than that slows it down, or a guarantee doesn't let it wait longer.
func (d *Dispatcher) maySpread(u *unit, soonest time.Duration, now time.Time) bool {
	if !u.step.SameRack && u.step.DataRack == "" {
		return false
	}
	if u.covered && now.Sub(u.since) > coveredPatience {
		return true
	}
	return soonest > time.Duration(float64(d.expectStep(u.job, u.step))*(d.config.FarFactor-1))
}

// nearRacks returns the racks on which a unit runs at full speed, or nil when it does so everywhere or
// nowhere.
func (d *Dispatcher) nearRacks(u *unit, rooms []*room) []hswork.Label {
	s := u.step
	if s.DataRack != "" {
		return []hswork.Label{s.DataRack}
	}
	if !s.SameRack || len(u.tasks) == 1 {
		return nil
	}
	var racks []hswork.Label
	seen := map[hswork.Label]bool{}
	for _, r := range rooms {
		if r.rack != "" && !seen[r.rack] && r.suits(u.job.Pool, s) {
			seen[r.rack] = true
			racks = append(racks, r.rack)
		}
	}
	return racks
}

// bestOf places a unit on the one rack where it leaves the least unusable.
func (d *Dispatcher) bestOf(u *unit, rooms []*room, racks []hswork.Label, fit fitting) []hswork.Member {
	var best []hswork.Member
	bestCost := 0.0
	for _, rack := range racks {
		members, cost := d.spreadCost(u, rooms, rack, fit)
		if members != nil && (best == nil || cost < bestCost) {
			best = members
			bestCost = cost
		}
	}
	return best
}

// fitting tells whether a task fits into what is left of a room, and at what cost.
type fitting func(u *unit, r *room, left hswork.Resources) (float64, bool)

func fits(u *unit, r *room, left hswork.Resources) (float64, bool) {
	n := need(u.step)
	if !left.Holds(n) {
		return 0, false
	}
	cost := leftover(r, left.Minus(n))
	if left == r.all && n.Accelerators < r.all.Accelerators {
		cost += weightBreak
	}
	return cost, true
}

// leftover is the mean share of a worker's resources that stay free.
func leftover(r *room, left hswork.Resources) float64 {
	return (share(int64(left.Cores), int64(r.all.Cores)) +
		share(int64(left.Memory), int64(r.all.Memory)) +
		share(int64(left.Accelerators), int64(r.all.Accelerators))) / 3
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (d *Dispatcher) spreadOver(u *unit, rooms []*room, rack hswork.Label, fit fitting) []hswork.Member {
	members, _ := d.spreadCost(u, rooms, rack, fit)
	return members
}

// spreadCost places each task of a unit on the worker where it costs least, on one rack or on any.
func (d *Dispatcher) spreadCost(u *unit, rooms []*room, rack hswork.Label, fit fitting) ([]hswork.Member, float64) {
	counts := d.occupancy(u)
	left := map[hsid.InstanceID]hswork.Resources{}
	var open []*room
	for _, r := range rooms {
		if d.isOpen(u, r, rack) {
			open = append(open, r)
			left[r.worker.id] = r.free
		}
	}
	total := 0.0
	var members []hswork.Member
	for _, t := range u.tasks {
		best, cost := cheapest(u, open, left, counts, fit)
		if best == nil {
			return nil, 0
		}
		id := best.worker.id
		left[id] = left[id].Minus(need(u.step))
		counts[id]++
		total += cost
		members = append(members, best.member(t))
	}
	return members, total
}

// isOpen reports whether a unit may be placed on a worker if there is room.
func (d *Dispatcher) isOpen(u *unit, r *room, rack hswork.Label) bool {
	if rack != "" && r.rack != rack || !r.suits(u.job.Pool, u.step) {
		return false
	}
	if _, ok := d.permitted(u, r); !ok {
		return false
	}
	return u.covered || r.reserved.admits(need(u.step), d.expectStep(u.job, u.step))
}

// cheapest returns the worker where the next task of a unit costs least, or nil.
func cheapest(u *unit, open []*room, left map[hsid.InstanceID]hswork.Resources, counts map[hsid.InstanceID]int, fit fitting) (*room, float64) {
	var best *room
	bestCost := 0.0
	for _, r := range open {
		if u.step.Spread > 0 && counts[r.worker.id] >= u.step.Spread {
			continue
		}
		cost, ok := fit(u, r, left[r.worker.id])
		if !ok {
			continue
		}
		cost += misgivings(u, r)
		if best == nil || cost < bestCost {
			best = r
			bestCost = cost
		}
	}
	return best, bestCost
}

// misgivings is the cost of a worker that the unit would rather not run on.
func misgivings(u *unit, r *room) float64 {
	cost := 0.0
	if u.step.DataRack != "" && r.rack != u.step.DataRack {
		cost += weightFar
	}
	if r.worker.health.suspect() {
		cost += weightSuspect
	}
	return cost + weightSuspect*float64(r.worker.health.failures)/(10*suspectAfter)
}

// occupancy counts the tasks of the unit's step and occurrence on each worker, with those that are about to
// start there.
func (d *Dispatcher) occupancy(u *unit) map[hsid.InstanceID]int {
	counts := map[hsid.InstanceID]int{}
	if u.step.Spread == 0 {
		return counts
	}
	first := u.tasks[0]
	for _, t := range u.job.Rounds[first.Occurrence].Steps[first.Step] {
		for _, p := range t.Places {
			counts[p.Worker]++
		}
	}
	count := func(m hswork.Member) {
		if m.Task.Work == first.Work && m.Task.Occurrence == first.Occurrence && m.Task.Step == first.Step {
			counts[m.Worker]++
		}
	}
	for _, s := range d.starting {
		for _, m := range s.Members {
			count(m)
		}
	}
	for _, c := range d.claims {
		for _, m := range c.members {
			count(m)
		}
	}
	return counts
}

// take strikes what a unit needs out of the rooms.
func take(u *unit, members []hswork.Member, rooms []*room) []hswork.Member {
	for _, m := range members {
		r := roomOf(rooms, m.Worker)
		r.free = r.free.Minus(need(u.step))
		if r.reserved != nil {
			r.reserved.spare = r.reserved.spare.Minus(need(u.step))
		}
	}
	return members
}
