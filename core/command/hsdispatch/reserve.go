package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// maxReservedPercent bounds the workers with reservations, in percent of those that accept new runs.
	maxReservedPercent = 50
	// never is the wait of a unit for which the expected ends of runs don't free enough capacity. Longer waits are
	// treated alike.
	never = 24 * time.Hour
)

// reservation keeps capacity on a worker for a unit that waits until runs there have ended.
type reservation struct {
	// availableIn is the time until the reserved capacity is free.
	availableIn time.Duration
	// spare is the capacity that is free then in addition to what is reserved.
	spare hswork.Resources
}

// allowsBackfill reports whether a unit that comes later in the order may use a worker: it is expected to end before
// the reserved capacity is free, or it fits next to that. It is true for a nil reservation.
func (v *reservation) allowsBackfill(need hswork.Resources, runTime time.Duration) bool {
	return v == nil || runTime <= v.availableIn || v.spare.Holds(need)
}

// earliestFit returns the workers where a unit that doesn't fit now is expected to fit first at full speed, and the
// time until then. It returns nil and never if no such workers are known.
func (d *Dispatcher) earliestFit(u *unit, offers []*offer, now time.Time) ([]*candidate, time.Duration) {
	return d.earliestFitWithin(u, offers, never, now)
}

// earliestFitWithin is earliestFit for waits up to a limit.
func (d *Dispatcher) earliestFitWithin(u *unit, offers []*offer, limit time.Duration, now time.Time) ([]*candidate, time.Duration) {
	var best []*candidate
	bestWait := never
	racks := d.localRacks(u, offers)
	if racks == nil {
		racks = []hswork.Label{""}
	}
	for _, rack := range racks {
		if found, wait := d.earliestFitOn(u, offers, rack, limit, now); found != nil && wait < bestWait {
			best = found
			bestWait = wait
		}
	}
	return best, bestWait
}

// reserve reserves capacity on workers for a waiting unit, unless that exceeds maxReservedPercent. Units later in the
// order are then backfilled only where they don't delay it.
func (d *Dispatcher) reserve(candidates []*candidate, wait time.Duration, offers []*offer) {
	reserved := 0
	for _, o := range offers {
		if o.reserved != nil {
			reserved++
		}
	}
	if 100*(reserved+len(candidates)) > maxReservedPercent*len(offers) {
		return
	}
	for _, c := range candidates {
		spare := c.freeIn(wait).Minus(c.taken)
		c.offer.reserved = &reservation{availableIn: wait, spare: spare}
	}
}

// candidate is a worker considered for a reservation, with the times at which its runs are expected to end.
type candidate struct {
	offer    *offer
	releases []release
	// taken is the capacity that fitIn assigned to the unit.
	taken hswork.Resources
	// tasks counts the tasks of the unit's step and occurrence on the worker, including those that fitIn assigned.
	// The earlier ones are counted only for steps with a spread limit.
	tasks int
}

// release is the capacity that a run frees when it ends.
type release struct {
	endsIn    time.Duration
	resources hswork.Resources
}

// freeIn returns the capacity of the worker that is expected to be free after a wait.
func (c *candidate) freeIn(wait time.Duration) hswork.Resources {
	free := c.offer.free
	for _, r := range c.releases {
		if r.endsIn <= wait {
			free = free.Plus(r.resources)
		}
	}
	return free
}

// earliestFitOn returns the workers on one rack, or on any for an empty rack, where all tasks of a unit are expected
// to fit first, and the time until then, up to a limit. Suspect workers, those without enough trust, reserved ones and those
// too slow for the unit are left out. Long-running runs aren't expected to end.
func (d *Dispatcher) earliestFitOn(u *unit, offers []*offer, rack hswork.Label, limit time.Duration, now time.Time) ([]*candidate, time.Duration) {
	var candidates []*candidate
	waits := []time.Duration{0}
	for _, o := range offers {
		if o.reserved != nil || rack != "" && o.rack != rack || !o.suits(u.job.Pool, u.step) || o.worker.health.suspect() || d.distrust(u, o) > 0 || d.isTooSlow(u, o.worker) {
			continue
		}
		c := &candidate{offer: o}
		for _, p := range d.placedOn(o.worker.id) {
			if p.step.LongRunning && !d.stopping[p.run] {
				continue
			}
			r := release{endsIn: d.remainingOn(p, o.worker, now), resources: need(p.step)}
			if r.endsIn > limit {
				continue
			}
			c.releases = append(c.releases, r)
			waits = append(waits, r.endsIn)
		}
		candidates = append(candidates, c)
	}
	slices.Sort(waits)
	counts := d.occupancy(u)
	for _, wait := range slices.Compact(waits) {
		if used := fitIn(u, candidates, wait, counts); used != nil {
			return used, wait
		}
	}
	return nil, never
}

// fitIn returns the candidates that together are expected to fit all tasks of a unit after a wait, or nil. It sets
// their taken and tasks fields.
func fitIn(u *unit, candidates []*candidate, wait time.Duration, counts map[hsid.InstanceID]int) []*candidate {
	left := len(u.tasks)
	var used []*candidate
	n := need(u.step)
	for _, c := range candidates {
		c.taken = hswork.Resources{}
		c.tasks = counts[c.offer.worker.id]
		free := c.freeIn(wait)
		for left > 0 && free.Minus(c.taken).Holds(n) && (u.step.Spread == 0 || c.tasks < u.step.Spread) {
			c.taken = c.taken.Plus(n)
			c.tasks++
			left--
		}
		if c.taken != (hswork.Resources{}) {
			used = append(used, c)
		}
	}
	if left > 0 {
		return nil
	}
	return used
}
