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

// Book keeps the totals of the placements on each worker and of each workspace. They are updated as placements are
// added and removed, so that making a Layout takes no time for each task.
type Book struct {
	workers    map[hsid.InstanceID]*occupancy
	workspaces map[hsid.WorkspaceID]*Usage
}

// NewBook returns a book without placements.
func NewBook() *Book {
	return &Book{workers: map[hsid.InstanceID]*occupancy{}, workspaces: map[hsid.WorkspaceID]*Usage{}}
}

// Take adds the placements of a job to the totals.
func (b *Book) Take(members []hsstate.Placement, spec *hsstate.Spec) {
	for _, m := range members {
		o := b.workers[m.Worker]
		if o == nil {
			o = &occupancy{}
			b.workers[m.Worker] = o
		}
		o.held |= MaskOf(m.Accelerators)
		o.cores += spec.Cores
		o.memory += spec.Memory
		o.tasks++
	}
	u := b.workspaces[spec.Workspace]
	if u == nil {
		u = &Usage{}
		b.workspaces[spec.Workspace] = u
	}
	u.Add(spec, 1)
}

// Release subtracts the placements of a job from the totals. Take must have added the same placements before.
func (b *Book) Release(members []hsstate.Placement, spec *hsstate.Spec) {
	for _, m := range members {
		o := b.workers[m.Worker]
		o.held &^= MaskOf(m.Accelerators)
		o.cores -= spec.Cores
		o.memory -= spec.Memory
		o.tasks--
		if o.tasks == 0 {
			delete(b.workers, m.Worker)
		}
	}
	b.workspaces[spec.Workspace].Add(spec, -1)
}

// Usage returns the total of a workspace.
func (b *Book) Usage(w hsid.WorkspaceID) Usage {
	if u := b.workspaces[w]; u != nil {
		return *u
	}
	return Usage{}
}

// Each calls visit for every workspace that has or had placements, in no particular order.
func (b *Book) Each(visit func(w hsid.WorkspaceID, u Usage)) {
	for w, u := range b.workspaces {
		visit(w, *u)
	}
}
