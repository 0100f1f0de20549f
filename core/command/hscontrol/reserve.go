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

// reserve claims, for a job past its age bound, the accelerators that are estimated to be free first. It returns nil
// when the job may not reserve, or no rack has enough accelerators that are free or will be.
func (p *pass) reserve(j *hsstate.Job) *hsfleet.Claim {
	if p.control.config.Disabled.Reservations || !p.control.leader.queue.PastAgeBound(j, p.clusterTime) || !p.mayReserve(j) {
		return nil
	}
	excluded := p.unreservable(j)
	earliest, _ := hsfleet.BestRack(p.layout, j.Spec.Shape.Workers,
		func(s *hsfleet.Slot) (drainEstimate, bool) { return p.earliestDrain(j, s, excluded[s.Index]) },
		func(a, b drainEstimate) int { return cmp.Compare(a.ready, b.ready) }, lastReady)
	if earliest == nil {
		return nil
	}
	claim := &hsfleet.Claim{Job: j.ID, Kind: hsfleet.Reservation, Ready: lastReady(earliest)}
	for _, d := range earliest {
		claim.Parts = append(claim.Parts, d.part)
	}
	return claim
}

// lastReady returns when the accelerators of all estimates are free. The estimates are sorted by time, at least one.
func lastReady(parts []drainEstimate) time.Duration { return parts[len(parts)-1].ready }

// unreservable returns what a job can't reserve: the claims of other jobs and the homes that it may not borrow.
func (p *pass) unreservable(j *hsstate.Job) []hsfleet.Mask {
	return unionMasks(p.claimedByOthers(j), p.excludedHomes(j))
}

// mayReserve reports whether all reservations together would stay within maxReservedPercent. The only reservation may
// exceed it.
func (p *pass) mayReserve(j *hsstate.Job) bool {
	var reserved hsid.Accelerators
	for _, claim := range p.control.leader.claims {
		if claim.Kind != hsfleet.Reservation {
			continue
		}
		for _, part := range claim.Parts {
			reserved += part.Mask.Count()
		}
	}
	return reserved == 0 || (reserved+j.Spec.Shape.Total())*100 <= p.layout.Total*maxReservedPercent
}

// drainEstimate is a set of accelerators and the estimated cluster time at which all of them are free.
type drainEstimate struct {
	part  hsfleet.Part
	ready time.Duration
}

// earliestDrain finds the adjacent accelerators of a worker that are estimated to be free first. It returns false
// when not enough are free or held by running jobs.
func (p *pass) earliestDrain(j *hsstate.Job, s *hsfleet.Slot, excluded hsfleet.Mask) (drainEstimate, bool) {
	if !s.Usable || s.ProbeDue {
		return drainEstimate{}, false
	}
	ends := p.estimatedEnds(s)
	best := drainEstimate{part: hsfleet.Part{Worker: s.ID}}
	found := false
	for _, g := range s.Worker.Groups() {
		d := drainEstimate{part: hsfleet.Part{Worker: s.ID}, ready: p.clusterTime}
		d.part.Mask = (s.Free & g &^ excluded).Lowest(j.Spec.Shape.PerWorker)
		for _, e := range ends {
			if need := j.Spec.Shape.PerWorker - d.part.Mask.Count(); need > 0 && e.mask&g&^excluded != 0 {
				d.part.Mask |= (e.mask & g &^ excluded).Lowest(need)
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

// estimatedEnd is a set of accelerators and the estimated cluster time at which their job ends.
type estimatedEnd struct {
	mask hsfleet.Mask
	at   time.Duration
}

// estimatedEnds returns the accelerators of the jobs that run on a worker, the one estimated to end first in front.
func (p *pass) estimatedEnds(s *hsfleet.Slot) []estimatedEnd {
	var ends []estimatedEnd
	for _, id := range p.control.leader.byWorker[s.ID] {
		v := p.control.leader.running[id]
		if v == nil {
			continue
		}
		for _, m := range v.Members {
			if m.Worker == s.ID {
				at := hspredict.End(p.control.state, v, p.clusterTime, hspredict.ConservativePercent)
				ends = append(ends, estimatedEnd{mask: hsfleet.MaskOf(m.Accelerators), at: at})
			}
		}
	}
	slices.SortStableFunc(ends, func(a, b estimatedEnd) int { return cmp.Compare(a.at, b.at) })
	return ends
}
