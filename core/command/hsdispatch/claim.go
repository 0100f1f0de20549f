package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// claimTimeoutFactor is how many stop timeouts a claim waits for the preempted runs to end before it expires.
	claimTimeoutFactor = 4
	// coresPerAccelerator converts accelerators into cores where work is compared. Users count with the same ratio.
	coresPerAccelerator = 8
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

// acceptableWait returns the longest wait for free capacity that a unit prefers to preempting runs.
func (d *Dispatcher) acceptableWait(u *unit) time.Duration {
	if u.covered || u.job.Priority == 0 {
		return 0
	}
	return max(min(u.slack, maxAcceptableWait), 0)
}

// preemptFor stops runs to free capacity for a unit, those that lose the least work first, and claims that capacity.
// It reports whether it did. With offRack it also considers placements on which the unit runs slower.
func (d *Dispatcher) preemptFor(u *unit, offers []*offer, offRack bool, now time.Time) bool {
	sel := d.newVictimSelector(u)
	members := d.assignLocal(u, offers, sel.fitsAfterPreemption)
	if members == nil && offRack {
		members = d.assign(u, offers, "", sel.fitsAfterPreemption)
	}
	if members == nil {
		return false
	}
	pre := sel.preemptionFor(members, offers)
	if !u.covered && pre.loss > sel.budget(len(members), pre.spare) {
		return false
	}
	reason := StopForPriority
	if u.covered {
		reason = StopForGuarantee
	}
	for _, p := range pre.victims {
		d.stopRun(p.placedRun, reason, u.job.ID)
	}
	d.deduct(u, members, offers)
	d.claims[u.key()] = &claim{members: members, createdAt: now}
	return true
}

// stepCores returns the demand of one task of a step in cores, with accelerators converted.
func stepCores(s *hswork.Step) float64 {
	return equivalentCores(s.Need)
}

// equivalentCores returns resources in cores, with accelerators converted. Memory isn't counted.
func equivalentCores(r hswork.Resources) float64 {
	return float64(r.Cores)/1000 + coresPerAccelerator*float64(r.Accelerators)
}
