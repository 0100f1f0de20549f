package hsfleet

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsid"
)

// BestRack returns the cheapest choice of n candidates on distinct workers of one rack, or nil when no rack has n
// candidates. It also returns the largest number of candidates in any rack.
//
// Function candidate returns the candidate on a worker, and false when there is none. Of each rack the n least
// candidates in the order of compare are chosen, and of those choices the one for which cost is least. Equal
// candidates and equal choices are taken in the order of the layout.
func BestRack[T any, K cmp.Ordered](
	l *Layout,
	n hsid.WorkerCount,
	candidate func(s *Slot) (T, bool),
	compare func(a, b T) int,
	cost func(chosen []T) K,
) (best []T, most int) {
	var bestCost K
	for i := range l.Racks {
		var candidates []T
		for _, s := range l.Racks[i].Slots {
			if x, ok := candidate(s); ok {
				candidates = append(candidates, x)
			}
		}
		most = max(most, len(candidates))
		if hsid.WorkerCount(len(candidates)) < n {
			continue
		}
		slices.SortStableFunc(candidates, compare)
		candidates = candidates[:n]
		if c := cost(candidates); best == nil || c < bestCost {
			best = candidates
			bestCost = c
		}
	}
	return best, most
}
