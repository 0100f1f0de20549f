// Package hshome finds homes: the sets of adjacent accelerators that back the guarantees.
//
// Each guarantee gets a home of its own, and no accelerator belongs to two. A home stays where it is as
// long as its workers are there; it moves only when they are gone or the rule is. When that leaves a
// guarantee without a home, all homes are found anew, and the result is taken if it backs more.
// Guaranteeing a concrete set of adjacent accelerators follows HiveD (Zhao and others, OSDI 2020),
// with racks and workers as the cells.
//
// The package is neutral ground: the control role commits what Assign returns, and the reports use
// Fragile. It reads a Layout and changes nothing.
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

// taken holds the accelerators that belong to some home, indexed like Layout.Slots.
type taken []hsfleet.Mask

// Assign returns one home for each guarantee, in their order. Homes that can stay do.
func Assign(l *hsfleet.Layout, guarantees []hsstate.Guarantee, current []hsstate.Home) []hsstate.Home {
	kept := assign(l, guarantees, current, nil)
	if Backed(kept) == len(guarantees) {
		return kept
	}
	fresh := assign(l, guarantees, nil, nil)
	if Backed(fresh) > Backed(kept) {
		return fresh
	}
	return kept
}

// Backed counts the homes that have parts.
func Backed(homes []hsstate.Home) int {
	backed := 0
	for _, h := range homes {
		if len(h.Parts) > 0 {
			backed++
		}
	}
	return backed
}

// assign keeps what can stay and then finds the rest, large shapes first. Workers in lost don't count.
func assign(l *hsfleet.Layout, guarantees []hsstate.Guarantee, current []hsstate.Home, lost []hsid.InstanceID) []hsstate.Home {
	used := make(taken, len(l.Slots))
	for _, id := range lost {
		if s := l.Slot(id); s != nil {
			used[s.Index] = s.Worker.All()
		}
	}
	homes := make([]hsstate.Home, len(guarantees))
	for i := range guarantees {
		homes[i] = hsstate.Home{Workspace: guarantees[i].Workspace, Shape: guarantees[i].Shape}
		if h := Find(current, &guarantees[i]); h != nil && used.keep(l, h) {
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
			homes[i].Parts, homes[i].Reason = used.find(l, &guarantees[i])
		}
	}
	return homes
}

// Find returns the home of a guarantee, or nil.
func Find(homes []hsstate.Home, g *hsstate.Guarantee) *hsstate.Home {
	for i := range homes {
		if homes[i].Workspace == g.Workspace && homes[i].Shape == g.Shape {
			return &homes[i]
		}
	}
	return nil
}

// keep marks a home as taken when all its workers are announced and no other home overlaps it.
func (t taken) keep(l *hsfleet.Layout, h *hsstate.Home) bool {
	if len(h.Parts) == 0 {
		return false
	}
	for _, p := range h.Parts {
		s := l.Slot(p.Worker)
		m := hsfleet.MaskOf(p.Accelerators)
		if s == nil || !s.Worker.Announced() || m&^s.Worker.All() != 0 || t[s.Index]&m != 0 {
			return false
		}
	}
	for _, p := range h.Parts {
		t[l.Slot(p.Worker).Index] |= hsfleet.MaskOf(p.Accelerators)
	}
	return true
}

// choice is a part of a home on one worker; the lowest cost is taken.
type choice struct {
	slot *hsfleet.Slot
	mask hsfleet.Mask
	cost int
}

// find chooses a home and marks it as taken.
func (t taken) find(l *hsfleet.Layout, g *hsstate.Guarantee) ([]hsstate.HomePart, string) {
	offer := func(s *hsfleet.Slot) (choice, bool) {
		if !s.Worker.Announced() || s.Worker.Quarantined {
			return choice{}, false
		}
		return t.cheapestGroup(s, g.Shape.PerWorker)
	}
	best, most := hsfleet.BestRack(l, g.Shape.Workers, offer,
		func(a, b choice) int { return a.cost - b.cost }, totalCost)
	if best == nil {
		return nil, fmt.Sprintf("no rack has %d workers with %d adjacent accelerators outside other homes; the best has %d",
			g.Shape.Workers, g.Shape.PerWorker, most)
	}
	var home []hsstate.HomePart
	for _, c := range best {
		t[c.slot.Index] |= c.mask
		home = append(home, hsstate.HomePart{Worker: c.slot.ID, Accelerators: c.mask.Set()})
	}
	return home, ""
}

func totalCost(parts []choice) int {
	cost := 0
	for _, c := range parts {
		cost += c.cost
	}
	return cost
}

// cheapestGroup prefers free accelerators, and then the group with the least left over.
func (t taken) cheapestGroup(s *hsfleet.Slot, n hsid.Accelerators) (choice, bool) {
	best := choice{slot: s}
	found := false
	for _, g := range s.Worker.Groups() {
		open := g &^ t[s.Index]
		if open.Count() < n {
			continue
		}
		mask := (open &^ s.Held).Lowest(n)
		mask |= (open & s.Held).Lowest(n - mask.Count())
		held := int((mask & s.Held).Count())
		cost := held*int(s.Worker.All().Count()+1) + int(open.Count()-n)
		if !found || cost < best.cost {
			best = choice{slot: s, mask: mask, cost: cost}
			found = true
		}
	}
	return best, found
}
