package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// vacateDuration is how long an endpoint gets no new runs after the last call of Vacate for it.
const vacateDuration = 2 * time.Second

// Vacate drains an endpoint. It gets no new runs for vacateDuration, and its runs are stopped to be restarted on
// other workers: those that checkpoint their progress, and long-running ones unless too many of their step are
// unavailable. With force, runs that lose their work are stopped too, within the same limit. It reports whether
// nothing is placed or running there.
func (d *Dispatcher) Vacate(id hswork.EndpointID, force bool) bool {
	now := d.ports.Clock.Now()
	d.vacatedUntil[id] = now.Add(vacateDuration)
	for _, w := range d.workers {
		if w.report.Endpoint.ID != id {
			continue
		}
		runs := d.placedOn(w.id)
		for _, p := range runs {
			movable := p.step.Checkpoints || p.step.LongRunning || force
			if movable && !d.atMaxUnavailable(p) && !d.stopping[p.run] && !d.proposedEnds[p.run] {
				d.ports.Observer.Moved(p.run, w.id)
				d.stopRun(p)
			}
		}
		return len(runs) == 0 && len(w.report.Running) == 0
	}
	return true
}

// isVacated reports whether an endpoint gets no new runs because of Vacate.
func (d *Dispatcher) isVacated(id hswork.EndpointID, now time.Time) bool {
	return now.Before(d.vacatedUntil[id])
}
