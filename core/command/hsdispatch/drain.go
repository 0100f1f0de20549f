package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// drainDuration is how long an endpoint gets no new runs after the last call of Drain for it.
const drainDuration = 2 * time.Second

// Drain moves the runs off an endpoint. It gets no new runs for drainDuration, and its runs are stopped to be
// restarted on other workers: those that checkpoint their progress, and long-running ones unless too many of their
// step are unavailable. With force, runs that lose their work are stopped too, within the same limit. It reports
// whether nothing is placed or running there.
func (d *Dispatcher) Drain(id hswork.EndpointID, force bool) bool {
	now := d.ports.Clock.Now()
	d.drainingUntil[id] = now.Add(drainDuration)
	for _, w := range d.workers {
		if w.report.Endpoint.ID != id {
			continue
		}
		runs := d.placedOn(w.id)
		for _, p := range runs {
			movable := p.step.Checkpoints || p.step.LongRunning || force
			if movable && !d.atMaxUnavailable(p) && !d.stopping[p.run] && !d.proposedEnds[p.run] {
				d.stopRun(p, StopMaintenance, "")
			}
		}
		return len(runs) == 0 && len(w.report.Running) == 0
	}
	return true
}

// isDraining reports whether an endpoint gets no new runs because of Drain.
func (d *Dispatcher) isDraining(id hswork.EndpointID, now time.Time) bool {
	return now.Before(d.drainingUntil[id])
}
