// Package hshome assigns homes: the sets of adjacent accelerators that back the guarantees.
//
// Each guarantee gets its own home, and homes don't overlap. An assigned home is kept as long as its workers are
// announced and its guarantee is in force. When that leaves a guarantee without a home, all homes are assigned
// again from scratch, and the new assignment is used if it backs more guarantees. Backing a guarantee with a
// concrete set of adjacent accelerators follows HiveD (Zhao and others, OSDI 2020), with racks and workers as the
// cells.
//
// The control role commits the result of Assign, and the reports use SinglePointsOfFailure. The package reads a
// Layout and changes nothing.
//
// # Usage
//
//	homes := hshome.Assign(layout, rules.Guarantees, state.Homes)
package hshome

import (
	"fmt"
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// unavailable holds the accelerators that can't be assigned any more, because they belong to a home or their worker
// is excluded. It is indexed like Layout.Slots.
type unavailable []hsfleet.Mask

// Assign returns one home for each guarantee, in their order. It keeps the current homes where that is possible. The
// home of a guarantee that can't be backed has no parts, but a reason.
func Assign(l *hsfleet.Layout, guarantees []hsstate.Guarantee, current []hsstate.Home) []hsstate.Home {
	kept := assign(l, guarantees, current, nil)
	if CountBacked(kept) == len(guarantees) {
		return kept
	}
	reassigned := assign(l, guarantees, nil, nil)
	if CountBacked(reassigned) > CountBacked(kept) {
		return reassigned
	}
	return kept
}

// CountBacked returns the number of homes that back their guarantee, those with parts.
func CountBacked(homes []hsstate.Home) int {
	backed := 0
	for _, h := range homes {
		if len(h.Parts) > 0 {
			backed++
		}
	}
	return backed
}

// assign keeps the current homes that it can and assigns the remaining ones, the largest shapes first. It doesn't use
// the workers in failed.
func assign(l *hsfleet.Layout, guarantees []hsstate.Guarantee, current []hsstate.Home, failed []hsid.InstanceID) []hsstate.Home {
	used := make(unavailable, len(l.Slots))
	for _, id := range failed {
		if s := l.Slot(id); s != nil {
			used[s.Index] = s.Worker.All()
		}
	}
	homes := make([]hsstate.Home, len(guarantees))
	for i := range guarantees {
		homes[i] = hsstate.Home{Workspace: guarantees[i].Workspace, Shape: guarantees[i].Shape}
		if h := HomeOf(current, &guarantees[i]); h != nil && used.tryKeep(l, h) {
			homes[i].Parts = h.Parts
		}
	}
	order := make([]int, len(guarantees))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(guarantees[b].Shape.Total() - guarantees[a].Shape.Total())
	})
	for _, i := range order {
		if homes[i].Parts == nil {
			homes[i].Parts, homes[i].Reason = used.choose(l, &guarantees[i])
		}
	}
	return homes
}

// HomeOf returns the home of a guarantee, or nil when homes has none for it.
func HomeOf(homes []hsstate.Home, g *hsstate.Guarantee) *hsstate.Home {
	for i := range homes {
		if homes[i].Workspace == g.Workspace && homes[i].Shape == g.Shape {
			return &homes[i]
		}
	}
	return nil
}

// tryKeep marks a home as unavailable to others and returns true, if its workers are announced with the same
// accelerators and no other home overlaps it.
func (u unavailable) tryKeep(l *hsfleet.Layout, h *hsstate.Home) bool {
	if len(h.Parts) == 0 {
		return false
	}
	for _, p := range h.Parts {
		s := l.Slot(p.Worker)
		m := hsfleet.MaskOf(p.Accelerators)
		if s == nil || !s.Worker.Announced() || m&^s.Worker.All() != 0 || u[s.Index]&m != 0 {
			return false
		}
	}
	for _, p := range h.Parts {
		u[l.Slot(p.Worker).Index] |= hsfleet.MaskOf(p.Accelerators)
	}
	return true
}

// candidate is a possible part of a home on one worker. Lower costs are preferred.
type candidate struct {
	slot *hsfleet.Slot
	mask hsfleet.Mask
	cost int
}

// choose returns the cheapest home for a guarantee and marks it as unavailable. Without a home it returns the reason.
func (u unavailable) choose(l *hsfleet.Layout, g *hsstate.Guarantee) ([]hsstate.HomePart, string) {
	candidateOn := func(s *hsfleet.Slot) (candidate, bool) {
		if !s.Worker.Announced() || s.Worker.Quarantined {
			return candidate{}, false
		}
		return u.cheapestGroup(s, g.Shape.PerWorker)
	}
	best, most := hsfleet.BestRack(l, g.Shape.Workers, candidateOn,
		func(a, b candidate) int { return a.cost - b.cost }, totalCost)
	if best == nil {
		return nil, fmt.Sprintf("no rack has %d workers with %d adjacent accelerators outside other homes; the best has %d",
			g.Shape.Workers, g.Shape.PerWorker, most)
	}
	var home []hsstate.HomePart
	for _, c := range best {
		u[c.slot.Index] |= c.mask
		home = append(home, hsstate.HomePart{Worker: c.slot.ID, Accelerators: c.mask.Set()})
	}
	return home, ""
}

func totalCost(parts []candidate) int {
	cost := 0
	for _, c := range parts {
		cost += c.cost
	}
	return cost
}

// cheapestGroup returns the cheapest n adjacent accelerators on a worker. It prefers free accelerators to held ones,
// and then the group in which the fewest accelerators are left over.
func (u unavailable) cheapestGroup(s *hsfleet.Slot, n hsid.Accelerators) (candidate, bool) {
	best := candidate{slot: s}
	found := false
	for _, g := range s.Worker.Groups() {
		available := g &^ u[s.Index]
		if available.Count() < n {
			continue
		}
		mask := (available &^ s.Held).Lowest(n)
		mask |= (available & s.Held).Lowest(n - mask.Count())
		held := int((mask & s.Held).Count())
		cost := held*int(s.Worker.All().Count()+1) + int(available.Count()-n)
		if !found || cost < best.cost {
			best = candidate{slot: s, mask: mask, cost: cost}
			found = true
		}
	}
	return best, found
}
