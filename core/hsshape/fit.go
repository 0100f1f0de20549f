package hsshape

import (
	"slices"

	"hyssopseam/core/hsid"
)

// Set is an ascending list of accelerator positions on one worker.
type Set []hsid.AcceleratorIndex

// Group is one set of adjacent accelerators of a worker, as its endpoint announced it.
type Group = Set

// Count returns how many accelerators the set holds.
func (s Set) Count() hsid.Accelerators {
	return hsid.Accelerators(len(s))
}

// Contains reports whether the set holds x.
func (s Set) Contains(x hsid.AcceleratorIndex) bool {
	_, ok := slices.BinarySearch(s, x)
	return ok
}

// Overlaps reports whether two sets share an accelerator.
func (s Set) Overlaps(o Set) bool {
	return slices.ContainsFunc(s, o.Contains)
}

// Pick chooses n free adjacent accelerators. It takes them from the group that has the fewest free
// ones left afterwards, so that large groups stay whole. It returns nil when no group has n free.
func Pick(groups []Group, free func(hsid.AcceleratorIndex) bool, n hsid.Accelerators) Set {
	var best Set
	for _, g := range groups {
		var open Set
		for _, x := range g {
			if free(x) {
				open = append(open, x)
			}
		}
		if open.Count() < n {
			continue
		}
		if best == nil || len(open) < len(best) {
			best = open
		}
	}
	if best == nil {
		return nil
	}
	return best[:n:n]
}

// Largest returns the size of the largest group.
func Largest(groups []Group) hsid.Accelerators {
	var most hsid.Accelerators
	for _, g := range groups {
		most = max(most, g.Count())
	}
	return most
}

// WholeWorker returns the group of a worker whose n accelerators are all adjacent.
func WholeWorker(n hsid.Accelerators) []Group {
	g := make(Group, n)
	for i := range g {
		g[i] = hsid.AcceleratorIndex(i)
	}
	return []Group{g}
}
