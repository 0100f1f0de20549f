package hscontrol

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// yield is a way to get n accelerators of one worker.
type yield struct {
	part    hsfleet.Part
	victims []hsid.JobID
	// lost is the work that would be thrown away, in accelerator-seconds.
	lost float64
}

// claimWithin finds the accelerators for a job that throw the least work away, inside the masks (nil for
// anywhere but on homes of others) and outside other claims, when everything that may give way does.
func (p *pass) claimWithin(j *hsstate.Job, masks []hsfleet.Mask, give func(v *hsstate.Job) bool) (*hsfleet.Claim, []hsid.JobID) {
	closed := p.claimed(j)
	if masks == nil {
		closed = union(closed, p.foreignHomes(j))
	}
	offer := func(s *hsfleet.Slot) (yield, bool) {
		within := s.Worker.All()
		if masks != nil {
			within = masks[s.Index]
		}
		return p.yieldOn(j, s, within&^closed[s.Index], give)
	}
	best, _ := hsfleet.BestRack(p.layout, j.Spec.Shape.Workers, offer,
		func(a, b yield) int { return cmp.Compare(a.lost, b.lost) }, lostBy)
	if best == nil {
		return nil, nil
	}
	claim := &hsfleet.Claim{Job: j.ID, Ready: p.clock}
	var victims []hsid.JobID
	for _, y := range best {
		claim.Parts = append(claim.Parts, y.part)
		for _, v := range y.victims {
			if !slices.Contains(victims, v) {
				victims = append(victims, v)
			}
		}
	}
	return claim, victims
}

// lostBy sums the work that several yields would throw away.
func lostBy(yields []yield) float64 {
	lost := 0.0
	for _, y := range yields {
		lost += y.lost
	}
	return lost
}

// claimed returns what is claimed for other jobs.
func (p *pass) claimed(j *hsstate.Job) []hsfleet.Mask {
	closed := make([]hsfleet.Mask, len(p.layout.Slots))
	for id, claim := range p.c.lead.claims {
		if id != j.ID {
			closed = p.mark(closed, claim)
		}
	}
	return closed
}

// yieldOn finds n adjacent accelerators of a worker that are free or held by jobs that may give way.
func (p *pass) yieldOn(j *hsstate.Job, s *hsfleet.Slot, within hsfleet.Mask, give func(v *hsstate.Job) bool) (yield, bool) {
	if !s.Usable || s.Probe || within == 0 {
		return yield{}, false
	}
	open := s.Free & within
	holders := p.holders(s, give)
	for _, v := range holders {
		open |= v.mask & within
	}
	best := yield{}
	found := false
	for _, g := range s.Worker.Groups() {
		fit := open & g
		if fit.Count() < j.Spec.Shape.PerWorker {
			continue
		}
		y := p.chooseYield(s, fit, j.Spec.Shape.PerWorker, holders)
		if !found || y.lost < best.lost {
			best = y
			found = true
		}
	}
	return best, found
}

// holder is a job that may give way on a worker.
type holder struct {
	job  *hsstate.Job
	mask hsfleet.Mask
	lost float64
}

// holders lists the jobs on a worker that may give way, least lost work first.
func (p *pass) holders(s *hsfleet.Slot, give func(v *hsstate.Job) bool) []holder {
	var all []holder
	for _, id := range p.c.lead.byWorker[s.ID] {
		v := p.c.lead.running[id]
		if v == nil || !give(v) || p.c.lead.ending[id] {
			continue
		}
		for _, m := range v.Members {
			if m.Worker != s.ID {
				continue
			}
			ran := (p.clock - v.Started).Seconds()
			lost := (ran + restartCost.Seconds()) * float64(v.Spec.Shape.Total())
			if p.c.lead.stops[id] != "" {
				lost = 0
			}
			all = append(all, holder{job: v, mask: hsfleet.MaskOf(m.Accelerators), lost: lost})
		}
	}
	slices.SortStableFunc(all, func(a, b holder) int { return cmp.Compare(a.lost, b.lost) })
	return all
}

func (p *pass) chooseYield(s *hsfleet.Slot, fit hsfleet.Mask, n hsid.Accelerators, holders []holder) yield {
	y := yield{part: hsfleet.Part{Worker: s.ID}}
	y.part.Mask = (fit & s.Free).Lowest(n)
	for _, h := range holders {
		if y.part.Mask.Count() >= n {
			break
		}
		if take := (fit & h.mask).Lowest(n - y.part.Mask.Count()); take != 0 {
			y.part.Mask |= take
			y.victims = append(y.victims, h.job.ID)
			y.lost += h.lost
		}
	}
	return y
}
