package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// schedule runs one pass: it visits the ready units in order and starts those that fit. For one that doesn't, it may
// preempt runs or reserve capacity. Later units of the same placement class are skipped, unless they are covered.
func (d *Dispatcher) schedule(now time.Time) {
	offers := d.offers(now)
	units := d.readyUnits(now)
	d.dropHolds()
	d.expireClaims(units, now)
	unplaceable := map[placementClass]bool{}
	for _, u := range units {
		if c := d.claims[u.key()]; c != nil {
			d.startClaimed(u, c, offers, now)
			continue
		}
		if !d.mayRestart(u, now) {
			continue
		}
		u.trust = d.neededTrust(u)
		class := placementClassOf(u)
		if unplaceable[class] && !u.covered {
			continue
		}
		if d.startOnTime(u, offers, now) {
			continue
		}
		if members := d.place(u, offers); members != nil {
			d.start(u, members, now)
			continue
		}
		candidates, wait := d.earliestFit(u, offers, now)
		offRack := d.mayRunOffRack(u, wait, now)
		if offRack {
			if members := d.assign(u, offers, "", fits); members != nil {
				d.start(u, d.deduct(u, members, offers), now)
				continue
			}
		}
		d.requestPermits(u, offers, now)
		unplaceable[class] = unplaceable[class] || !d.needsPermit(u.job)
		if wait > d.acceptableWait(u, now) && d.mayPreempt(u, now) && d.preemptFor(u, offers, offRack, wait, now) {
			continue
		}
		d.reserve(candidates, wait, offers)
		if u.distrusts {
			d.recordHold(u, HoldForTrust, wait%never, now)
		}
	}
	d.restartStragglers(offers, now)
}

// placementClass holds the requirements that decide where a unit fits. Once a unit doesn't fit, a pass doesn't try
// the others of its class. Units that need permits are exempt, as permits differ by step, and so are covered units.
type placementClass struct {
	pool     hswork.PoolName
	need     hswork.Resources
	count    int
	label    hswork.Label
	dataRack hswork.Label
	sameRack bool
	spread   int
	// spreadStep is set for a step with a spread limit, which holds for its own tasks only.
	spreadStep StepID
	trust      TrustLevel
}

func placementClassOf(u *unit) placementClass {
	c := placementClass{
		pool:     u.job.Pool,
		need:     need(u.step),
		count:    len(u.tasks),
		label:    u.step.Label,
		dataRack: u.step.DataRack,
		sameRack: u.step.SameRack,
		spread:   u.step.Spread,
		trust:    u.trust,
	}
	if u.step.Spread > 0 {
		c.spreadStep = stepIDOf(u.key())
	}
	return c
}

// start proposes the start of a unit. It does nothing if leadership was lost.
func (d *Dispatcher) start(u *unit, members []hswork.Member, now time.Time) {
	s := &hswork.Start{Number: u.runNumber, Members: members}
	if !d.ports.Log.ProposeWork(&hswork.Command{Start: s}) {
		return
	}
	d.proposedStarts[u.key()] = s
	d.traceStart(u, members, now)
	d.recordStart(u)
	d.ports.Observer.Placed(s, now.Sub(u.readySince))
}
