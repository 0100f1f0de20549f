package hscontrol

import (
	"fmt"
	"slices"
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
	foreign := make([]hsfleet.Mask, len(p.layout.Slots))
	for i := range p.homes {
		if p.homes[i].guarantee.Workspace != j.Spec.Workspace {
			foreign = union(foreign, p.homes[i].masks)
		}
	}
	needs := !p.layout.CanEver(&j.Spec, foreign)
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

// yield is a way to get n accelerators of one worker.
type yield struct {
	part    hsfleet.Part
	victims []hsid.JobID
	// lost is the work that would be thrown away, in accelerator-seconds.
	lost float64
}

// claimWithin finds the accelerators for a job that throw the least work away, inside the masks (nil for
// anywhere) and outside other claims, when everything that may give way does.
func (p *pass) claimWithin(j *hsstate.Job, masks []hsfleet.Mask, give func(v *hsstate.Job) bool) (*hsfleet.Claim, []hsid.JobID) {
	var best []yield
	bestLost := 0.0
	closed := p.claimed(j.ID, masks == nil)
	for i := range p.layout.Racks {
		var yields []yield
		for _, s := range p.layout.Racks[i].Slots {
			within := s.Worker.All()
			if masks != nil {
				within = masks[s.Index]
			}
			if y, ok := p.yieldOn(j, s, within&^closed[s.Index], give); ok {
				yields = append(yields, y)
			}
		}
		if hsid.WorkerCount(len(yields)) < j.Spec.Shape.Workers {
			continue
		}
		slices.SortStableFunc(yields, func(a, b yield) int { return compare(a.lost, b.lost) })
		yields = yields[:j.Spec.Shape.Workers]
		lost := 0.0
		for _, y := range yields {
			lost += y.lost
		}
		if best == nil || lost < bestLost {
			best = yields
			bestLost = lost
		}
	}
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

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// claimed returns what is claimed for other jobs, and with homes what is the home of other workspaces.
func (p *pass) claimed(but hsid.JobID, homes bool) []hsfleet.Mask {
	closed := make([]hsfleet.Mask, len(p.layout.Slots))
	for id, claim := range p.c.lead.claims {
		if id == but {
			continue
		}
		closed = p.mark(closed, claim)
	}
	for i := range p.homes {
		if homes && p.homes[i].guarantee.Workspace != p.workspaceOf(but) {
			closed = union(closed, p.homes[i].masks)
		}
	}
	return closed
}

func (p *pass) workspaceOf(id hsid.JobID) hsid.WorkspaceID {
	if j := p.c.state.Jobs[id]; j != nil {
		return j.Spec.Workspace
	}
	return ""
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
	slices.SortStableFunc(all, func(a, b holder) int { return compare(a.lost, b.lost) })
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

// reserve keeps the accelerators that drain first for a job past its age bound.
func (p *pass) reserve(j *hsstate.Job) *hsfleet.Claim {
	if p.c.config.Off.Reservations || !p.c.lead.queue.Aged(j, p.clock) || !p.mayReserve(j) {
		return nil
	}
	var best []draining
	var bestReady time.Duration
	closed := p.closedFor(j)
	for i := range p.layout.Racks {
		var parts []draining
		for _, s := range p.layout.Racks[i].Slots {
			if d, ok := p.drainingOn(j, s, closed[s.Index]); ok {
				parts = append(parts, d)
			}
		}
		if hsid.WorkerCount(len(parts)) < j.Spec.Shape.Workers {
			continue
		}
		slices.SortStableFunc(parts, func(a, b draining) int { return int(a.ready - b.ready) })
		parts = parts[:j.Spec.Shape.Workers]
		ready := parts[len(parts)-1].ready
		if best == nil || ready < bestReady {
			best = parts
			bestReady = ready
		}
	}
	if best == nil {
		return nil
	}
	claim := &hsfleet.Claim{Job: j.ID, Kind: hsfleet.Reservation, Ready: bestReady}
	for _, d := range best {
		claim.Parts = append(claim.Parts, d.part)
	}
	return claim
}

// closedFor returns what a job can't reserve: claims of others and homes that it may not borrow.
func (p *pass) closedFor(j *hsstate.Job) []hsfleet.Mask {
	return union(p.claimed(j.ID, false), p.homesClosedTo(j))
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
	slices.SortStableFunc(ends, func(a, b ending) int { return int(a.at - b.at) })
	return ends
}
