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

// WholeWorker returns the group of a worker whose n accelerators are all adjacent.
func WholeWorker(n hsid.Accelerators) []Group {
	g := make(Group, n)
	for i := range g {
		g[i] = hsid.AcceleratorIndex(i)
	}
	return []Group{g}
}
