package hsfleet

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Slot is one worker of a Layout with its free capacity.
type Slot struct {
	Worker *Worker
	ID     hsid.InstanceID
	// Index is the slot's position in Layout.Slots.
	Index int
	// Rack is the index of the worker's rack in Layout.Racks.
	Rack int
	// Free is the set of accelerators that no grant holds; it is empty unless Usable is set.
	Free Mask
	// Held is the set of accelerators that some grant holds.
	Held Mask
	// Cores and Memory are the free cores and memory.
	Cores  hsid.MilliCores
	Memory hsid.Bytes
	// Tasks is the number of tasks on the worker.
	Tasks int
	// Usable is set when the worker may be given new work.
	Usable bool
	// ProbeDue is set when a quarantined worker may be given one job to test whether it has recovered.
	ProbeDue bool
	// ProbeOverdue is set when the probe is overdue, so that any job may be used for it.
	ProbeOverdue bool
}

// Idle reports whether the worker is usable and all of its accelerators are free.
func (s *Slot) Idle() bool { return s.Usable && s.Held == 0 }

// RoomFor reports whether the worker is usable and has enough free cores, memory and task slots for one more member
// of a job. It doesn't check the accelerators.
func (s *Slot) RoomFor(spec *hsstate.Spec) bool {
	return s.Usable && s.Cores >= spec.Cores && s.Memory >= spec.Memory &&
		(s.Worker.Report.Worker.Slots == 0 || s.Tasks < s.Worker.Report.Worker.Slots)
}

// Rack holds the workers of one rack.
type Rack struct {
	Zone  hsid.ZoneID
	ID    hsid.RackID
	Slots []*Slot
}

// Layout is a snapshot of the free capacity of all workers, made for one scheduling pass.
type Layout struct {
	Slots []*Slot
	Racks []Rack
	byID  map[hsid.InstanceID]*Slot
	// Total, TotalCores and TotalMemory are the capacity of the announced workers.
	Total       hsid.Accelerators
	TotalCores  hsid.MilliCores
	TotalMemory hsid.Bytes
}

type rackKey struct {
	zone hsid.ZoneID
	rack hsid.RackID
}

// NewLayout returns the layout of a fleet with the given allocations, for work under the rule file with the given
// number. Accelerators that an agent reports as in use are taken as held even when no placement holds them.
func NewLayout(f *Fleet, rules hsid.RuleNumber, a *Allocations) *Layout {
	l := &Layout{byID: make(map[hsid.InstanceID]*Slot, f.Len())}
	racks := map[rackKey]int{}
	f.Each(func(w *Worker) {
		s := l.addWorker(w, rules, racks)
		if o := a.workers[s.ID]; o != nil {
			s.hold(o)
		}
		s.holdReported()
	})
	return l
}

func (l *Layout) addWorker(w *Worker, rules hsid.RuleNumber, racks map[rackKey]int) *Slot {
	info := &w.Report.Worker
	s := &Slot{
		Worker: w,
		ID:     w.Report.Instance,
		Index:  len(l.Slots),
		Cores:  info.Cores,
		Memory: info.Memory,
		Usable: w.Usable(rules),
	}
	if w.Announced() {
		l.Total += w.all.Count()
		l.TotalCores += info.Cores
		l.TotalMemory += info.Memory
	}
	if s.Usable {
		s.Free = w.all
	}
	key := rackKey{zone: info.Zone, rack: info.Rack}
	at, ok := racks[key]
	if !ok {
		at = len(l.Racks)
		racks[key] = at
		l.Racks = append(l.Racks, Rack{Zone: info.Zone, ID: info.Rack})
	}
	s.Rack = at
	l.Racks[at].Slots = append(l.Racks[at].Slots, s)
	l.Slots = append(l.Slots, s)
	l.byID[s.ID] = s
	return s
}

// ExcludeZone makes the workers of a zone unusable for new work.
func (l *Layout) ExcludeZone(zone hsid.ZoneID) {
	for _, s := range l.Slots {
		if s.Worker.Report.Worker.Zone == zone {
			s.Usable = false
			s.Free = 0
		}
	}
}

func (s *Slot) hold(o *occupancy) {
	s.Held |= o.held
	s.Free &^= o.held
	s.Cores -= o.cores
	s.Memory -= o.memory
	s.Tasks += o.tasks
}

// holdReported marks the accelerators that the agent reports as in use. Reports lag behind, so they are never used to
// infer that an accelerator is free.
func (s *Slot) holdReported() {
	for _, t := range s.Worker.Report.Tasks {
		if t.Phase == hsmessage.TaskHeld || t.Phase == hsmessage.TaskRunning {
			m := MaskOf(t.Accelerators)
			s.Held |= m
			s.Free &^= m
		}
	}
}

// Slot returns the slot of a worker, or nil for an unknown worker.
func (l *Layout) Slot(id hsid.InstanceID) *Slot { return l.byID[id] }

// Allocate subtracts the placements of a job from the free capacity. Placements on unknown workers are ignored.
func (l *Layout) Allocate(members []hsstate.Placement, spec *hsstate.Spec) {
	for _, m := range members {
		if s := l.byID[m.Worker]; s != nil {
			s.hold(&occupancy{held: MaskOf(m.Accelerators), cores: spec.Cores, memory: spec.Memory, tasks: 1})
		}
	}
}

// CouldHold reports whether some rack could hold a job if nothing else ran. The accelerators in excluded, which is
// indexed like Slots, aren't used; nil excludes none. Silent workers count as well, so that a job isn't declared
// impossible because workers restart.
func (l *Layout) CouldHold(spec *hsstate.Spec, excluded []Mask) bool {
	for i := range l.Racks {
		fits := hsid.WorkerCount(0)
		for _, s := range l.Racks[i].Slots {
			var mask Mask
			if excluded != nil {
				mask = excluded[s.Index]
			}
			if s.Worker.fitsWhenIdle(spec, mask) {
				fits++
			}
		}
		if fits >= spec.Shape.Workers {
			return true
		}
	}
	return false
}

// fitsWhenIdle reports whether the worker could hold one member of a job, outside the excluded accelerators, if
// nothing else ran on it.
func (w *Worker) fitsWhenIdle(spec *hsstate.Spec, excluded Mask) bool {
	info := &w.Report.Worker
	if info.Endpoint == 0 || info.Leaving {
		return false
	}
	if info.Cores < spec.Cores || info.Memory < spec.Memory {
		return false
	}
	for _, g := range w.groups {
		if (g &^ excluded).Count() >= spec.Shape.PerWorker {
			return true
		}
	}
	return false
}
