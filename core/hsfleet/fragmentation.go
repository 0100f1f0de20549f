package hsfleet

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// Free returns the number of free accelerators.
func (l *Layout) Free() hsid.Accelerators {
	var free hsid.Accelerators
	for _, s := range l.Slots {
		free += s.Free.Count()
	}
	return free
}

// Fragmentation returns, of the free accelerators, the share that placements of the shape can't use:
// 0 when all can be used, 1 when none can. Without free accelerators it is 0.
func (l *Layout) Fragmentation(shape hsshape.Shape) float64 {
	free := l.Free()
	if free == 0 || shape.Total() == 0 {
		return 0
	}
	return 1 - float64(l.usable(shape))/float64(free)
}

// usable returns how many free accelerators placements of the shape can use at once.
func (l *Layout) usable(shape hsshape.Shape) hsid.Accelerators {
	var usable hsid.Accelerators
	for i := range l.Racks {
		var parts []int
		for _, s := range l.Racks[i].Slots {
			parts = append(parts, s.partsOf(shape.PerWorker))
		}
		gangs := gangsFrom(parts, int(shape.Workers))
		usable += hsid.Accelerators(gangs) * shape.Total()
	}
	return usable
}

// partsOf returns how many sets of n adjacent free accelerators the worker has.
func (s *Slot) partsOf(n hsid.Accelerators) int {
	parts := 0
	for _, g := range s.Worker.groups {
		parts += int((s.Free & g).Count() / n)
	}
	return parts
}

// gangsFrom returns how many gangs can be formed of one part on each of m distinct workers.
func gangsFrom(parts []int, m int) int {
	sum := 0
	for _, p := range parts {
		sum += p
	}
	for gangs := sum / m; gangs > 0; gangs-- {
		have := 0
		for _, p := range parts {
			have += min(p, gangs)
		}
		if have >= gangs*m {
			return gangs
		}
	}
	return 0
}
