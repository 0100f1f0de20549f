package hsdispatch

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	// stallAfter is how long a run may make no progress before it is started elsewhere. Progress is told about
	// once a second.
	stallAfter = 2 * time.Second
	// gangStallAfter also gives the members of a gang the time to find each other.
	gangStallAfter = 4 * time.Second
	// redoShare is how long a run may make no progress for the work that it would lose, in percent of that work.
	redoShare = 50
	// gangWaits is the progress from which on a member of a gang may be waiting for slower members: they end
	// together.
	gangWaits = 95
)

// progress is what was last seen of a run's progress.
type progress struct {
	percent hswork.Percent
	// at is when it was first seen.
	at time.Time
}

// watch notes the progress that a tally tells.
func (d *Dispatcher) watch(t *hsmessage.Tally, now time.Time) {
	for _, r := range t.Running {
		if p, ok := d.progress[r.Run]; !ok || p.percent != r.Percent {
			d.progress[r.Run] = progress{percent: r.Percent, at: now}
		}
	}
}

// moveStalled has runs stopped that make no progress, and those that will be lost with their worker and keep
// their progress. They start anew elsewhere.
func (d *Dispatcher) moveStalled(now time.Time) {
	for _, id := range d.placedWorkers() {
		w := d.workers[id]
		if w == nil || now.Sub(w.heard) > silence || !w.tally.Healthy {
			continue
		}
		for _, p := range d.placedOn(id) {
			switch {
			case d.stopping[p.run] || d.ending[p.run] || p.job.Phase != hswork.Open || p.step.Lasts:
			case d.stalled(p, now):
				w.health.stalled(now)
				d.ports.Observer.Stalled(p.run, id)
				d.giveWay(p)
			case w.tally.Endpoint.Leaving && p.step.Saves && d.remaining(p, now) > w.tally.Endpoint.LeavesIn:
				d.ports.Observer.Moved(p.run, id)
				d.giveWay(p)
			}
		}
	}
}

// stalled reports whether a run makes no progress for longer than it is worth waiting for.
func (d *Dispatcher) stalled(p placedRun, now time.Time) bool {
	seen, ok := d.progress[p.run]
	if !ok {
		return false
	}
	limit := stallAfter
	if p.step.Gang {
		if seen.percent >= gangWaits {
			return false
		}
		limit = gangStallAfter
	}
	if began, ok := d.began[p.run]; ok && !p.step.Saves {
		limit = max(limit, seen.at.Sub(began)*redoShare/100)
	}
	return now.Sub(seen.at) > limit
}
