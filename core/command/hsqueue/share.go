package hsqueue

import (
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// SharesOf returns the dominant share of each workspace: the largest of its shares of the accelerators, cores and
// memory of all announced workers.
func SharesOf(l *hsfleet.Layout, b *hsfleet.Allocations) Shares {
	shares := Shares{}
	b.Each(func(w hsid.WorkspaceID, u hsfleet.Usage) { shares[w] = dominantShare(l, u) })
	return shares
}

// ShareOf returns the dominant share of a single job.
func ShareOf(l *hsfleet.Layout, spec *hsstate.Spec) float64 {
	var u hsfleet.Usage
	u.Add(spec, 1)
	return dominantShare(l, u)
}

func dominantShare(l *hsfleet.Layout, u hsfleet.Usage) float64 {
	return max(
		ratio(float64(u.Accelerators), float64(l.Total)),
		ratio(float64(u.Cores), float64(l.TotalCores)),
		ratio(float64(u.Memory), float64(l.TotalMemory)),
	)
}

// ratio returns the quotient, or 0 for a whole of 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
