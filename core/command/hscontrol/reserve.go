package hscontrol

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/command/hspredict"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// reserve keeps the accelerators that drain first for a job past its age bound.
func (p *pass) reserve(j *hsstate.Job) *hsfleet.Claim {
	if p.c.config.Off.Reservations || !p.c.lead.queue.Aged(j, p.clock) || !p.mayReserve(j) {
		return nil
	}
	closed := p.closedFor(j)
	best, _ := hsfleet.BestRack(p.layout, j.Spec.Shape.Workers,
		func(s *hsfleet.Slot) (draining, bool) { return p.drainingOn(j, s, closed[s.Index]) },
		func(a, b draining) int { return cmp.Compare(a.ready, b.ready) }, lastReady)
	if best == nil {
		return nil
	}
	claim := &hsfleet.Claim{Job: j.ID, Kind: hsfleet.Reservation, Ready: lastReady(best)}
	for _, d := range best {
		claim.Parts = append(claim.Parts, d.part)
	}
	return claim
}

// lastReady returns when all of a list, which is in the order of times, is free.
func lastReady(parts []draining) time.Duration { return parts[len(parts)-1].ready }

// closedFor returns what a job can't reserve: claims of others and homes that it may not borrow.
func (p *pass) closedFor(j *hsstate.Job) []hsfleet.Mask {
	return union(p.claimed(j), p.homesClosedTo(j))
}

// mayReserve reports whether a job's reservation would stay within the share that may be reserved.
func (p *pass) mayReserve(j *hsstate.Job) bool {
	var reserved hsid.Accelerators
	for _, claim := range p.c.lead.claims {
		if claim.Kind != hsfleet.Reservation {
			continue
		}
		for _, part := range claim.Parts {
			reserved += part.Mask.Count()
		}
	}
	return reserved == 0 || (reserved+j.Spec.Shape.Total())*100 <= p.layout.Total*reservedShare
}

// draining is a set of accelerators with the estimated time at which all of it is free.
type draining struct {
	part  hsfleet.Part
	ready time.Duration
}

// drainingOn finds the adjacent accelerators of a worker that are estimated to be free first.
func (p *pass) drainingOn(j *hsstate.Job, s *hsfleet.Slot, closed hsfleet.Mask) (draining, bool) {
	if !s.Usable || s.Probe {
		return draining{}, false
	}
	ends := p.endsOn(s)
	best := draining{part: hsfleet.Part{Worker: s.ID}}
	found := false
	for _, g := range s.Worker.Groups() {
		d := draining{part: hsfleet.Part{Worker: s.ID}, ready: p.clock}
		d.part.Mask = (s.Free & g &^ closed).Lowest(j.Spec.Shape.PerWorker)
		for _, e := range ends {
			if need := j.Spec.Shape.PerWorker - d.part.Mask.Count(); need > 0 && e.mask&g&^closed != 0 {
				d.part.Mask |= (e.mask & g &^ closed).Lowest(need)
				d.ready = max(d.ready, e.at)
			}
		}
		if d.part.Mask.Count() == j.Spec.Shape.PerWorker && (!found || d.ready < best.ready) {
			best = d
			found = true
		}
	}
	return best, found
}

// ending is a set of accelerators and the estimated time at which their job ends.
type ending struct {
	mask hsfleet.Mask
	at   time.Duration
}

func (p *pass) endsOn(s *hsfleet.Slot) []ending {
	var ends []ending
	for _, id := range p.c.lead.byWorker[s.ID] {
		v := p.c.lead.running[id]
		if v == nil {
			continue
		}
		for _, m := range v.Members {
			if m.Worker == s.ID {
				at := hspredict.End(p.c.state, v, p.clock, hspredict.Cautious)
				ends = append(ends, ending{mask: hsfleet.MaskOf(m.Accelerators), at: at})
			}
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	return ends
}
