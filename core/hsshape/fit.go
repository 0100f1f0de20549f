package hsshape

import (
	"slices"

	"hyssopseam/core/hsid"
)

// Set is a set of accelerators of one worker, as an ascending list of their positions.
type Set []hsid.AcceleratorIndex

// Group is a set of adjacent accelerators of a worker, as its endpoint announced it.
type Group = Set

// Count returns the number of accelerators in the set.
func (s Set) Count() hsid.Accelerators {
	return hsid.Accelerators(len(s))
}

// Contains reports whether x is in the set.
func (s Set) Contains(x hsid.AcceleratorIndex) bool {
	_, ok := slices.BinarySearch(s, x)
	return ok
}

// Overlaps reports whether two sets share an accelerator.
func (s Set) Overlaps(o Set) bool {
	return slices.ContainsFunc(s, o.Contains)
}

// WholeWorker returns the groups of a worker with n accelerators that are all adjacent: a single group.
func WholeWorker(n hsid.Accelerators) []Group {
	g := make(Group, n)
	for i := range g {
		g[i] = hsid.AcceleratorIndex(i)
	}
	return []Group{g}
}
