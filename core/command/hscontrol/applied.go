package hscontrol

import (
	"hyssopseam/core/command/hslease"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// onApplied reacts, on the leader, to an entry that was just applied, and answers the request behind it.
func (c *Control) onApplied(e hsstate.Entry, r hsstate.Result) {
	switch command := e.Command; {
	case command.Rules != nil:
		c.onRulesApplied(r.Rules)
	case command.Submit != nil:
		c.submissionApplied(command.Submit.ID)
		c.onSubmitApplied(r.Job)
	case command.Start != nil:
		c.onStartApplied(command.Start)
	case command.Finish != nil:
		c.onEndApplied(command.Finish.Job)
	case command.Requeue != nil:
		c.onEndApplied(command.Requeue.Job)
	case command.Cancel != nil:
		for _, id := range command.Cancel.Jobs {
			c.onCancelApplied(id)
		}
	case command.Homes != nil:
		c.leader.homesProposed = false
		c.leader.passDue = true
	case command.Work != nil:
		c.leader.dispatcher.Applied(command.Work)
		if command.Work.Submit != nil {
			c.stepJobApplied(command.Work.Submit.Submission.ID)
		}
		if command.Work.Upkeep != nil {
			c.leader.maintenance.Applied(command.Work.Upkeep)
		}
	}
	c.answerProposal(e.Index, r)
}

// onRulesApplied handles a push of rules. If the pushed rules came into force, they are sent to every lease holder
// that hasn't confirmed them.
func (c *Control) onRulesApplied(r *hsstate.RulesResult) {
	if r.Verdict != hsstate.RulesAccepted || r.Number != r.InForce {
		return
	}
	notice := hslease.RulesNotice(&c.state.Rules.InForce, c.leader.term)
	c.leader.leases.Each(func(h *hslease.Holder) {
		if h.Rules >= notice.Number {
			return
		}
		if h.Role == hsmessage.RoleAgent {
			lease := notice
			c.sendRules(h.Instance, lease)
			return
		}
		c.ports.Sender.Send(h.Peer, notice)
	})
	c.leader.homesDue = true
	c.leader.passDue = true
	c.answerReadyRuleWaiters()
}

// sendRules sends an agent new rules without renewing its run lease. They are added to the orders that are due to the
// agent in answer to a report, if there are any.
func (c *Control) sendRules(id hsid.InstanceID, lease hsmessage.Lease) {
	w := c.leader.fleet.Get(id)
	if w == nil {
		return
	}
	if pending := c.leader.dirtyAgents[id]; pending != nil {
		pending.Number = lease.Number
		pending.Rules = lease.Rules
		return
	}
	c.ports.Sender.Send(w.Peer, lease)
}

// submissionApplied counts down the submissions of a job that are in the log.
func (c *Control) submissionApplied(id hsid.JobID) {
	if c.leader.submissionsInLog[id]--; c.leader.submissionsInLog[id] <= 0 {
		delete(c.leader.submissionsInLog, id)
	}
}

// stepJobApplied removes the oldest submission of a step job from those in the log.
func (c *Control) stepJobApplied(id hswork.ID) {
	requests := c.leader.stepJobsInLog[id]
	if len(requests) <= 1 {
		delete(c.leader.stepJobsInLog, id)
		return
	}
	c.leader.stepJobsInLog[id] = requests[1:]
}

// onSubmitApplied queues a job that was accepted.
func (c *Control) onSubmitApplied(r *hsstate.JobResult) {
	if r.Verdict == hsstate.JobRefused {
		c.ports.Observer.JobRefused("admission")
	}
	if r.Verdict != hsstate.JobAccepted {
		return
	}
	j := c.state.Jobs[r.ID]
	c.leader.queue.Add(j)
	c.leader.passDue = true
	c.ports.Observer.JobAccepted(j)
}

// onStartApplied moves an attempt to the running jobs, or aborts it when the start had no effect because the job was
// cancelled in the meantime.
func (c *Control) onStartApplied(s *hsstate.StartGang) {
	a := c.leader.attempts[s.Grant.Job]
	j := c.state.Jobs[s.Grant.Job]
	if a == nil || a.grant != s.Grant {
		return
	}
	if j == nil || j.Phase != hsstate.Running || j.Grant != s.Grant {
		c.abort(a)
		return
	}
	delete(c.leader.attempts, j.ID)
	c.leader.addRunning(j)
	c.leader.markMembersDirty(j.Members)
	c.ports.Observer.JobStarted(j, j.Started-j.Accepted)
}

// onEndApplied handles a job whose attempt ended, or that was given up: it is queued again or has finished.
func (c *Control) onEndApplied(id hsid.JobID) {
	l := c.leader
	delete(l.ending, id)
	j := c.state.Jobs[id]
	if running := l.running[id]; running != nil && (j == nil || j.Phase != hsstate.Running) {
		c.removeRunning(running)
	}
	l.passDue = true
	if j == nil {
		return
	}
	if j.Phase == hsstate.Queued {
		l.queue.Add(j)
		c.ports.Observer.JobRequeued(j)
		return
	}
	if j.Phase == hsstate.Finished {
		c.onFinished(j)
	}
}

// removeRunning removes a job from the running jobs.
func (c *Control) removeRunning(j *hsstate.Job) {
	delete(c.leader.running, j.ID)
	c.leader.runningList = nil
	delete(c.leader.stopReasons, j.ID)
	delete(c.leader.stopping, j.ID)
	c.leader.removePlacements(j)
}

// onCancelApplied reacts to the committed cancellation of a job: an attempt whose start isn't proposed is aborted, a
// queued job has finished, and a running job is stopped.
func (c *Control) onCancelApplied(id hsid.JobID) {
	j := c.state.Jobs[id]
	if j == nil {
		return
	}
	if a := c.leader.attempts[id]; a != nil && !a.proposed {
		c.abort(a)
	}
	if j.Phase == hsstate.Finished {
		c.onFinished(j)
		return
	}
	if running := c.leader.running[id]; running != nil {
		c.evaluate(running)
	}
}

// onFinished removes the leader's state of a finished job and answers the queries that wait for it.
func (c *Control) onFinished(j *hsstate.Job) {
	delete(c.leader.claims, j.ID)
	delete(c.leader.waitReasons, j.ID)
	delete(c.leader.newestAttempt, j.ID)
	c.leader.passDue = true
	c.ports.Observer.JobEnded(j)
	waiters := c.leader.jobWaiters[j.ID]
	delete(c.leader.jobWaiters, j.ID)
	for _, w := range waiters {
		c.answerQuery(w)
	}
}

// requestStop has a running job stopped for a reason. A job that is already being stopped or ended isn't changed.
func (c *Control) requestStop(id hsid.JobID, reason hsfleet.StopReason) {
	if c.leader.stopReasons[id] != "" || c.leader.ending[id] {
		return
	}
	c.leader.stopReasons[id] = reason
	if j := c.leader.running[id]; j != nil {
		c.evaluate(j)
	}
}
