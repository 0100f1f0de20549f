package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// reservedShare bounds the workers with reservations, in percent of those in use.
	reservedShare = 50
	// never is later than any expected end.
	never = 24 * time.Hour
)

// reservation keeps room on a worker for a unit that waits until what runs there has ended.
type reservation struct {
	// at is how long it is until the room is there.
	at time.Duration
	// spare is what is free then beside the reserved room.
	spare hswork.Resources
}

// admits reports whether a unit of a lower rank may use a worker: it is over before the room is needed, or
// fits beside it.
func (v *reservation) admits(need hswork.Resources, runs time.Duration) bool {
	return v == nil || runs <= v.at || v.spare.Holds(need)
}

// soonest returns the workers where a unit that found no room will find it first, and how long that takes.
func (d *Dispatcher) soonest(u *unit, rooms []*room, now time.Time) ([]*candidate, time.Duration) {
	var best []*candidate
	bestAt := never
	racks := d.nearRacks(u, rooms)
	if racks == nil {
		racks = []hswork.Label{""}
	}
	for _, rack := range racks {
		if found, at := d.earliest(u, rooms, rack, now); found != nil && at < bestAt {
			best = found
			bestAt = at
		}
	}
	return best, bestAt
}

// reserve keeps room for a unit that waits. The units after it may go on only where they don't delay it.
func (d *Dispatcher) reserve(soonest []*candidate, at time.Duration, rooms []*room) {
	reserved := 0
	for _, r := range rooms {
		if r.reserved != nil {
			reserved++
		}
	}
	if 100*(reserved+len(soonest)) > reservedShare*len(rooms) {
		return
	}
	for _, x := range soonest {
		spare := x.freeAt(at).Minus(x.taken)
		x.room.reserved = &reservation{at: at, spare: spare}
	}
}

// candidate is a worker with the times at which its runs end.
type candidate struct {
	room  *room
	ends  []ending
	taken hswork.Resources
	count int
}

type ending struct {
	in   time.Duration
	need hswork.Resources
}

// freeAt returns what is free on the worker after a time.
func (x *candidate) freeAt(in time.Duration) hswork.Resources {
	free := x.room.free
	for _, e := range x.ends {
		if e.in <= in {
			free = free.Plus(e.need)
		}
	}
	return free
}

// earliest returns the workers, on one rack or on any, where all tasks of a unit fit first, and when.
func (d *Dispatcher) earliest(u *unit, rooms []*room, rack hswork.Label, now time.Time) ([]*candidate, time.Duration) {
	var workers []*candidate
	times := []time.Duration{0}
	for _, r := range rooms {
		if r.reserved != nil || rack != "" && r.rack != rack || !r.suits(u.job.Pool, u.step) || r.worker.health.suspect() {
			continue
		}
		x := &candidate{room: r}
		for _, p := range d.placedOn(r.worker.id) {
			e := ending{in: d.remaining(p, now), need: need(p.step)}
			x.ends = append(x.ends, e)
			times = append(times, e.in)
		}
		workers = append(workers, x)
	}
	slices.Sort(times)
	counts := d.occupancy(u)
	for _, at := range slices.Compact(times) {
		if used := fitAt(u, workers, at, counts); used != nil {
			return used, at
		}
	}
	return nil, never
}

// fitAt returns the workers that hold all tasks of a unit after a time, or nil.
func fitAt(u *unit, workers []*candidate, at time.Duration, counts map[hsid.InstanceID]int) []*candidate {
	left := len(u.tasks)
	var used []*candidate
	n := need(u.step)
	for _, x := range workers {
		x.taken = hswork.Resources{}
		x.count = counts[x.room.worker.id]
		free := x.freeAt(at)
		for left > 0 && free.Minus(x.taken).Holds(n) && (u.step.Spread == 0 || x.count < u.step.Spread) {
			x.taken = x.taken.Plus(n)
			x.count++
			left--
		}
		if x.taken != (hswork.Resources{}) {
			used = append(used, x)
		}
	}
	if left > 0 {
		return nil
	}
	return used
}
