package hsdispatch

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// offer is the free capacity of a worker that accepts new runs, as of one pass.
type offer struct {
	worker *worker
	rack   hswork.Label
	total  hswork.Resources
	// free may be negative while preempted runs still hold claimed capacity.
	free hswork.Resources
	// headroom is the part of free that is kept for units of priority 0 and others that lose no work.
	headroom hswork.Resources
	// trust is the level of the worker; TrustShort, and of no meaning, without Features.Trust.
	trust TrustLevel
	// reserved is set if capacity is reserved for a waiting unit.
	reserved *reservation
}

// offers returns the offers of the workers of all pools that accept new runs and aren't evacuated, in the order of the
// worker ids.
// Capacity that placed, stray, proposed and claimed runs use isn't free. It updates totalCores and load.
func (d *Dispatcher) offers(now time.Time) []*offer {
	var offers []*offer
	for _, w := range d.workers {
		if acceptsRuns(&w.report) && now.Sub(w.lastHeard) < silenceTimeout && !d.isDraining(w.report.Endpoint.ID, now) && !d.isEvacuated(w) {
			w.health.expireFailures(now)
			e := &w.report.Endpoint
			urgent := d.urgentUseOn(w)
			w.urgent.observe(urgent, now)
			offers = append(offers, &offer{
				worker: w, rack: e.Rack, total: e.Capacity, free: e.Capacity.Minus(d.usedOn(w)), headroom: w.urgent.headroom(urgent),
			})
		}
	}
	d.totalCores = 0
	var total, free hswork.Resources
	for _, o := range offers {
		d.totalCores += equivalentCores(o.total)
		total = total.Plus(o.total)
		free = free.Plus(o.free)
	}
	d.load = newLoad(total, free)
	d.total, d.free = total, free
	slices.SortFunc(offers, func(a, b *offer) int { return cmp.Compare(a.worker.id, b.worker.id) })
	d.updateTrust(offers, now)
	subtract := func(m hswork.Member) {
		if o, j := offerFrom(offers, m.Worker), d.state.Jobs[m.Task.Job]; o != nil && j != nil {
			o.free = o.free.Minus(need(&j.Steps[m.Task.Step]))
		}
	}
	for _, s := range d.proposedStarts {
		for _, m := range s.Members {
			subtract(m)
		}
	}
	for _, c := range d.claims {
		for _, m := range c.members {
			subtract(m)
		}
	}
	return offers
}

// usedOn returns the resources that the placed runs of a worker use, and those of stray runs, which run there without
// being placed.
func (d *Dispatcher) usedOn(w *worker) hswork.Resources {
	var used hswork.Resources
	for _, p := range d.placedOn(w.id) {
		used = used.Plus(need(p.step))
	}
	for _, r := range w.report.Running {
		j := d.state.Jobs[r.Run.Task.Job]
		if d.placed.workerOf[r.Run] == w.id || j == nil {
			continue
		}
		if s := j.Step(r.Run.Task); s != nil {
			used = used.Plus(need(s))
		}
	}
	return used
}

// urgentUseOn returns the resources that the placed runs of priority 0 use on a worker.
func (d *Dispatcher) urgentUseOn(w *worker) hswork.Resources {
	var used hswork.Resources
	for _, p := range d.placedOn(w.id) {
		if p.job.Priority == 0 {
			used = used.Plus(need(p.step))
		}
	}
	return used
}

// offerFrom returns the offer of a worker, or nil. The offers must be in the order of the worker ids.
func offerFrom(offers []*offer, id hsid.InstanceID) *offer {
	i, ok := slices.BinarySearchFunc(offers, id, func(o *offer, id hsid.InstanceID) int { return cmp.Compare(o.worker.id, id) })
	if !ok {
		return nil
	}
	return offers[i]
}

// suits reports whether a worker can run tasks of a step when idle: it is in the pool and has the label and the
// capacity.
func (o *offer) suits(pool hswork.PoolName, s *hswork.Step) bool {
	e := &o.worker.report.Endpoint
	return e.Pool == pool && (s.Label == "" || slices.Contains(e.Labels, s.Label)) && o.total.Holds(need(s))
}

// member returns the placement of a task on the worker.
func (o *offer) member(t hswork.TaskID) hswork.Member {
	return hswork.Member{Task: t, Worker: o.worker.id, EndpointIncarnation: o.worker.report.Endpoint.Incarnation}
}
