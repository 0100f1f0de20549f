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

// Fragmentation returns the share of the free accelerators that placements of a shape can't use, from 0 when all
// of them can be used to 1 when none can. Without free accelerators it is 0.
func (l *Layout) Fragmentation(shape hsshape.Shape) float64 {
	free := l.Free()
	if free == 0 || shape.Total() == 0 {
		return 0
	}
	return 1 - float64(l.usableBy(shape))/float64(free)
}

// usableBy returns the number of free accelerators that placements of a shape can use at the same time.
func (l *Layout) usableBy(shape hsshape.Shape) hsid.Accelerators {
	var usable hsid.Accelerators
	for i := range l.Racks {
		var parts []int
		for _, s := range l.Racks[i].Slots {
			parts = append(parts, s.countParts(shape.PerWorker))
		}
		gangs := maxGangs(parts, int(shape.Workers))
		usable += hsid.Accelerators(gangs) * shape.Total()
	}
	return usable
}

// countParts returns the number of disjoint sets of n adjacent free accelerators on the worker.
func (s *Slot) countParts(n hsid.Accelerators) int {
	parts := 0
	for _, g := range s.Worker.groups {
		parts += int((s.Free & g).Count() / n)
	}
	return parts
}

// maxGangs returns the largest number of gangs that take one part on each of size distinct workers, given the number
// of parts on each worker of a rack.
func maxGangs(parts []int, size int) int {
	sum := 0
	for _, p := range parts {
		sum += p
	}
	for gangs := sum / size; gangs > 0; gangs-- {
		available := 0
		for _, p := range parts {
			available += min(p, gangs)
		}
		if available >= gangs*size {
			return gangs
		}
	}
	return 0
}
