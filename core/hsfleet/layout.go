package hsfleet

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Slot is one worker with what is free on it.
type Slot struct {
	Worker *Worker
	ID     hsid.InstanceID
	// Index is the slot's position in Layout.Slots.
	Index int
	// Rack indexes Layout.Racks.
	Rack int
	// Free holds the accelerators that nobody holds; it is empty unless the worker is Usable.
	Free Mask
	// Held holds the accelerators that some grant holds.
	Held   Mask
	Cores  hsid.MilliCores
	Memory hsid.Bytes
	Tasks  int
	Usable bool
	// Probe is set when a quarantined worker may be given one job to show that it has recovered.
	Probe bool
	// Overdue is set when its probe is overdue, so that any job may be the probe.
	Overdue bool
}

// Whole reports whether nothing holds any accelerator of the worker.
func (s *Slot) Whole() bool { return s.Usable && s.Held == 0 }

// RoomFor reports whether cores, memory and task slots suffice for one more member of a job.
func (s *Slot) RoomFor(spec *hsstate.Spec) bool {
	return s.Usable && s.Cores >= spec.Cores && s.Memory >= spec.Memory &&
		(s.Worker.Report.Worker.Slots == 0 || s.Tasks < s.Worker.Report.Worker.Slots)
}

// Rack is the workers of one rack.
type Rack struct {
	Zone  hsid.ZoneID
	ID    hsid.RackID
	Slots []*Slot
}

// Layout is a picture of all workers at one moment, made for one scheduling pass.
type Layout struct {
	Slots []*Slot
	Racks []Rack
	byID  map[hsid.InstanceID]*Slot
	// Total and the other sums are over announced workers.
	Total       hsid.Accelerators
	TotalCores  hsid.MilliCores
	TotalMemory hsid.Bytes
}

type rackKey struct {
	zone hsid.ZoneID
	rack hsid.RackID
}

// NewLayout pictures the fleet with the placements of a book. What an agent reports beyond that is busy too.
func NewLayout(f *Fleet, rules hsid.RuleNumber, b *Book) *Layout {
	l := &Layout{byID: make(map[hsid.InstanceID]*Slot, f.Len())}
	racks := map[rackKey]int{}
	f.Each(func(w *Worker) {
		s := l.addWorker(w, rules, racks)
		if o := b.workers[s.ID]; o != nil {
			s.hold(o)
		}
		s.addReported()
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

func (s *Slot) hold(o *occupancy) {
	s.Held |= o.held
	s.Free &^= o.held
	s.Cores -= o.cores
	s.Memory -= o.memory
	s.Tasks += o.tasks
}

// addReported marks what the agent says it still holds. The usage that a worker reports lags, so it is
// never used to infer that an accelerator is free.
func (s *Slot) addReported() {
	for _, t := range s.Worker.Report.Tasks {
		if t.Phase == hsmessage.TaskHeld || t.Phase == hsmessage.TaskRunning {
			m := MaskOf(t.Accelerators)
			s.Held |= m
			s.Free &^= m
		}
	}
}

// Slot returns the slot of a worker, or nil.
func (l *Layout) Slot(id hsid.InstanceID) *Slot { return l.byID[id] }

// Take marks the accelerators of a placement as held.
func (l *Layout) Take(members []hsstate.Placement, spec *hsstate.Spec) {
	for _, m := range members {
		if s := l.byID[m.Worker]; s != nil {
			s.hold(&occupancy{held: MaskOf(m.Accelerators), cores: spec.Cores, memory: spec.Memory, tasks: 1})
		}
	}
}

// CanEver reports whether the known workers could hold a job if nothing else ran, outside the closed
// accelerators, which are indexed like Slots (nil for none). Workers that are silent for a while count,
// so that a restart makes no job impossible.
func (l *Layout) CanEver(spec *hsstate.Spec, closed []Mask) bool {
	for i := range l.Racks {
		fits := hsid.WorkerCount(0)
		for _, s := range l.Racks[i].Slots {
			var shut Mask
			if closed != nil {
				shut = closed[s.Index]
			}
			if s.Worker.couldHold(spec, shut) {
				fits++
			}
		}
		if fits >= spec.Shape.Workers {
			return true
		}
	}
	return false
}

func (w *Worker) couldHold(spec *hsstate.Spec, closed Mask) bool {
	info := &w.Report.Worker
	if info.Endpoint == 0 || info.Leaving {
		return false
	}
	if info.Cores < spec.Cores || info.Memory < spec.Memory {
		return false
	}
	for _, g := range w.groups {
		if (g &^ closed).Count() >= spec.Shape.PerWorker {
			return true
		}
	}
	return false
}
