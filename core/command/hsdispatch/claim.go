package hsdispatch

import (
	"time"

	"hyssopseam/core/hscost"
	"hyssopseam/core/hswork"
)

const (
	// claimTimeoutFactor is how many stop timeouts a claim waits for the preempted runs to end before it expires.
	claimTimeoutFactor = 4
	// preemptAfter is how long a unit below the highest priority, 0, has to wait before it may preempt runs.
	preemptAfter = time.Second
	// maxAcceptableWait is the longest wait that a unit below priority 0 prefers to preempting runs.
	maxAcceptableWait = 5 * time.Second
)

// claim is the placement of a unit that starts once the runs preempted for it have ended.
type claim struct {
	members   []hswork.Member
	createdAt time.Time
	// restart is set for a unit whose earlier runs are being stopped for it. It isn't ready before these have ended.
	restart bool
}

// expireClaims drops the claims of units that no longer wait, and those whose capacity wasn't freed in time.
func (d *Dispatcher) expireClaims(units []*unit, now time.Time) {
	waiting := map[hswork.TaskID]bool{}
	for _, u := range units {
		waiting[u.key()] = true
	}
	for key, c := range d.claims {
		if !waiting[key] && !(c.restart && d.isOpen(key.Job)) || now.Sub(c.createdAt) > claimTimeoutFactor*d.config.StopTimeout {
			delete(d.claims, key)
		}
	}
}

// isOpen reports whether a job is open.
func (d *Dispatcher) isOpen(id hswork.ID) bool {
	j := d.state.Jobs[id]
	return j != nil && j.Phase == hswork.Open
}

// startClaimed starts a unit once all capacity of its claim is free. The offers already count the claim as used, so
// free stays negative until the preempted runs have freed enough. The claim is dropped when one of its workers is
// gone or its endpoint has restarted.
func (d *Dispatcher) startClaimed(u *unit, c *claim, offers []*offer, now time.Time) {
	for _, m := range c.members {
		o := offerFrom(offers, m.Worker)
		if o == nil || o.worker.report.Endpoint.Incarnation != m.EndpointIncarnation {
			delete(d.claims, u.key())
			return
		}
		if o.free.Cores < 0 || o.free.Memory < 0 || o.free.Accelerators < 0 {
			return
		}
	}
	delete(d.claims, u.key())
	d.start(u, c.members, now)
}

// mayPreempt reports whether runs may be preempted for a unit: at once for covered units, at once for units of
// priority 0 that can still be on time, and after preemptAfter for other units that can still be on time.
func (d *Dispatcher) mayPreempt(u *unit, now time.Time) bool {
	switch {
	case u.covered:
		return true
	case u.timeliness != onTime:
		return false
	case u.job.Priority == 0:
		return true
	}
	return now.Sub(u.readySince) > preemptAfter
}

// acceptableWait returns the longest predicted wait for free capacity that a unit prefers to preempting runs. With
// Features.Costs that is the time that it takes to stop runs for a covered unit or one of priority 0, until the unit has waited
// as long.
func (d *Dispatcher) acceptableWait(u *unit, now time.Time) time.Duration {
	if u.covered || u.job.Priority == 0 {
		if !d.config.Features.Costs || now.Sub(u.readySince) >= d.config.StopTimeout {
			return 0
		}
		return d.config.StopTimeout
	}
	return max(min(u.slack, maxAcceptableWait), 0)
}

// victimPlanner decides which runs are stopped to make room for a unit.
type victimPlanner interface {
	// plan returns where the unit starts and which runs are stopped for that, or nil if that isn't possible or costs too
	// much. With offRack it also considers placements on which the unit runs slower.
	plan(offers []*offer, offRack bool) *preemption
}

// newVictimPlanner returns the planner for a unit that would wait for a time if no run were stopped for it.
func (d *Dispatcher) newVictimPlanner(u *unit, wait time.Duration, now time.Time) victimPlanner {
	if d.config.Features.Costs {
		return d.newCostSelector(u, wait, now)
	}
	return d.newVictimSelector(u)
}

// preemptFor stops runs to free capacity for a unit that would wait for a time otherwise, and claims that capacity. It reports
// whether it did.
func (d *Dispatcher) preemptFor(u *unit, offers []*offer, offRack bool, wait time.Duration, now time.Time) bool {
	pre := d.newVictimPlanner(u, wait, now).plan(offers, offRack)
	if pre == nil {
		return false
	}
	reason := StopForPriority
	if u.covered {
		reason = StopForGuarantee
	}
	for _, p := range pre.victims {
		d.stopRunFor(p.placedRun, Stop{Reason: reason, For: u.job.ID, Cost: p.cost, Saved: pre.saved})
	}
	d.deduct(u, pre.members, offers)
	d.claims[u.key()] = &claim{members: pre.members, createdAt: now}
	return true
}

// stepCores returns the demand of one task of a step in cores, with accelerators converted.
func stepCores(s *hswork.Step) float64 {
	return equivalentCores(s.Need)
}

// equivalentCores returns resources in cores, with accelerators converted. Memory isn't counted.
func equivalentCores(r hswork.Resources) float64 {
	return hscost.Cores(r)
}
