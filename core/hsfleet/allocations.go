package hsfleet

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// occupancy is the total of the placements on one worker.
type occupancy struct {
	held   Mask
	cores  hsid.MilliCores
	memory hsid.Bytes
	tasks  int
}

// Usage is the total of the placements of one workspace.
type Usage struct {
	Accelerators hsid.Accelerators
	Cores        hsid.MilliCores
	Memory       hsid.Bytes
}

// Add adds the demand of a job times a factor, which is 1 or -1.
func (u *Usage) Add(spec *hsstate.Spec, factor int64) {
	workers := factor * int64(spec.Shape.Workers)
	u.Accelerators += spec.Shape.PerWorker * hsid.Accelerators(workers)
	u.Cores += spec.Cores * hsid.MilliCores(workers)
	u.Memory += spec.Memory * hsid.Bytes(workers)
}

// Allocations keeps the totals of the placements on each worker and of each workspace. They are updated as placements
// are added and removed, so that NewLayout doesn't have to visit every placement.
type Allocations struct {
	workers    map[hsid.InstanceID]*occupancy
	workspaces map[hsid.WorkspaceID]*Usage
}

// NewAllocations returns Allocations without placements.
func NewAllocations() *Allocations {
	return &Allocations{workers: map[hsid.InstanceID]*occupancy{}, workspaces: map[hsid.WorkspaceID]*Usage{}}
}

// Add adds the placements of a job to the totals.
func (a *Allocations) Add(members []hsstate.Placement, spec *hsstate.Spec) {
	for _, m := range members {
		o := a.workers[m.Worker]
		if o == nil {
			o = &occupancy{}
			a.workers[m.Worker] = o
		}
		o.held |= MaskOf(m.Accelerators)
		o.cores += spec.Cores
		o.memory += spec.Memory
		o.tasks++
	}
	u := a.workspaces[spec.Workspace]
	if u == nil {
		u = &Usage{}
		a.workspaces[spec.Workspace] = u
	}
	u.Add(spec, 1)
}

// Remove subtracts the placements of a job from the totals. Add must have added the same placements before.
func (a *Allocations) Remove(members []hsstate.Placement, spec *hsstate.Spec) {
	for _, m := range members {
		o := a.workers[m.Worker]
		o.held &^= MaskOf(m.Accelerators)
		o.cores -= spec.Cores
		o.memory -= spec.Memory
		o.tasks--
		if o.tasks == 0 {
			delete(a.workers, m.Worker)
		}
	}
	a.workspaces[spec.Workspace].Add(spec, -1)
}

// Usage returns the total of a workspace.
func (a *Allocations) Usage(w hsid.WorkspaceID) Usage {
	if u := a.workspaces[w]; u != nil {
		return *u
	}
	return Usage{}
}

// Each calls visit for every workspace that has or had placements, in no particular order.
func (a *Allocations) Each(visit func(w hsid.WorkspaceID, u Usage)) {
	for w, u := range a.workspaces {
		visit(w, *u)
	}
}
