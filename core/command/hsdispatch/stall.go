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
	// noteTime is how long an end takes to be listed, committed and noted.
	noteTime = 300 * time.Millisecond
	// gangWaits is the progress from which on a member of a gang may be waiting for slower members: they end
	// together.
	gangWaits = 95
)

// progress is what was last seen of a run's progress.
type progress struct {
	percent hswork.Percent
	// at is when it was first seen.
	at time.Time
	// from is the progress at since, when the run was first seen at work.
	from  hswork.Percent
	since time.Time
}

// watch notes the progress that a tally tells.
func (d *Dispatcher) watch(t *hsmessage.Tally, now time.Time) {
	for _, r := range t.Running {
		p, ok := d.progress[r.Run]
		if !ok {
			p.from, p.since = r.Percent, now
		}
		if !ok || p.percent != r.Percent {
			p.percent, p.at = r.Percent, now
			d.progress[r.Run] = p
		}
	}
}

// moveRuns has runs stopped that make no progress, and those that won't be over before their worker leaves.
// They start anew elsewhere.
func (d *Dispatcher) moveRuns(now time.Time) {
	for _, id := range d.placedWorkers() {
		w := d.workers[id]
		if w == nil || now.Sub(w.heard) > silence || !w.tally.Healthy {
			continue
		}
		for _, p := range d.placedOn(id) {
			switch {
			case d.stopping[p.run] || d.ending[p.run] || p.job.Phase != hswork.Open:
			case p.step.Lasts && !w.tally.Endpoint.Leaving:
			case d.stalled(p, now):
				w.health.stalled(now)
				d.ports.Observer.Stalled(p.run, id)
				d.giveWay(p)
			case w.tally.Endpoint.Leaving && d.outlasts(p, w.tally.Endpoint.LeavesIn, now):
				d.ports.Observer.Moved(p.run, id)
				d.giveWay(p)
			}
		}
	}
}

// outlasts reports whether a run has to be stopped because its worker leaves: it isn't going to end in time, or
// the time is up. A run that ends in the moment in which its worker leaves would end unseen, and run again.
func (d *Dispatcher) outlasts(p placedRun, leaves time.Duration, now time.Time) bool {
	left := leaves - d.config.StopTimeout - noteTime
	return left <= 0 || d.remaining(p, now) > left
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
