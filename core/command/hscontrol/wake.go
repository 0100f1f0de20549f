package hscontrol

import (
	"slices"
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// wakeLeader handles the leader's timeouts.
func (c *Control) wakeLeader() {
	now := c.ports.Clock.Now()
	c.expireAttempts(now)
	c.checkSilentWorkers(now)
	c.answerExpiredWaiters(now)
	c.repairMembers(now)
	c.leader.dispatcher.Wake()
	c.leader.maintenance.Wake()
	if now.Sub(c.leader.lastPass) >= passInterval {
		c.leader.passDue = true
		c.leader.leases.RemoveSilent(forgetAfter, now)
	}
}

// flushLeader runs a scheduling pass if one is due, sends orders to the dirty agents, and flushes the dispatcher of
// step jobs.
func (c *Control) flushLeader() {
	if c.leader.passDue {
		c.leader.passDue = false
		c.leader.lastPass = c.ports.Clock.Now()
		c.updateHomes()
		c.schedule()
	}
	c.sendOrders()
	c.leader.dispatcher.SetControls(c.memberAddresses())
	c.leader.dispatcher.Flush()
}

// presumedLostAt returns when a worker is presumed lost if nothing more is heard from it. That is when its run lease,
// counted from the last grant, has expired even with the largest clock drift. Leases granted by earlier leaders count
// from when this one began to lead, as they were granted before that.
func (c *Control) presumedLostAt(id hsid.InstanceID) time.Time {
	granted := c.leader.since
	if w := c.leader.fleet.Get(id); w != nil && w.Granted.After(granted) {
		granted = w.Granted
	}
	return granted.Add(hslease.WithDrift(c.config.RunLease))
}

// isLost reports whether the tasks of a worker are presumed lost.
func (c *Control) isLost(id hsid.InstanceID, now time.Time) bool {
	w := c.leader.fleet.Get(id)
	if w == nil || w.Gone {
		return !now.Before(c.presumedLostAt(id))
	}
	return false
}

// checkSilentWorkers marks the workers whose agents have been silent past the run lease as gone and evaluates their
// jobs. It forgets workers without jobs that have been silent for forgetAfter.
func (c *Control) checkSilentWorkers(now time.Time) {
	var forget []hsid.InstanceID
	c.leader.fleet.Each(func(w *hsfleet.Worker) {
		id := w.Report.Instance
		silent := now.Sub(w.Reported)
		switch {
		case silent > forgetAfter && len(c.leader.byWorker[id]) == 0:
			forget = append(forget, id)
		case !w.Gone && silent > c.config.RunLease && !now.Before(c.presumedLostAt(id)):
			w.Gone = true
			c.leader.homesDue = true
			c.leader.passDue = true
			c.evaluateJobsOn(id)
		}
	})
	for _, id := range forget {
		c.leader.fleet.Remove(id)
		c.leader.homesDue = true
	}
	c.checkUnreportedWorkers(now)
}

// checkUnreportedWorkers evaluates the jobs on workers that have never reported to this leader, once all run leases
// granted by earlier leaders have expired.
func (c *Control) checkUnreportedWorkers(now time.Time) {
	if now.Before(c.leader.since.Add(hslease.WithDrift(c.config.RunLease))) {
		return
	}
	var silent []hsid.InstanceID
	for id, jobs := range c.leader.byWorker {
		if len(jobs) > 0 && c.leader.fleet.Get(id) == nil {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		c.evaluateJobsOn(id)
	}
}

// evaluateJobsOn evaluates every running job that has a member on a worker.
func (c *Control) evaluateJobsOn(id hsid.InstanceID) {
	for _, j := range slices.Clone(c.leader.byWorker[id]) {
		if job := c.leader.running[j]; job != nil {
			c.evaluate(job)
		}
	}
}

// giveUp finishes a queued job, with the outcome notRun if no part of it ever ran, and failed otherwise.
func (c *Control) giveUp(j *hsstate.Job, reason string) {
	if c.leader.ending[j.ID] {
		return
	}
	end := &hsstate.FinishJob{Job: j.ID, Attempt: j.Attempt, Outcome: hsstate.NotRun, Detail: reason}
	if j.Ran {
		end.Outcome = hsstate.Failed
	}
	if _, ok := c.propose(hsstate.Command{Finish: end}); ok {
		c.leader.ending[j.ID] = true
		c.ports.Observer.JobRefused("gaveUp")
	}
}
