package hscontrol

import (
	"fmt"
	"time"

	"hyssopseam/core/command/hspredict"
	"hyssopseam/core/hsestimate"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Limits of claims, preemption and backfilling.
const (
	// maxReservedPercent bounds the accelerators that are reserved for jobs past their age bound, in percent of all
	// accelerators. A single reservation may be larger.
	maxReservedPercent = 40
	// startBudget is the part of a guarantee's time that the start itself takes: preparing, committing, and running
	// the first task.
	startBudget = 200 * time.Millisecond
	// preemptAfter is how long an urgent job without a guarantee waits before it preempts others. It is longer than
	// urgent jobs run, so that the jobs of a short burst wait for each other rather than preempt.
	preemptAfter = 20 * time.Second
	// restartCost is added to the run time that a preempted job loses, for its new wait and start.
	restartCost = 10 * time.Minute
	// backfillMaxStop is the longest observed stop time of a small batch job that is backfilled on a reservation
	// although it isn't expected to end before the reservation is ready. backfillMaxRun is the longest estimated run
	// time of an urgent job in that case.
	backfillMaxStop = 5 * time.Second
	backfillMaxRun  = time.Minute
	// backfillMaxSize is the largest small batch job.
	backfillMaxSize hsid.Accelerators = 2
	// stopPercentile is the percentile of the observed stop times that is compared with a time limit.
	stopPercentile = 99
)

// stopsWithin reports whether a job can be stopped within a time, by the observed stop times of its kind. That is
// never the case for a kind without observed stop times, and for jobs that must not run twice.
func (c *Control) stopsWithin(j *hsstate.Job, within time.Duration) bool {
	if j.Once {
		return false
	}
	if c.config.Disabled.ObservedStops {
		return true
	}
	took, ok := hsestimate.Stop(c.state, j.Spec.Workspace, j.Spec.Kind, stopPercentile)
	return ok && took+startBudget <= within
}

// mayBorrow reports whether a job may be placed on the home of a guarantee of another workspace: it must be known to
// stop within the guarantee's time. Gangs, and jobs that were preempted before, would lose much work when they are
// preempted. They borrow only if they can't run anywhere else, and only after a cool-down if they were preempted.
func (p *pass) mayBorrow(j *hsstate.Job, g *hsstate.Guarantee) bool {
	if p.control.config.Disabled.Borrowing || !p.control.stopsWithin(j, g.Within) {
		return false
	}
	if j.Spec.Shape.Workers == 1 && j.Preempted == 0 {
		return true
	}
	cooled := j.Preempted == 0 || p.clusterTime-j.Preempted > p.control.config.PreemptionCoolDown
	return cooled && p.needsOthersHomes(j)
}

// needsOthersHomes reports whether a job could never run outside the homes of other workspaces.
func (p *pass) needsOthersHomes(j *hsstate.Job) bool {
	key := placementKeyOf(j, j.Spec.Class)
	if needs, ok := p.needsOthers[key]; ok {
		return needs
	}
	needs := !p.layout.CouldHold(&j.Spec, p.othersHomes(j))
	p.needsOthers[key] = needs
	return needs
}

// mayBackfill reports whether a job may be placed on accelerators that are reserved for another one. By a cautious
// estimate it must end before the reservation is ready, or be an urgent job with a short run time; or it must be a
// small batch job that stops fast and was never preempted.
func (p *pass) mayBackfill(j *hsstate.Job, claim *hsfleet.Claim) bool {
	if claim.Kind != hsfleet.Reservation || p.control.config.Disabled.Backfill {
		return false
	}
	run := hspredict.Run(p.control.state, &j.Spec, hspredict.ConservativePercent)
	switch {
	case p.clusterTime+run <= claim.Ready:
		return true
	case j.Spec.Class == hsstate.Urgent:
		return run <= backfillMaxRun
	}
	return isSmallBatch(j) && j.Preempted == 0 && p.control.stopsWithin(j, backfillMaxStop)
}

// isSmallBatch reports whether a job is so small a batch job that little work is lost when it is preempted.
func isSmallBatch(j *hsstate.Job) bool {
	return j.Spec.Class == hsstate.Batch && j.Spec.Shape.Total() <= backfillMaxSize
}

// preemptBackfill preempts the jobs that were backfilled on a reservation, once everything else on it is free.
func (p *pass) preemptBackfill(claim *hsfleet.Claim) {
	var backfilled []hsid.JobID
	for _, part := range claim.Parts {
		s := p.layout.Slot(part.Worker)
		if s == nil || !s.Usable {
			return
		}
		missing := part.Mask &^ s.Free
		for _, v := range p.victimsOn(s, p.isBackfillOf(claim)) {
			if v.mask&missing != 0 {
				missing &^= v.mask
				backfilled = append(backfilled, v.job.ID)
			}
		}
		if missing != 0 {
			return
		}
	}
	for _, id := range backfilled {
		p.control.requestStop(id, hsfleet.StopPreempted)
	}
}

// isBackfillOf returns a predicate for the jobs that were backfilled on a reservation because they stop fast.
func (p *pass) isBackfillOf(claim *hsfleet.Claim) func(v *hsstate.Job) bool {
	return func(v *hsstate.Job) bool {
		return v.Started >= claim.CreatedAt && isSmallBatch(v) && p.control.stopsWithin(v, backfillMaxStop)
	}
}

// dropStaleClaims drops the claims of jobs that aren't queued any more, and those on workers that aren't usable.
func (c *Control) dropStaleClaims() {
	rules := c.state.Rules.InForce.Number
	for id, claim := range c.leader.claims {
		j := c.state.Jobs[id]
		usable := true
		for _, part := range claim.Parts {
			w := c.leader.fleet.Get(part.Worker)
			usable = usable && w != nil && w.Usable(rules)
		}
		if j == nil || j.Phase != hsstate.Queued || !usable {
			delete(c.leader.claims, id)
		}
	}
}

// claimFor tries to claim accelerators for a job that didn't fit. In this order, it reclaims a home of the job's
// workspace, preempts batch jobs for an urgent one, or reserves the accelerators that drain first for a job past its
// age bound.
func (p *pass) claimFor(j *hsstate.Job, key placementKey) {
	if p.unclaimable[key] {
		return
	}
	if claim, victims := p.reclaim(j); claim != nil {
		p.addClaim(claim, victims)
		return
	}
	if claim, victims := p.preempt(j); claim != nil {
		p.addClaim(claim, victims)
		return
	}
	if claim := p.reserve(j); claim != nil {
		p.addClaim(claim, nil)
		return
	}
	p.unclaimable[key] = true
}

// addClaim records a claim and why its job waits, and has the victims stopped.
func (p *pass) addClaim(claim *hsfleet.Claim, victims []hsid.JobID) {
	l := p.control.leader
	claim.CreatedAt = p.clusterTime
	l.claims[claim.Job] = claim
	reason := hsfleet.WaitReason{Obstacle: fmt.Sprintf("a %s holds accelerators for it", claim.Kind)}
	for _, part := range claim.Parts {
		reason.WaitsFor = append(reason.WaitsFor, fmt.Sprintf("%s %v", part.Worker, part.Mask.Set()))
	}
	l.waitReasons[claim.Job] = reason
	for _, v := range victims {
		p.control.requestStop(v, hsfleet.StopPreempted)
	}
}

// reclaim claims the part of its workspace's home that a job needs, and returns the jobs of other workspaces that
// have to be preempted there. A job smaller than the guaranteed shape reclaims only if it is urgent or past its age
// bound.
func (p *pass) reclaim(j *hsstate.Job) (*hsfleet.Claim, []hsid.JobID) {
	for i := range p.homes {
		h := &p.homes[i]
		if h.guarantee.Workspace != j.Spec.Workspace || !j.Spec.Shape.Fits(h.guarantee.Shape) {
			continue
		}
		isWholeGuarantee := j.Spec.Shape == h.guarantee.Shape
		if !isWholeGuarantee && j.Spec.Class != hsstate.Urgent && !p.control.leader.queue.PastAgeBound(j, p.clusterTime) {
			continue
		}
		mayPreempt := func(v *hsstate.Job) bool {
			return v.Spec.Workspace != j.Spec.Workspace && !v.Once
		}
		if claim, victims := p.claimWithin(j, h.masks, mayPreempt); claim != nil {
			claim.Kind = hsfleet.Reclaim
			return claim, victims
		}
	}
	return nil, nil
}

// preempt claims accelerators for an urgent job that waited for preemptAfter, and returns the jobs to preempt: batch
// jobs on a single worker that may run again and weren't preempted within the cool-down.
func (p *pass) preempt(j *hsstate.Job) (*hsfleet.Claim, []hsid.JobID) {
	if j.Spec.Class != hsstate.Urgent || p.control.config.Disabled.Preemption || p.clusterTime-j.Accepted < preemptAfter {
		return nil, nil
	}
	mayPreempt := func(v *hsstate.Job) bool {
		cooled := v.Preempted == 0 || p.clusterTime-v.Preempted > p.control.config.PreemptionCoolDown
		return v.Spec.Class == hsstate.Batch && v.Spec.Shape.Workers == 1 && !v.Once && cooled
	}
	claim, victims := p.claimWithin(j, nil, mayPreempt)
	if claim != nil {
		claim.Kind = hsfleet.Preemption
	}
	return claim, victims
}
