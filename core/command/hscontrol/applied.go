package hscontrol

import (
	"hyssopseam/core/command/hslease"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// applied acts, as the leader, on an entry that was just applied.
func (c *Control) applied(e hsstate.Entry, r hsstate.Result) {
	switch x := e.Command; {
	case x.Rules != nil:
		c.appliedRules(r.Rules)
	case x.Submit != nil:
		c.settleSubmission(x.Submit.ID)
		c.appliedSubmit(r.Job)
	case x.Start != nil:
		c.appliedStart(x.Start)
	case x.Finish != nil:
		c.appliedEnd(x.Finish.Job)
	case x.Requeue != nil:
		c.appliedEnd(x.Requeue.Job)
	case x.Cancel != nil:
		for _, id := range x.Cancel.Jobs {
			c.appliedCancel(id)
		}
	case x.Homes != nil:
		c.lead.homesAsked = false
		c.lead.passDue = true
	case x.Work != nil:
		c.lead.work.Applied(x.Work)
		if x.Work.Upkeep != nil {
			c.lead.upkeep.Applied(x.Work.Upkeep)
		}
	}
	c.answerProposal(e.Index, r)
}

func (c *Control) appliedRules(r *hsstate.RulesResult) {
	if r.Verdict != hsstate.RulesAccepted || r.Number != r.InForce {
		return
	}
	notice := hslease.Announce(&c.state.Rules.InForce, c.lead.term)
	c.lead.leases.Each(func(h *hslease.Holder) {
		if h.Rules >= notice.Number {
			return
		}
		if h.Role == hsmessage.RoleAgent {
			lease := notice
			c.notifyAgent(h.Instance, lease)
			return
		}
		c.ports.Sender.Send(h.Peer, notice)
	})
	c.lead.homesDue = true
	c.lead.passDue = true
	c.checkRuleWaiters()
}

// notifyAgent sends an agent new rules without renewing its run lease.
func (c *Control) notifyAgent(id hsid.InstanceID, lease hsmessage.Lease) {
	w := c.lead.fleet.Get(id)
	if w == nil {
		return
	}
	if pending := c.lead.dirty[id]; pending != nil {
		pending.Number = lease.Number
		pending.Rules = lease.Rules
		return
	}
	c.ports.Sender.Send(w.Peer, lease)
}

func (c *Control) settleSubmission(id hsid.JobID) {
	if c.lead.submitting[id]--; c.lead.submitting[id] <= 0 {
		delete(c.lead.submitting, id)
	}
}

func (c *Control) appliedSubmit(r *hsstate.JobResult) {
	if r.Verdict == hsstate.JobRefused {
		c.ports.Observer.Refused("admission")
	}
	if r.Verdict != hsstate.JobAccepted {
		return
	}
	j := c.state.Jobs[r.ID]
	c.lead.queue.Add(j)
	c.lead.passDue = true
	c.ports.Observer.Accepted(j)
}

// appliedStart moves an attempt to the running jobs, or drops it when the job was cancelled meanwhile.
func (c *Control) appliedStart(s *hsstate.StartGang) {
	a := c.lead.attempts[s.Grant.Job]
	j := c.state.Jobs[s.Grant.Job]
	if a == nil || a.grant != s.Grant {
		return
	}
	if j == nil || j.Phase != hsstate.Running || j.Grant != s.Grant {
		c.abort(a)
		return
	}
	delete(c.lead.attempts, j.ID)
	c.lead.addRunning(j)
	c.lead.markMembers(j.Members)
	c.ports.Observer.Started(j, j.Started-j.Accepted)
}

// appliedEnd settles a job whose attempt ended, or that was refused.
func (c *Control) appliedEnd(id hsid.JobID) {
	l := c.lead
	delete(l.ending, id)
	j := c.state.Jobs[id]
	if was := l.running[id]; was != nil && (j == nil || j.Phase != hsstate.Running) {
		c.forgetRunning(was)
	}
	l.passDue = true
	if j == nil {
		return
	}
	if j.Phase == hsstate.Queued {
		l.queue.Add(j)
		c.ports.Observer.Requeued(j)
		return
	}
	if j.Phase == hsstate.Finished {
		c.finished(j)
	}
}

// forgetRunning drops a job from the running ones.
func (c *Control) forgetRunning(j *hsstate.Job) {
	delete(c.lead.running, j.ID)
	c.lead.runningList = nil
	delete(c.lead.stops, j.ID)
	delete(c.lead.stopping, j.ID)
	c.lead.displace(j)
}

// appliedCancel acts on a committed cancellation.
func (c *Control) appliedCancel(id hsid.JobID) {
	j := c.state.Jobs[id]
	if j == nil {
		return
	}
	if a := c.lead.attempts[id]; a != nil && !a.proposed {
		c.abort(a)
	}
	if j.Phase == hsstate.Finished {
		c.finished(j)
		return
	}
	if running := c.lead.running[id]; running != nil {
		c.evaluate(running)
	}
}

// finished tells whoever waits for a job.
func (c *Control) finished(j *hsstate.Job) {
	delete(c.lead.claims, j.ID)
	delete(c.lead.notes, j.ID)
	delete(c.lead.tries, j.ID)
	c.lead.passDue = true
	c.ports.Observer.Ended(j)
	waiters := c.lead.jobWaiters[j.ID]
	delete(c.lead.jobWaiters, j.ID)
	for _, w := range waiters {
		c.answerQuery(w)
	}
}

// stop has a running job give way.
func (c *Control) stop(id hsid.JobID, reason hsfleet.Stop) {
	if c.lead.stops[id] != "" || c.lead.ending[id] {
		return
	}
	c.lead.stops[id] = reason
	if j := c.lead.running[id]; j != nil {
		c.evaluate(j)
	}
}
