// Package hsplacement chooses the workers and accelerators for a job.
//
// A job is placed completely or not at all: it gets the same number of adjacent accelerators on each of the requested
// number of workers, all in one rack. Among the placements that fit, the one with the lowest cost is chosen.
//
// The cost is a weighted sum of two objectives. Fragmentation counts what a placement breaks up: idle workers, idle
// racks, and the accelerators left over in a group. Completion counts what slows the job down: how busy a worker is.
// Costs that aren't weighted are added for workers on which the job failed before, for the homes and reservations
// that the placement uses, and for probes of quarantined workers.
//
// Among placements of equal cost, the first in the order of racks and worker names is chosen, so equal inputs give
// equal placements.
//
// # Usage
//
//	members := hsplacement.Place(layout, weights, hsplacement.Request{Spec: &job.Spec})
//	if members == nil {
//		return // the job doesn't fit now
//	}
package hsplacement

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Weights are the weights of the two objectives. With the zero value they don't count: unless the other costs differ,
// the first placement that fits is chosen.
type Weights struct {
	Completion    float64
	Fragmentation float64
}

// Costs of the part of a placement on one worker, and of its rack.
const (
	// costBreakWorker and costBreakRack count an idle worker that is used in part, and an idle rack. They and
	// costLeftover, which counts the share of a worker left over in the group, are weighted by Weights.Fragmentation.
	costBreakWorker = 1.0
	costBreakRack   = 0.5
	costLeftover    = 1.0
	// costBusy counts the share of the worker's accelerators that is in use, weighted by Weights.Completion.
	costBusy = 1.0
	// The costs below aren't weighted. costFailedBefore counts a worker on which the job failed.
	costFailedBefore = 8.0
	// costBorrow counts the share of the job's accelerators that is in the homes of other workspaces.
	costBorrow = 2.0
	// costReserved counts the share that is reserved for other jobs.
	costReserved = 4.0
	// costOwnHome counts the share that is in the workspace's own homes, against jobs smaller than the guarantee.
	costOwnHome = 1.5
	// probeBonus attracts jobs with ProbePreferred to a worker that is due for a probe; probePenalty keeps other jobs
	// off it while they fit elsewhere.
	probeBonus   = 4.0
	probePenalty = 16.0
)

// Request describes the job to be placed. The masks are indexed like Layout.Slots; nil stands for none.
type Request struct {
	Spec *hsstate.Spec
	// Excluded holds the accelerators that the job must not use.
	Excluded []hsfleet.Mask
	// OwnHomes holds the accelerators in the homes of the job's workspace.
	OwnHomes []hsfleet.Mask
	// Borrowed holds the accelerators in the homes of other workspaces that the job may use.
	Borrowed []hsfleet.Mask
	// Reserved holds the accelerators reserved for other jobs on which the job may be backfilled.
	Reserved []hsfleet.Mask
	// PreferOwnHomes is set when the job has the shape of one of its workspace's guarantees.
	PreferOwnHomes bool
	// FailedOn lists the workers on which the job failed.
	FailedOn []hsid.InstanceID
	// Probe says when the job may serve as the probe of a quarantined worker.
	Probe ProbePreference
}

// ProbePreference says when a job may serve as the probe of a quarantined worker.
type ProbePreference int

// The probe preferences.
const (
	// ProbeIfOverdue: only where the probe is overdue, and if the job fits nowhere else.
	ProbeIfOverdue ProbePreference = iota
	// ProbeIfNecessary: only if the job fits nowhere else.
	ProbeIfNecessary
	// ProbePreferred: in preference to other workers.
	ProbePreferred
)

// candidate is a possible placement of one member of the job on one worker.
type candidate struct {
	slot *hsfleet.Slot
	mask hsfleet.Mask
	cost float64
}

// Place returns one placement for each member of the job, or nil when the job doesn't fit now. It changes nothing.
func Place(l *hsfleet.Layout, w Weights, request Request) []hsstate.Placement {
	var best []candidate
	var bestCost float64
	for i := range l.Racks {
		candidates := rackCandidates(l.Racks[i].Slots, w, &request)
		if hsid.WorkerCount(len(candidates)) < request.Spec.Shape.Workers {
			continue
		}
		candidates = cheapest(candidates, int(request.Spec.Shape.Workers))
		cost := w.Fragmentation * rackCost(&l.Racks[i])
		for _, c := range candidates {
			cost += c.cost
		}
		if best == nil || cost < bestCost {
			best = candidates
			bestCost = cost
		}
	}
	return toPlacements(best)
}

// toPlacements returns the placements of candidates, and nil for nil.
func toPlacements(candidates []candidate) []hsstate.Placement {
	if candidates == nil {
		return nil
	}
	members := make([]hsstate.Placement, 0, len(candidates))
	for _, c := range candidates {
		members = append(members, NewPlacement(c.slot, c.mask))
	}
	return members
}

// NewPlacement returns the placement of a mask on a worker, with the current incarnations of its agent and endpoint.
func NewPlacement(s *hsfleet.Slot, m hsfleet.Mask) hsstate.Placement {
	return hsstate.Placement{
		Worker:       s.ID,
		Incarnation:  s.Worker.Report.Incarnation,
		Endpoint:     s.Worker.Report.Worker.Endpoint,
		Accelerators: m.Set(),
	}
}

// rackCandidates returns the best candidate on each worker of a rack that has room for one member of the job.
func rackCandidates(slots []*hsfleet.Slot, w Weights, request *Request) []candidate {
	var candidates []candidate
	for _, s := range slots {
		if !s.RoomFor(request.Spec) || s.ProbeDue && request.Probe == ProbeIfOverdue && !s.ProbeOverdue {
			continue
		}
		if c, ok := bestGroup(s, w, request); ok {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// cheapest returns the n candidates of least cost, in the order of their workers' names. It reorders its argument.
func cheapest(candidates []candidate, n int) []candidate {
	if n == 1 {
		return []candidate{slices.MinFunc(candidates, compareCost)}
	}
	slices.SortStableFunc(candidates, compareCost)
	candidates = candidates[:n]
	slices.SortFunc(candidates, func(a, b candidate) int { return a.slot.Index - b.slot.Index })
	return candidates
}

func compareCost(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }

// maskAt returns the mask of the slot with index i; nil masks are empty.
func maskAt(masks []hsfleet.Mask, i int) hsfleet.Mask {
	if masks == nil {
		return 0
	}
	return masks[i]
}

// bestGroup returns the candidate on the group of adjacent accelerators of a worker that costs least, and false when
// no group has enough available accelerators.
func bestGroup(s *hsfleet.Slot, w Weights, request *Request) (candidate, bool) {
	best := candidate{slot: s}
	found := false
	n := request.Spec.Shape.PerWorker
	available := s.Free &^ maskAt(request.Excluded, s.Index)
	for _, g := range s.Worker.Groups() {
		inGroup := available & g
		if inGroup.Count() < n {
			continue
		}
		mask := chooseAccelerators(inGroup, n, maskAt(request.OwnHomes, s.Index), maskAt(request.Borrowed, s.Index)|maskAt(request.Reserved, s.Index), request.PreferOwnHomes)
		cost := groupCost(s, g, mask, w, request)
		if !found || cost < best.cost {
			best.mask = mask
			best.cost = cost
			found = true
		}
	}
	return best, found
}

// chooseAccelerators takes n of the available accelerators: those in no home first, then those of the workspace's own
// homes, and foreign ones (borrowed, or reserved for other jobs) last. With preferOwnHomes, own homes come first.
func chooseAccelerators(available hsfleet.Mask, n hsid.Accelerators, own, foreign hsfleet.Mask, preferOwnHomes bool) hsfleet.Mask {
	preference := []hsfleet.Mask{available &^ own &^ foreign, available & own &^ foreign, available & foreign}
	if preferOwnHomes {
		preference[0], preference[1] = preference[1], preference[0]
	}
	var mask hsfleet.Mask
	for _, m := range preference {
		mask |= m.Lowest(n - mask.Count())
	}
	return mask
}

// groupCost returns the cost of placing one member on the accelerators of mask, which are part of a group.
func groupCost(s *hsfleet.Slot, group, mask hsfleet.Mask, w Weights, request *Request) float64 {
	all := float64(s.Worker.All().Count())
	leftover := float64((s.Free & group &^ mask).Count())
	fragmentation := costLeftover * leftover / all
	if s.Idle() && leftover > 0 {
		fragmentation += costBreakWorker
	}
	slowdown := costBusy * float64(s.Held.Count()) / all
	total := w.Fragmentation*fragmentation + w.Completion*slowdown
	if slices.Contains(request.FailedOn, s.ID) {
		total += costFailedBefore
	}
	total += costBorrow * fractionIn(mask, maskAt(request.Borrowed, s.Index))
	total += costReserved * fractionIn(mask, maskAt(request.Reserved, s.Index))
	ownShare := fractionIn(mask, maskAt(request.OwnHomes, s.Index))
	if request.PreferOwnHomes {
		ownShare = -ownShare
	}
	total += costOwnHome * ownShare
	switch {
	case s.ProbeDue && request.Probe == ProbePreferred:
		total -= probeBonus
	case s.ProbeDue:
		total += probePenalty
	}
	return total
}

// fractionIn returns the fraction of a mask's accelerators that are also in set. The mask must not be empty.
func fractionIn(mask, set hsfleet.Mask) float64 {
	return float64((mask & set).Count()) / float64(mask.Count())
}

// rackCost returns the cost of breaking up a rack, which is 0 when any of its workers is in use.
func rackCost(r *hsfleet.Rack) float64 {
	for _, s := range r.Slots {
		if !s.Idle() {
			return 0
		}
	}
	return costBreakRack
}
