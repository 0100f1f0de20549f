package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// schedule visits what is ready in order and starts what fits.
func (d *Dispatcher) schedule(now time.Time) {
	rooms := d.rooms(now)
	units := d.units(now)
	d.dropClaims(units, now)
	full := map[shape]bool{}
	for _, u := range units {
		if c := d.claims[u.key()]; c != nil {
			d.tryClaim(u, c, rooms, now)
			continue
		}
		if !d.mayRestart(u, now) {
			continue
		}
		same := shapeOf(u)
		if full[same] && !u.covered {
			continue
		}
		if members := d.place(u, rooms); members != nil {
			d.start(u, members, now)
			continue
		}
		soonest, at := d.soonest(u, rooms, now)
		far := d.maySpread(u, at, now)
		if far {
			if members := d.spreadOver(u, rooms, "", fits); members != nil {
				d.start(u, take(u, members, rooms), now)
				continue
			}
		}
		d.ask(u, rooms, now)
		full[same] = full[same] || !d.needsPermit(u.job)
		if at > d.waits(u) && d.mayPreempt(u, now) && d.claimFor(u, rooms, far, now) {
			continue
		}
		d.reserve(soonest, at, rooms)
	}
}

// shape is what makes two units alike for placement.
type shape struct {
	pool     hswork.PoolName
	need     hswork.Resources
	count    int
	label    hswork.Label
	dataRack hswork.Label
	sameRack bool
	spread   int
}

func shapeOf(u *unit) shape {
	return shape{
		pool:     u.job.Pool,
		need:     need(u.step),
		count:    len(u.tasks),
		label:    u.step.Label,
		dataRack: u.step.DataRack,
		sameRack: u.step.SameRack,
		spread:   u.step.Spread,
	}
}

// start proposes the start of a unit.
func (d *Dispatcher) start(u *unit, members []hswork.Member, now time.Time) {
	s := &hswork.Start{Number: u.number, Members: members}
	if !d.ports.Log.ProposeWork(&hswork.Command{Start: s}) {
		return
	}
	d.starting[u.key()] = s
	d.ports.Observer.Placed(s, now.Sub(u.since))
}
