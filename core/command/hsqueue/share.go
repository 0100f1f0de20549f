package hsqueue

import (
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// usage sums what the running jobs of one workspace hold.
type usage struct {
	accelerators hsid.Accelerators
	cores        hsid.MilliCores
	memory       hsid.Bytes
}

// SharesOf returns the dominant share of each workspace that runs jobs: the largest of its shares of
// the accelerators, cores and memory of all announced workers.
func SharesOf(l *hsfleet.Layout, running []*hsstate.Job) Shares {
	sums := map[hsid.WorkspaceID]*usage{}
	for _, j := range running {
		u := sums[j.Spec.Workspace]
		if u == nil {
			u = &usage{}
			sums[j.Spec.Workspace] = u
		}
		u.add(&j.Spec)
	}
	shares := Shares{}
	for w, u := range sums {
		shares[w] = u.dominant(l)
	}
	return shares
}

// ShareOf returns the dominant share of a single job.
func ShareOf(l *hsfleet.Layout, spec *hsstate.Spec) float64 {
	var u usage
	u.add(spec)
	return u.dominant(l)
}

func (u *usage) add(spec *hsstate.Spec) {
	u.accelerators += spec.Shape.Total()
	u.cores += spec.Cores * hsid.MilliCores(spec.Shape.Workers)
	u.memory += spec.Memory * hsid.Bytes(spec.Shape.Workers)
}

func (u *usage) dominant(l *hsfleet.Layout) float64 {
	return max(
		ratio(float64(u.accelerators), float64(l.Total)),
		ratio(float64(u.cores), float64(l.TotalCores)),
		ratio(float64(u.memory), float64(l.TotalMemory)),
	)
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
