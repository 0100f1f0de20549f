package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// maxLateRisk is the risk of being late up to which a unit counts as on time on a worker.
const maxLateRisk = 0.5

// HoldReason is why a unit isn't started on workers that are free.
type HoldReason string

// The reasons.
const (
	// HoldForSpeed waits for a faster worker, on which the unit is likely to be on time.
	HoldForSpeed HoldReason = "speed"
	// HoldForTrust waits for a worker that hasn't failed lately.
	HoldForTrust HoldReason = "trust"
)

// Hold describes the decision to hold a unit back.
type Hold struct {
	// Task is the first task of the unit.
	Task   hswork.TaskID
	Reason HoldReason
	// StartsIn is the predicted time until the unit starts; 0 if it isn't known.
	StartsIn time.Duration
}

// holdKey identifies a hold by the first task of its unit and the reason.
type holdKey struct {
	task   hswork.TaskID
	reason HoldReason
}

// startOnTime handles a unit that is likely to be late on some workers and on time on others. It starts the unit on the latter,
// or if these are busy waits for them for a moment or preempts runs there. It reports whether it did any of that; otherwise the
// unit may start anywhere. A unit that can't be on time any more, has waited long enough or has to start soon for its guarantee
// doesn't wait for fast workers.
func (d *Dispatcher) startOnTime(u *unit, offers []*offer, now time.Time) bool {
	if !d.hasSlowWorkers(u, offers) {
		return false
	}
	u.maxRisk, u.riskWait = maxLateRisk, 0
	defer func() { u.maxRisk = 0 }()
	if members := d.place(u, offers); members != nil {
		d.start(u, members, now)
		return true
	}
	if u.timeliness != onTime || d.hasWaited(u) || u.covered && now.Sub(u.readySince) > coveredRackWait {
		return false
	}
	if d.holdForSpeed(u, offers, now) {
		return true
	}
	u.riskWait = d.config.StopTimeout
	if !d.mayPreempt(u, now) {
		return false
	}
	wait := never
	if d.config.Features.Costs {
		_, wait = d.earliestFit(u, offers, now)
	}
	return d.preemptFor(u, offers, false, wait, now)
}

// hasSlowWorkers reports whether a unit is likely to be late on some workers that suit it, and on time on others.
func (d *Dispatcher) hasSlowWorkers(u *unit, offers []*offer) bool {
	if !d.fleet.uneven || u.step.LongRunning || u.step.BestEffort {
		return false
	}
	slow, fast := false, false
	for _, o := range offers {
		isSlow := d.lateRisk(u, o.worker, 0) > maxLateRisk
		if isSlow && slow || !isSlow && fast || !o.suits(u.job.Pool, u.step) {
			continue
		}
		slow, fast = slow || isSlow, fast || !isSlow
		if slow && fast {
			return true
		}
	}
	return false
}

// holdForSpeed holds a unit back if fast workers are expected to be free for it within the stop timeout, so that no run has to be
// preempted, and reserves them. It ends after the stop timeout. Units that need permits aren't held, as the policy service
// is asked about them once they don't fit.
func (d *Dispatcher) holdForSpeed(u *unit, offers []*offer, now time.Time) bool {
	since, held := d.heldSince[holdKey{u.key(), HoldForSpeed}]
	if d.needsPermit(u.job) || held && now.Sub(since) >= d.config.StopTimeout {
		return false
	}
	candidates, wait := d.earliestFitWithin(u, offers, d.config.StopTimeout, now)
	if candidates == nil || wait == 0 {
		return false
	}
	for _, c := range candidates {
		if d.lateRisk(u, c.offer.worker, wait) > maxLateRisk {
			return false
		}
	}
	d.reserve(candidates, wait, offers)
	d.recordHold(u, HoldForSpeed, wait, now)
	return true
}

// recordHold records that a unit is held back, and reports it the first time.
func (d *Dispatcher) recordHold(u *unit, reason HoldReason, startsIn time.Duration, now time.Time) {
	key := holdKey{u.key(), reason}
	if _, held := d.heldSince[key]; held {
		return
	}
	d.heldSince[key] = now
	d.ports.Observer.Held(Hold{Task: u.key(), Reason: reason, StartsIn: startsIn})
}

// dropHolds drops the holds of units that aren't ready any more.
func (d *Dispatcher) dropHolds() {
	for key := range d.heldSince {
		if _, ready := d.readySince[key.task]; !ready {
			delete(d.heldSince, key)
		}
	}
}

// isTooSlow reports whether a unit that has to be on time is likely to be late on a worker.
func (d *Dispatcher) isTooSlow(u *unit, w *worker) bool {
	return u.maxRisk > 0 && d.lateRisk(u, w, u.riskWait) > u.maxRisk
}
