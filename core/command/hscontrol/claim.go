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

// Bounds of claims.
const (
	// reservedShare bounds the accelerators that are reserved for jobs past their age bound, in percent of
	// all; a single reservation may be larger.
	reservedShare = 40
	// startBudget is what a start itself takes of a guarantee's time: preparing, committing, and
	// running the first task.
	startBudget = 200 * time.Millisecond
	// preemptAfter is how long an urgent job without a guarantee waits before others give way to it. It is
	// above the run time of what is urgent, so that a burst of short jobs waits for its own.
	preemptAfter = 20 * time.Second
	// restartCost stands, for each accelerator of a job that gives way, for its new wait and start.
	restartCost = 10 * time.Minute
	// fillStop is how fast a job must be seen to stop to fill a reservation beyond its time, and fillShort
	// how short an urgent job must be seen to run.
	fillStop  = 5 * time.Second
	fillShort = time.Minute
	// fillTotal is the largest job that fills a reservation beyond its time.
	fillTotal hsid.Accelerators = 2
	// stopQuantile is the part of observed stops, in percent, that must be within the time.
	stopQuantile = 99
)

// stoppable reports whether a job can be made to give way within a time, by the observed stop times of
// its kind. A kind that was never seen to stop can't.
func (c *Control) stoppable(j *hsstate.Job, within time.Duration) bool {
	if j.Once {
		return false
	}
	if c.config.Off.Observed {
		return true
	}
	took, ok := hsestimate.Stop(c.state, j.Spec.Workspace, j.Spec.Kind, stopQuantile)
	return ok && took+startBudget <= within
}

// mayBorrow reports whether a job may be placed on the home of a guarantee of another workspace. Gangs and
// jobs that had to give way before would throw much work away, so they borrow only when they fit nowhere
// else, and not again right after they had to give way.
func (p *pass) mayBorrow(j *hsstate.Job, g *hsstate.Guarantee) bool {
	if p.c.config.Off.Borrowing || !p.c.stoppable(j, g.Within) {
		return false
	}
	if j.Spec.Shape.Workers == 1 && j.Preempted == 0 {
		return true
	}
	cooled := j.Preempted == 0 || p.clock-j.Preempted > p.c.config.CoolDown
	return cooled && p.needsHomes(j)
}

// needsHomes reports whether a job can never run outside the homes of other workspaces.
func (p *pass) needsHomes(j *hsstate.Job) bool {
	same := samenessOf(j, j.Spec.Class)
	if needs, ok := p.needs[same]; ok {
		return needs
	}
	needs := !p.layout.CanEver(&j.Spec, p.foreignHomes(j))
	p.needs[same] = needs
	return needs
}

// mayFill reports whether a job may be placed on what is reserved for another: it must be estimated, with
// caution, to end before the reservation is ready, be short and urgent, or be stoppable fast.
func (p *pass) mayFill(j *hsstate.Job, claim *hsfleet.Claim) bool {
	if claim.Kind != hsfleet.Reservation || p.c.config.Off.Backfill {
		return false
	}
	run := hspredict.Run(p.c.state, &j.Spec, hspredict.Cautious)
	switch {
	case p.clock+run <= claim.Ready:
		return true
	case j.Spec.Class == hsstate.Urgent:
		return run <= fillShort
	}
	return isSmall(j) && j.Preempted == 0 && p.c.stoppable(j, fillStop)
}

// isSmall tells the jobs of which little work is lost when they give way.
func isSmall(j *hsstate.Job) bool {
	return j.Spec.Class == hsstate.Batch && j.Spec.Shape.Total() <= fillTotal
}

// clearFillers stops the jobs that fill a reservation once nothing else is left on it.
func (p *pass) clearFillers(claim *hsfleet.Claim) {
	var fillers []hsid.JobID
	for _, part := range claim.Parts {
		s := p.layout.Slot(part.Worker)
		if s == nil || !s.Usable {
			return
		}
		missing := part.Mask &^ s.Free
		for _, h := range p.holders(s, p.isFiller(claim)) {
			if h.mask&missing != 0 {
				missing &^= h.mask
				fillers = append(fillers, h.job.ID)
			}
		}
		if missing != 0 {
			return
		}
	}
	for _, id := range fillers {
		p.c.stop(id, hsfleet.StopPreempted)
	}
}

// isFiller tells the jobs that were started on a reservation because they can be stopped.
func (p *pass) isFiller(claim *hsfleet.Claim) func(v *hsstate.Job) bool {
	return func(v *hsstate.Job) bool {
		return v.Started >= claim.Made && isSmall(v) && p.c.stoppable(v, fillStop)
	}
}

// dropClaims drops the claims of jobs that aren't queued any more, and those on workers that are gone.
func (c *Control) dropClaims() {
	rules := c.state.Rules.InForce.Number
	for id, claim := range c.lead.claims {
		j := c.state.Jobs[id]
		usable := true
		for _, part := range claim.Parts {
			w := c.lead.fleet.Get(part.Worker)
			usable = usable && w != nil && w.Usable(rules)
		}
		if j == nil || j.Phase != hsstate.Queued || !usable {
			delete(c.lead.claims, id)
		}
	}
}

// claimFor keeps accelerators for a job that didn't fit: it takes its workspace's home back, makes jobs
// of lower classes give way for an urgent one, or reserves what drains first once it waited too long.
func (p *pass) claimFor(j *hsstate.Job, same sameness) {
	if p.unclaimed[same] {
		return
	}
	if claim, victims := p.reclaim(j); claim != nil {
		p.enter(claim, victims)
		return
	}
	if claim, victims := p.preempt(j); claim != nil {
		p.enter(claim, victims)
		return
	}
	if claim := p.reserve(j); claim != nil {
		p.enter(claim, nil)
		return
	}
	p.unclaimed[same] = true
}

func (p *pass) enter(claim *hsfleet.Claim, victims []hsid.JobID) {
	l := p.c.lead
	claim.Made = p.clock
	l.claims[claim.Job] = claim
	note := hsfleet.Note{Obstacle: fmt.Sprintf("a %s keeps accelerators for it", claim.Kind)}
	for _, part := range claim.Parts {
		note.Waits = append(note.Waits, fmt.Sprintf("%s %v", part.Worker, part.Mask.Set()))
	}
	l.notes[claim.Job] = note
	for _, v := range victims {
		p.c.stop(v, hsfleet.StopPreempted)
	}
}

// reclaim claims the part of its workspace's home that a job needs, and names who gives way there. A job
// smaller than the guaranteed shape makes others give way only when it is urgent or waited too long.
func (p *pass) reclaim(j *hsstate.Job) (*hsfleet.Claim, []hsid.JobID) {
	for i := range p.homes {
		h := &p.homes[i]
		if h.guarantee.Workspace != j.Spec.Workspace || !j.Spec.Shape.Fits(h.guarantee.Shape) {
			continue
		}
		whole := j.Spec.Shape == h.guarantee.Shape
		if !whole && j.Spec.Class != hsstate.Urgent && !p.c.lead.queue.Aged(j, p.clock) {
			continue
		}
		give := func(v *hsstate.Job) bool {
			return v.Spec.Workspace != j.Spec.Workspace && !v.Once
		}
		if claim, victims := p.claimWithin(j, h.masks, give); claim != nil {
			claim.Kind = hsfleet.Reclaim
			return claim, victims
		}
	}
	return nil, nil
}

// preempt claims room for an urgent job from batch jobs on single workers that may run again and weren't
// stopped a short while ago.
func (p *pass) preempt(j *hsstate.Job) (*hsfleet.Claim, []hsid.JobID) {
	if j.Spec.Class != hsstate.Urgent || p.c.config.Off.Preemption || p.clock-j.Accepted < preemptAfter {
		return nil, nil
	}
	give := func(v *hsstate.Job) bool {
		cooled := v.Preempted == 0 || p.clock-v.Preempted > p.c.config.CoolDown
		return v.Spec.Class == hsstate.Batch && v.Spec.Shape.Workers == 1 && !v.Once && cooled
	}
	claim, victims := p.claimWithin(j, nil, give)
	if claim != nil {
		claim.Kind = hsfleet.Preemption
	}
	return claim, victims
}
