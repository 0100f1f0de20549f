// Package hsplacement chooses the workers and accelerators for a job.
//
// A job is placed whole or not at all: the same number of adjacent accelerators on each of the asked
// number of workers, all in one rack. Among the places that fit, the one with the lowest cost wins.
// The cost weighs two aims against each other. Fragmentation counts what the choice breaks up: whole
// workers, whole racks, and the rest left over in a group. Completion counts what slows the job down:
// how busy a worker is, and whether the job failed there before. Ties go to the first in order of
// names, so equal inputs give equal placements.
//
// # Usage
//
//	members := hsplacement.Place(layout, weights, hsplacement.Request{Spec: &job.Spec})
//	if members == nil {
//		return // it fits nowhere now
//	}
package hsplacement

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Weights tell how much each aim counts. The zero value takes the first place that fits.
type Weights struct {
	Completion    float64
	Fragmentation float64
}

// Costs of a place, before they are weighed.
const (
	costWholeWorker = 1.0
	costWholeRack   = 0.5
	costLeftover    = 1.0
	costBusy        = 1.0
	costFailedHere  = 8.0
	// costBorrow counts accelerators of a home that isn't the job's own.
	costBorrow = 2.0
	// costReserved counts accelerators that are reserved for another job.
	costReserved = 4.0
	// costOwnHome counts accelerators of the job's own home that a smaller job takes.
	costOwnHome = 1.5
	// gainProbe draws a small job to a worker that is to be probed, costProbe keeps other jobs off it
	// while they fit elsewhere.
	gainProbe = 4.0
	costProbe = 16.0
)

// Request is one job to be placed. The masks are indexed like Layout.Slots; nil stands for none.
type Request struct {
	Spec *hsstate.Spec
	// Closed holds the accelerators that the job must not take.
	Closed []hsfleet.Mask
	// Own holds the accelerators of homes of the job's workspace.
	Own []hsfleet.Mask
	// Borrowed holds the accelerators of other homes that the job may borrow.
	Borrowed []hsfleet.Mask
	// Reserved holds the accelerators of reservations that the job may fill.
	Reserved []hsfleet.Mask
	// PreferOwn is set when the job has the shape of its guarantee.
	PreferOwn bool
	// FailedOn lists workers on which the job failed.
	FailedOn []hsid.InstanceID
	// Probe tells whether the job may be the probe of a quarantined worker.
	Probe Probe
}

// Probe is how willingly a job is made a probe.
type Probe int

// The ways of a job with probes.
const (
	// ProbeOverdue: only where a probe is overdue, and if it fits nowhere else.
	ProbeOverdue Probe = iota
	// ProbeLast: if it fits nowhere else.
	ProbeLast
	// ProbeFirst: rather than elsewhere.
	ProbeFirst
)

// candidate is a part of the job on one worker.
type candidate struct {
	slot *hsfleet.Slot
	mask hsfleet.Mask
	cost float64
}

// Place returns one placement for each member, or nil when the job doesn't fit now.
func Place(l *hsfleet.Layout, w Weights, q Request) []hsstate.Placement {
	var best []candidate
	var bestCost float64
	for i := range l.Racks {
		parts := rackCandidates(l.Racks[i].Slots, w, &q)
		if hsid.WorkerCount(len(parts)) < q.Spec.Shape.Workers {
			continue
		}
		parts = cheapest(parts, int(q.Spec.Shape.Workers))
		cost := w.Fragmentation * rackCost(&l.Racks[i])
		for _, c := range parts {
			cost += c.cost
		}
		if best == nil || cost < bestCost {
			best = parts
			bestCost = cost
		}
	}
	return placements(best)
}

func placements(parts []candidate) []hsstate.Placement {
	if parts == nil {
		return nil
	}
	members := make([]hsstate.Placement, 0, len(parts))
	for _, c := range parts {
		members = append(members, PlacementOn(c.slot, c.mask))
	}
	return members
}

// PlacementOn returns the placement of a mask on a worker, with the lives of agent and endpoint.
func PlacementOn(s *hsfleet.Slot, m hsfleet.Mask) hsstate.Placement {
	return hsstate.Placement{
		Worker:       s.ID,
		Incarnation:  s.Worker.Report.Incarnation,
		Endpoint:     s.Worker.Report.Worker.Endpoint,
		Accelerators: m.Set(),
	}
}

func rackCandidates(slots []*hsfleet.Slot, w Weights, q *Request) []candidate {
	var parts []candidate
	for _, s := range slots {
		if !s.RoomFor(q.Spec) || s.Probe && q.Probe == ProbeOverdue && !s.Overdue {
			continue
		}
		if c, ok := bestGroup(s, w, q); ok {
			parts = append(parts, c)
		}
	}
	return parts
}

// cheapest keeps the n candidates of least cost, in the order of their workers' names.
func cheapest(parts []candidate, n int) []candidate {
	if n == 1 {
		return []candidate{slices.MinFunc(parts, compareCost)}
	}
	slices.SortStableFunc(parts, compareCost)
	parts = parts[:n]
	slices.SortFunc(parts, func(a, b candidate) int { return a.slot.Index - b.slot.Index })
	return parts
}

func compareCost(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }

func at(masks []hsfleet.Mask, i int) hsfleet.Mask {
	if masks == nil {
		return 0
	}
	return masks[i]
}

// bestGroup chooses the group of a worker that costs least.
func bestGroup(s *hsfleet.Slot, w Weights, q *Request) (candidate, bool) {
	best := candidate{slot: s}
	found := false
	n := q.Spec.Shape.PerWorker
	open := s.Free &^ at(q.Closed, s.Index)
	for _, g := range s.Worker.Groups() {
		fit := open & g
		if fit.Count() < n {
			continue
		}
		mask := choose(fit, n, at(q.Own, s.Index), at(q.Borrowed, s.Index)|at(q.Reserved, s.Index), q.PreferOwn)
		cost := cost(s, g, mask, w, q)
		if !found || cost < best.cost {
			best.mask = mask
			best.cost = cost
			found = true
		}
	}
	return best, found
}

// choose takes n accelerators out of fit: with preferOwn those of the own home first, otherwise those
// of no home first and lent ones (borrowed or reserved for others) last.
func choose(fit hsfleet.Mask, n hsid.Accelerators, own, lent hsfleet.Mask, preferOwn bool) hsfleet.Mask {
	order := []hsfleet.Mask{fit &^ own &^ lent, fit & own &^ lent, fit & lent}
	if preferOwn {
		order[0], order[1] = order[1], order[0]
	}
	var mask hsfleet.Mask
	for _, m := range order {
		mask |= m.Lowest(n - mask.Count())
	}
	return mask
}

func cost(s *hsfleet.Slot, group, mask hsfleet.Mask, w Weights, q *Request) float64 {
	all := float64(s.Worker.All().Count())
	left := float64((s.Free & group &^ mask).Count())
	frag := costLeftover * left / all
	if s.Whole() && left > 0 {
		frag += costWholeWorker
	}
	slow := costBusy * float64(s.Held.Count()) / all
	total := w.Fragmentation*frag + w.Completion*slow
	if slices.Contains(q.FailedOn, s.ID) {
		total += costFailedHere
	}
	total += costBorrow * share(mask, at(q.Borrowed, s.Index))
	total += costReserved * share(mask, at(q.Reserved, s.Index))
	own := share(mask, at(q.Own, s.Index))
	if q.PreferOwn {
		own = own - 1
	}
	total += costOwnHome * own
	switch {
	case s.Probe && q.Probe == ProbeFirst:
		total -= gainProbe
	case s.Probe:
		total += costProbe
	}
	return total
}

// share returns the part of a mask that lies in another one.
func share(mask, in hsfleet.Mask) float64 {
	return float64((mask & in).Count()) / float64(mask.Count())
}

// rackCost counts a rack of which nothing is held yet.
func rackCost(r *hsfleet.Rack) float64 {
	for _, s := range r.Slots {
		if !s.Whole() {
			return 0
		}
	}
	return costWholeRack
}
