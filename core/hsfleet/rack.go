package hsfleet

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsid"
)

// BestRack finds the rack in which n workers cost least. Candidate returns what a worker offers, and false
// when it offers nothing; of each rack the n least candidates are kept, the first worker's among equals, and
// cost weighs what is kept. It returns the kept candidates of the best rack, the first among equals, or nil
// when no rack has n; and the largest number of candidates that any rack has.
func BestRack[T any, K cmp.Ordered](
	l *Layout,
	n hsid.WorkerCount,
	candidate func(s *Slot) (T, bool),
	compare func(a, b T) int,
	cost func(kept []T) K,
) (best []T, most int) {
	var bestCost K
	for i := range l.Racks {
		var offers []T
		for _, s := range l.Racks[i].Slots {
			if x, ok := candidate(s); ok {
				offers = append(offers, x)
			}
		}
		most = max(most, len(offers))
		if hsid.WorkerCount(len(offers)) < n {
			continue
		}
		slices.SortStableFunc(offers, compare)
		offers = offers[:n]
		if c := cost(offers); best == nil || c < bestCost {
			best = offers
			bestCost = c
		}
	}
	return best, most
}
