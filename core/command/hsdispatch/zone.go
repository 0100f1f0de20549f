package hsdispatch

import (
	"time"

	"hyssopseam/core/hsid"
)

// evacuationGrace is how long after the evacuation of a zone a start that was placed there before may still be under
// way. It is short against the seconds within which an evacuation has to be in force.
const evacuationGrace = time.Second

// isEvacuated reports whether the zone of a worker is evacuated.
func (d *Dispatcher) isEvacuated(w *worker) bool { return d.state.Evacuated(w.report.Zone) != nil }

// stopUnstarted stops the runs that were placed on workers of evacuated zones and haven't been reported as running
// within evacuationGrace, so that they start elsewhere. Only recent reports that know what runs on the endpoint count.
func (d *Dispatcher) stopUnstarted() {
	if len(d.state.EvacuatedZones) == 0 {
		return
	}
	for _, id := range d.workersWithRuns() {
		if w := d.workers[id]; w != nil {
			d.stopUnstartedOn(id, w)
		}
	}
}

func (d *Dispatcher) stopUnstartedOn(id hsid.InstanceID, w *worker) {
	z := d.state.Evacuated(w.report.Zone)
	if z == nil || d.ports.Log.Clock()-z.Since < evacuationGrace {
		return
	}
	if !w.report.ListsKnown || d.lastPass.Sub(w.lastHeard) > silenceTimeout {
		return
	}
	for _, p := range d.placedOn(id) {
		if _, began := d.runningSince[p.run]; !began && !d.stopping[p.run] && !d.proposedEnds[p.run] {
			d.stopRun(p, StopEvacuated, "")
		}
	}
}
