package hsdispatch

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Penalties in the choice between workers that have free capacity. The lowest total cost wins.
const (
	penaltyOffRack = 10.0
	penaltySuspect = 100.0
	// penaltyBreakWhole is for a task on an idle worker that leaves some of its accelerators free. The worker is no
	// longer available for a task that needs all of them.
	penaltyBreakWhole = 0.3
)

// coveredRackWait is how long a covered unit waits for capacity on its rack. With the time to stop a run on top, that
// is well within the time in which a guarantee has to be met.
const coveredRackWait = 1200 * time.Millisecond

// place assigns a unit to free capacity where it runs at full speed and deducts that from the offers. It returns nil
// if there is none.
func (d *Dispatcher) place(u *unit, offers []*offer) []hswork.Member {
	members := d.assignLocal(u, offers, fits)
	if members == nil {
		return nil
	}
	return d.deduct(u, members, offers)
}

// assignLocal assigns the tasks of a unit to workers where they run at full speed: on one of its local racks, or
// anywhere if it has no need for one. It returns nil if the unit doesn't fit.
func (d *Dispatcher) assignLocal(u *unit, offers []*offer, fit fitFunc) []hswork.Member {
	if racks := d.localRacks(u, offers); racks != nil {
		return d.assignBestRack(u, offers, racks, fit)
	}
	return d.assign(u, offers, "", fit)
}

// mayRunOffRack reports whether a unit that doesn't fit on its rack should run off it. It should if the wait for
// capacity on the rack is longer than the time that the unit loses by running off it, or if the unit is covered and
// has waited for coveredRackWait.
func (d *Dispatcher) mayRunOffRack(u *unit, wait time.Duration, now time.Time) bool {
	if !u.step.SameRack && u.step.DataRack == "" {
		return false
	}
	if u.covered && now.Sub(u.readySince) > coveredRackWait {
		return true
	}
	return wait > time.Duration(float64(d.expectedRunTime(u.job, u.step))*(d.config.OffRackSlowdown-1))
}

// localRacks returns the racks on which a unit runs at full speed: the one that holds its data, or for a unit whose
// tasks have to share a rack, each one with suitable workers. It returns nil if the rack makes no difference, or if
// no suitable worker is on a known rack.
func (d *Dispatcher) localRacks(u *unit, offers []*offer) []hswork.Label {
	s := u.step
	if s.DataRack != "" {
		return []hswork.Label{s.DataRack}
	}
	if !s.SameRack || len(u.tasks) == 1 {
		return nil
	}
	var racks []hswork.Label
	seen := map[hswork.Label]bool{}
	for _, o := range offers {
		if o.rack != "" && !seen[o.rack] && o.suits(u.job.Pool, s) {
			seen[o.rack] = true
			racks = append(racks, o.rack)
		}
	}
	return racks
}

// assignBestRack assigns the tasks of a unit to workers of the one rack where that costs least, or returns nil.
func (d *Dispatcher) assignBestRack(u *unit, offers []*offer, racks []hswork.Label, fit fitFunc) []hswork.Member {
	var best []hswork.Member
	bestCost := 0.0
	for _, rack := range racks {
		members, cost := d.assignWithCost(u, offers, rack, fit)
		if members != nil && (best == nil || cost < bestCost) {
			best = members
			bestCost = cost
		}
	}
	return best
}

// fitFunc reports whether a task of a unit fits on a worker, and at what cost. The last argument is the free capacity
// after the tasks of the unit that were assigned before.
type fitFunc func(u *unit, o *offer, left hswork.Resources) (float64, bool)

// fits is the fitFunc for free capacity. It prefers the worker with the least capacity left over (best fit).
func fits(u *unit, o *offer, left hswork.Resources) (float64, bool) {
	n := need(u.step)
	if !left.Holds(n) || !u.usesHeadroom && !left.Minus(o.headroom).Holds(n) {
		return 0, false
	}
	cost := freeShare(o, left.Minus(n))
	if left == o.total && n.Accelerators < o.total.Accelerators {
		cost += penaltyBreakWhole
	}
	return cost, true
}

// freeShare returns the share of a worker's resources that stay free, as the mean over cores, memory and
// accelerators.
func freeShare(o *offer, left hswork.Resources) float64 {
	return (share(int64(left.Cores), int64(o.total.Cores)) +
		share(int64(left.Memory), int64(o.total.Memory)) +
		share(int64(left.Accelerators), int64(o.total.Accelerators))) / 3
}

// share returns the quotient, or 0 for a whole of 0.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// assign is assignWithCost without the cost.
func (d *Dispatcher) assign(u *unit, offers []*offer, rack hswork.Label, fit fitFunc) []hswork.Member {
	members, _ := d.assignWithCost(u, offers, rack, fit)
	return members
}

// assignWithCost assigns each task of a unit in turn to the worker where it costs least, on one rack, or on any for
// an empty rack. It returns nil if a task doesn't fit.
func (d *Dispatcher) assignWithCost(u *unit, offers []*offer, rack hswork.Label, fit fitFunc) ([]hswork.Member, float64) {
	counts := d.occupancy(u)
	left := map[hsid.InstanceID]hswork.Resources{}
	var eligible []*offer
	for _, o := range offers {
		if d.isEligible(u, o, rack) {
			eligible = append(eligible, o)
			left[o.worker.id] = o.free
		}
	}
	total := 0.0
	var members []hswork.Member
	for _, t := range u.tasks {
		best, cost := d.cheapest(u, eligible, left, counts, fit)
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

// isEligible reports whether a unit may be placed on a worker that has the capacity: it suits the unit, has a valid ticket
// where that is needed, and isn't avoided.
func (d *Dispatcher) isEligible(u *unit, o *offer, rack hswork.Label) bool {
	if rack != "" && o.rack != rack || !o.suits(u.job.Pool, u.step) || d.isTooSlow(u, o.worker) {
		return false
	}
	if _, ok := d.validTicket(u, o); !ok {
		return false
	}
	return !d.avoids(u, o)
}

// mayBackfill reports whether a reservation on a worker allows another task of a unit there, beside those that left
// already counts. Covered units may use reserved workers.
func (d *Dispatcher) mayBackfill(u *unit, o *offer, left hswork.Resources) bool {
	taken := o.free.Minus(left).Plus(need(u.step))
	return u.covered || o.reserved.allowsBackfill(taken, d.expectedRunTimeOn(u.job, u.step, o.worker))
}

// cheapest returns the worker where the next task of a unit costs least, or nil if it fits on none. Counts holds the
// tasks of the step on each worker, for the spread limit.
func (d *Dispatcher) cheapest(u *unit, eligible []*offer, left map[hsid.InstanceID]hswork.Resources, counts map[hsid.InstanceID]int, fit fitFunc) (*offer, float64) {
	var best *offer
	bestCost := 0.0
	for _, o := range eligible {
		if u.step.Spread > 0 && counts[o.worker.id] >= u.step.Spread {
			continue
		}
		if o.reserved != nil && !d.mayBackfill(u, o, left[o.worker.id]) {
			continue
		}
		cost, ok := fit(u, o, left[o.worker.id])
		if !ok {
			continue
		}
		cost += d.penalty(u, o)
		if counts[o.worker.id] == 0 || !u.step.Gang {
			cost += d.speedCost(u, o)
		}
		if best == nil || cost < bestCost {
			best = o
			bestCost = cost
		}
	}
	return best, bestCost
}

// penalty returns the extra cost of a worker off the rack of the data, with recent failures or without enough trust.
func (d *Dispatcher) penalty(u *unit, o *offer) float64 {
	cost := penaltyDistrust * float64(d.distrust(u, o))
	if u.step.DataRack != "" && o.rack != u.step.DataRack {
		cost += penaltyOffRack
	}
	if o.worker.health.suspect() {
		cost += penaltySuspect
	}
	return cost + penaltySuspect*float64(o.worker.health.failures)/(10*suspectAfter)
}

// occupancy counts the tasks of the unit's step and occurrence on each worker: placed, proposed and claimed ones. The
// result is empty for steps without a spread limit.
func (d *Dispatcher) occupancy(u *unit) map[hsid.InstanceID]int {
	counts := map[hsid.InstanceID]int{}
	if u.step.Spread == 0 {
		return counts
	}
	first := u.tasks[0]
	for _, t := range u.job.Occurrences[first.Occurrence].Steps[first.Step] {
		for _, a := range t.Assignments {
			counts[a.Worker]++
		}
	}
	count := func(m hswork.Member) {
		if m.Task.Job == first.Job && m.Task.Occurrence == first.Occurrence && m.Task.Step == first.Step {
			counts[m.Worker]++
		}
	}
	for _, s := range d.proposedStarts {
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

// deduct subtracts the needs of a unit from the offers of its workers, records the placement as a probe of those that are
// suspect, and returns the members unchanged.
func (d *Dispatcher) deduct(u *unit, members []hswork.Member, offers []*offer) []hswork.Member {
	for _, m := range members {
		o := offerFrom(offers, m.Worker)
		o.free = o.free.Minus(need(u.step))
		if o.worker.health.suspect() {
			o.worker.health.lastProbe = d.lastPass
		}
		if o.reserved != nil {
			o.reserved.spare = o.reserved.spare.Minus(need(u.step))
		}
	}
	return members
}
