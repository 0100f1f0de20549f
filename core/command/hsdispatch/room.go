package hsdispatch

import (
	"slices"
	"strings"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// room is what is free on a worker that takes new runs.
type room struct {
	worker *worker
	rack   hswork.Label
	all    hswork.Resources
	free   hswork.Resources
	// reserved is set while the room is kept for a unit that waits.
	reserved *reservation
}

// rooms returns the workers that take new runs of any pool, in order, with what nobody holds or claims.
func (d *Dispatcher) rooms(now time.Time) []*room {
	var rooms []*room
	for _, w := range d.workers {
		if usableTally(&w.tally) && now.Sub(w.heard) < silence && !d.isVacant(w.tally.Endpoint.ID, now) {
			w.health.forgive(now)
			e := &w.tally.Endpoint
			rooms = append(rooms, &room{worker: w, rack: e.Rack, all: e.Capacity, free: e.Capacity.Minus(d.used(w))})
		}
	}
	d.cores = 0
	for _, r := range rooms {
		d.cores += coresOfNeed(r.all)
	}
	slices.SortFunc(rooms, func(a, b *room) int { return strings.Compare(string(a.worker.id), string(b.worker.id)) })
	taken := func(m hswork.Member) {
		if r := roomOf(rooms, m.Worker); r != nil {
			r.free = r.free.Minus(need(&d.state.Jobs[m.Task.Work].Steps[m.Task.Step]))
		}
	}
	for _, s := range d.starting {
		for _, m := range s.Members {
			taken(m)
		}
	}
	for _, c := range d.claims {
		for _, m := range c.members {
			taken(m)
		}
	}
	return rooms
}

// used returns what the placed runs of a worker hold, and what runs there without being placed.
func (d *Dispatcher) used(w *worker) hswork.Resources {
	var used hswork.Resources
	runs := d.placedOn(w.id)
	for _, p := range runs {
		used = used.Plus(need(p.step))
	}
	for _, r := range w.tally.Running {
		j := d.state.Jobs[r.Run.Task.Work]
		stray := !slices.ContainsFunc(runs, func(p placedRun) bool { return p.run == r.Run })
		if stray && j != nil && r.Run.Task.Step < len(j.Steps) {
			used = used.Plus(need(&j.Steps[r.Run.Task.Step]))
		}
	}
	return used
}

func roomOf(rooms []*room, id hsid.InstanceID) *room {
	for _, r := range rooms {
		if r.worker.id == id {
			return r
		}
	}
	return nil
}

// suits reports whether a worker may run the tasks of a step at all, whatever it runs now.
func (r *room) suits(pool hswork.PoolName, s *hswork.Step) bool {
	e := &r.worker.tally.Endpoint
	return e.Pool == pool && (s.Label == "" || slices.Contains(e.Labels, s.Label)) && r.all.Holds(need(s))
}

func (r *room) member(t hswork.TaskID) hswork.Member {
	return hswork.Member{Task: t, Worker: r.worker.id, Life: r.worker.tally.Endpoint.Life}
}
