package hscontrol

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// eviction is a way to free the accelerators that one member of a job needs on a worker.
type eviction struct {
	part    hsfleet.Part
	victims []hsid.JobID
	// lostWork is the work that the victims lose, in accelerator-seconds, with restartCost included.
	lostWork float64
}

// claimWithin claims the accelerators that can be freed for a job with the least lost work, and returns the jobs to
// preempt for that. It searches inside the masks, or with nil masks everywhere but on the homes of other workspaces,
// and always outside the claims of other jobs. It returns nil when preempting all that mayPreempt allows doesn't free
// enough. The caller sets the claim's kind.
func (p *pass) claimWithin(j *hsstate.Job, masks []hsfleet.Mask, mayPreempt func(v *hsstate.Job) bool) (*hsfleet.Claim, []hsid.JobID) {
	excluded := p.claimedByOthers(j)
	if masks == nil {
		excluded = unionMasks(excluded, p.othersHomes(j))
	}
	evictionFrom := func(s *hsfleet.Slot) (eviction, bool) {
		within := s.Worker.All()
		if masks != nil {
			within = masks[s.Index]
		}
		return p.evictionOn(j, s, within&^excluded[s.Index], mayPreempt)
	}
	best, _ := hsfleet.BestRack(p.layout, j.Spec.Shape.Workers, evictionFrom,
		func(a, b eviction) int { return cmp.Compare(a.lostWork, b.lostWork) }, totalLostWork)
	if best == nil {
		return nil, nil
	}
	claim := &hsfleet.Claim{Job: j.ID, Ready: p.clusterTime}
	var victims []hsid.JobID
	for _, e := range best {
		claim.Parts = append(claim.Parts, e.part)
		for _, v := range e.victims {
			if !slices.Contains(victims, v) {
				victims = append(victims, v)
			}
		}
	}
	return claim, victims
}

// totalLostWork sums the lost work of evictions.
func totalLostWork(evictions []eviction) float64 {
	total := 0.0
	for _, e := range evictions {
		total += e.lostWork
	}
	return total
}

// claimedByOthers returns the accelerators that are claimed for other jobs.
func (p *pass) claimedByOthers(j *hsstate.Job) []hsfleet.Mask {
	excluded := make([]hsfleet.Mask, len(p.layout.Slots))
	for id, claim := range p.control.leader.claims {
		if id != j.ID {
			excluded = p.addClaimMasks(excluded, claim)
		}
	}
	return excluded
}

// evictionOn finds the eviction on a worker that loses the least work. Its accelerators are adjacent, inside the mask
// within, and either free or held by jobs that may be preempted. It returns false when there aren't enough.
func (p *pass) evictionOn(j *hsstate.Job, s *hsfleet.Slot, within hsfleet.Mask, mayPreempt func(v *hsstate.Job) bool) (eviction, bool) {
	if !s.Usable || s.ProbeDue || within == 0 {
		return eviction{}, false
	}
	available := s.Free & within
	victims := p.victimsOn(s, mayPreempt)
	for _, v := range victims {
		available |= v.mask & within
	}
	best := eviction{}
	found := false
	for _, g := range s.Worker.Groups() {
		inGroup := available & g
		if inGroup.Count() < j.Spec.Shape.PerWorker {
			continue
		}
		e := p.chooseVictims(s, inGroup, j.Spec.Shape.PerWorker, victims)
		if !found || e.lostWork < best.lostWork {
			best = e
			found = true
		}
	}
	return best, found
}

// victim is a job that may be preempted, with the accelerators that it holds on one worker.
type victim struct {
	job      *hsstate.Job
	mask     hsfleet.Mask
	lostWork float64
}

// victimsOn lists the jobs on a worker that may be preempted, least lost work first. Jobs that are already being
// stopped lose no more work.
func (p *pass) victimsOn(s *hsfleet.Slot, mayPreempt func(v *hsstate.Job) bool) []victim {
	var all []victim
	for _, id := range p.control.leader.byWorker[s.ID] {
		v := p.control.leader.running[id]
		if v == nil || !mayPreempt(v) || p.control.leader.ending[id] {
			continue
		}
		for _, m := range v.Members {
			if m.Worker != s.ID {
				continue
			}
			ran := (p.clusterTime - v.Started).Seconds()
			lostWork := (ran + restartCost.Seconds()) * float64(v.Spec.Shape.Total())
			if p.control.leader.stopReasons[id] != "" {
				lostWork = 0
			}
			all = append(all, victim{job: v, mask: hsfleet.MaskOf(m.Accelerators), lostWork: lostWork})
		}
	}
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.lostWork, b.lostWork) })
	return all
}

// chooseVictims takes count of the available accelerators: free ones first, then those of the victims in their order.
func (p *pass) chooseVictims(s *hsfleet.Slot, available hsfleet.Mask, count hsid.Accelerators, victims []victim) eviction {
	e := eviction{part: hsfleet.Part{Worker: s.ID}}
	e.part.Mask = (available & s.Free).Lowest(count)
	for _, v := range victims {
		if e.part.Mask.Count() >= count {
			break
		}
		if taken := (available & v.mask).Lowest(count - e.part.Mask.Count()); taken != 0 {
			e.part.Mask |= taken
			e.victims = append(e.victims, v.job.ID)
			e.lostWork += v.lostWork
		}
	}
	return e
}
