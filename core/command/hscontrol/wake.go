package hscontrol

import (
	"slices"
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// wakeLeader does what only the passing of time brings about.
func (c *Control) wakeLeader() {
	now := c.ports.Clock.Now()
	c.expireAttempts(now)
	c.checkSilence(now)
	c.expireWaiters(now)
	c.repairMembers(now)
	c.lead.work.Wake()
	c.lead.upkeep.Wake()
	if now.Sub(c.lead.passAt) >= passInterval {
		c.lead.passDue = true
		c.lead.leases.Forget(forgetAfter, now)
	}
}

// flushLeader runs a scheduling pass if something changed, and sends the orders.
func (c *Control) flushLeader() {
	if c.lead.passDue {
		c.lead.passDue = false
		c.lead.passAt = c.ports.Clock.Now()
		c.updateHomes()
		c.schedule()
	}
	c.sendOrders()
	c.lead.work.SetControls(c.memberAddresses())
	c.lead.work.Flush()
}

// lostAt returns when a worker counts as lost if nothing more is heard of it: its run lease with the
// drift of two clocks after the last grant. Grants of an earlier leader were made before this one led.
func (c *Control) lostAt(id hsid.InstanceID) time.Time {
	granted := c.lead.since
	if w := c.lead.fleet.Get(id); w != nil && w.Granted.After(granted) {
		granted = w.Granted
	}
	return granted.Add(hslease.WithDrift(c.config.RunLease))
}

// lost reports whether what a worker ran must be taken for lost.
func (c *Control) lost(id hsid.InstanceID, now time.Time) bool {
	w := c.lead.fleet.Get(id)
	if w == nil || w.Gone {
		return !now.Before(c.lostAt(id))
	}
	return false
}

// checkSilence marks workers whose agents are silent past the run lease, and looks at their jobs.
func (c *Control) checkSilence(now time.Time) {
	var forget []hsid.InstanceID
	c.lead.fleet.Each(func(w *hsfleet.Worker) {
		id := w.Report.Instance
		silent := now.Sub(w.Reported)
		switch {
		case silent > forgetAfter && len(c.lead.byWorker[id]) == 0:
			forget = append(forget, id)
		case !w.Gone && silent > c.config.RunLease && !now.Before(c.lostAt(id)):
			w.Gone = true
			c.lead.homesDue = true
			c.lead.passDue = true
			c.evaluateWorker(id)
		}
	})
	for _, id := range forget {
		c.lead.fleet.Remove(id)
		c.lead.homesDue = true
	}
	c.checkUnreported(now)
}

// checkUnreported looks at jobs on workers that never reported to this leader.
func (c *Control) checkUnreported(now time.Time) {
	if now.Before(c.lead.since.Add(hslease.WithDrift(c.config.RunLease))) {
		return
	}
	var silent []hsid.InstanceID
	for id, jobs := range c.lead.byWorker {
		if len(jobs) > 0 && c.lead.fleet.Get(id) == nil {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		c.evaluateWorker(id)
	}
}

// evaluateWorker looks at every running job that has a member on a worker.
func (c *Control) evaluateWorker(id hsid.InstanceID) {
	for _, j := range slices.Clone(c.lead.byWorker[id]) {
		if job := c.lead.running[j]; job != nil {
			c.evaluate(job)
		}
	}
}

// giveUp ends a queued job: as not run if no part of it ran, and as failed otherwise.
func (c *Control) giveUp(j *hsstate.Job, reason string) {
	if c.lead.ending[j.ID] {
		return
	}
	end := &hsstate.FinishJob{Job: j.ID, Attempt: j.Attempt, Outcome: hsstate.NotRun, Detail: reason}
	if j.Ran {
		end.Outcome = hsstate.Failed
	}
	if _, ok := c.propose(hsstate.Command{Finish: end}); ok {
		c.lead.ending[j.ID] = true
		c.ports.Observer.Refused("gaveUp")
	}
}
