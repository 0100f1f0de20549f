package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// vacantFor is how long new tasks are kept off an endpoint after it was last asked to be vacated.
const vacantFor = 2 * time.Second

// Vacate keeps new tasks off an endpoint for a while and moves those away that keep their progress, and lasting
// ones of which enough others are at work; with force also those that lose their work. It reports whether
// nothing is left there.
func (d *Dispatcher) Vacate(id hswork.EndpointID, force bool) bool {
	now := d.ports.Clock.Now()
	d.vacant[id] = now.Add(vacantFor)
	for _, w := range d.workers {
		if w.tally.Endpoint.ID != id {
			continue
		}
		runs := d.placedOn(w.id)
		for _, p := range runs {
			movable := p.step.Saves || p.step.Lasts || force
			if movable && !d.spared(p) && !d.stopping[p.run] && !d.ending[p.run] {
				d.ports.Observer.Moved(p.run, w.id)
				d.giveWay(p)
			}
		}
		return len(runs) == 0 && len(w.tally.Running) == 0
	}
	return true
}

// isVacant reports whether an endpoint is kept free.
func (d *Dispatcher) isVacant(id hswork.EndpointID, now time.Time) bool {
	return now.Before(d.vacant[id])
}
