package hscontrol

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/command/hsbreaker"
	"hyssopseam/core/command/hsgang"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// attempt is a gang in the first phase of its start. None of it is committed.
type attempt struct {
	job      *hsstate.Job
	grant    hsid.Grant
	members  []hsstate.Placement
	deadline time.Time
	// proposed is set once the start is appended to the log, committed or not.
	proposed bool
}

// memberTicket is the ticket that a worker's circuit breaker issued for one member of a gang.
type memberTicket struct {
	worker hsid.InstanceID
	ticket hsbreaker.Ticket
}

// prepare begins an attempt: every member's agent is ordered to hold its accelerators.
func (c *Control) prepare(j *hsstate.Job, members []hsstate.Placement) {
	now := c.ports.Clock.Now()
	l := c.leader
	l.newestAttempt[j.ID] = max(l.newestAttempt[j.ID], j.Attempt) + 1
	a := &attempt{
		job:      j,
		grant:    hsid.Grant{Job: j.ID, Attempt: l.newestAttempt[j.ID], Term: l.term},
		members:  members,
		deadline: now.Add(c.config.PrepareTimeout),
	}
	l.attempts[j.ID] = a
	delete(l.claims, j.ID)
	delete(l.waitReasons, j.ID)
	l.tickets[j.ID] = nil
	l.addPlacements(j, members)
	for _, m := range members {
		l.markDirty(m.Worker)
		t := memberTicket{worker: m.Worker, ticket: l.breakers.Begin(m.Worker, now)}
		l.tickets[j.ID] = append(l.tickets[j.ID], t)
	}
}

// advance checks the newest reports about an attempt. When all members hold their accelerators, it proposes the
// start. When a member can't hold them any more, or the job is no longer queued, it aborts the attempt.
func (c *Control) advance(a *attempt) {
	if a.proposed {
		return
	}
	if a.job.Phase != hsstate.Queued || c.leader.ending[a.job.ID] {
		c.abort(a)
		return
	}
	held := 0
	for _, m := range a.members {
		w := c.leader.fleet.Get(m.Worker)
		if w == nil || w.Report.Incarnation != m.Incarnation || w.Report.Worker.Endpoint != m.Endpoint || w.Report.Worker.Leaving {
			c.abort(a)
			return
		}
		t := w.Task(a.grant)
		if t == nil {
			continue
		}
		if t.Phase != hsmessage.TaskHeld {
			c.abort(a)
			return
		}
		held++
	}
	if held < len(a.members) {
		return
	}
	start := &hsstate.StartGang{Grant: a.grant, Members: a.members, Rules: c.state.Rules.InForce.Number}
	if _, ok := c.propose(hsstate.Command{Start: start}); ok {
		a.proposed = true
	}
}

// abort drops an attempt that isn't committed. The agents release its accelerators on their next orders.
func (c *Control) abort(a *attempt) {
	delete(c.leader.attempts, a.job.ID)
	c.leader.removePlacements(a.job)
	c.abandonTickets(a.job.ID)
	c.leader.passDue = true
}

// expireAttempts aborts the attempts whose members didn't all hold their accelerators in time.
func (c *Control) expireAttempts(now time.Time) {
	for _, a := range c.sortedAttempts() {
		if !a.proposed && !now.Before(a.deadline) {
			c.abort(a)
		}
	}
}

// sortedAttempts returns the attempts in the order in which their jobs were accepted.
func (c *Control) sortedAttempts() []*attempt {
	all := make([]*attempt, 0, len(c.leader.attempts))
	for _, a := range c.leader.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.job.Index, b.job.Index) })
	return all
}

// evaluate decides from the reports about a running job's members whether to let it run, stop it, or end the attempt.
func (c *Control) evaluate(j *hsstate.Job) {
	l := c.leader
	if l.ending[j.ID] {
		return
	}
	now := c.ports.Clock.Now()
	members := make([]hsgang.Member, 0, len(j.Members))
	for _, p := range j.Members {
		lost := c.isLost(p.Worker, now)
		members = append(members, hsgang.EvidenceOf(j.Grant, p, l.fleet.Get(p.Worker), lost))
	}
	decision := hsgang.Decide(j, members, l.stopReasons[j.ID])
	switch decision.Action {
	case hsgang.StopAll:
		if !l.stopping[j.ID] {
			l.stopping[j.ID] = true
			l.markMembersDirty(j.Members)
		}
	case hsgang.Finish, hsgang.Requeue:
		c.endAttempt(j, decision, members)
	}
}

// endAttempt proposes the end of an attempt and reports the result on each worker to its circuit breaker.
func (c *Control) endAttempt(j *hsstate.Job, decision hsgang.Decision, members []hsgang.Member) {
	if _, ok := c.propose(endCommand(j, decision)); !ok {
		return
	}
	c.leader.ending[j.ID] = true
	c.settleTickets(j, members)
}

// endCommand returns the command that ends an attempt, by requeueing or finishing its job.
func endCommand(j *hsstate.Job, decision hsgang.Decision) hsstate.Command {
	if decision.Action == hsgang.Requeue {
		return hsstate.Command{Requeue: &hsstate.RequeueJob{
			Job:      j.ID,
			Attempt:  j.Attempt,
			Detail:   decision.Detail,
			Failed:   decision.Failed,
			Ran:      decision.Ran,
			StopTook: decision.StopTook,
			FailedOn: decision.FailedOn,
		}}
	}
	return hsstate.Command{Finish: &hsstate.FinishJob{
		Job:      j.ID,
		Attempt:  j.Attempt,
		Outcome:  decision.Outcome,
		Ran:      decision.Ran,
		Detail:   decision.Detail,
		Answer:   decision.Answer,
		Sum:      decision.Sum,
		StopTook: decision.StopTook,
	}}
}

// settleTickets reports each member's result to the circuit breaker of its worker. A job's failures count against a
// worker only while the job has failed on no other; a job that fails again is at fault itself, and its earlier
// failures are withdrawn.
func (c *Control) settleTickets(j *hsstate.Job, members []hsgang.Member) {
	now := c.ports.Clock.Now()
	l := c.leader
	for _, t := range l.tickets[j.ID] {
		i := slices.IndexFunc(members, func(m hsgang.Member) bool { return m.Worker == t.worker })
		switch {
		case i >= 0 && members[i].Evidence == hsgang.Done:
			l.breakers.Succeed(t.worker, t.ticket)
		case i >= 0 && members[i].Evidence == hsgang.Failed && len(j.FailedOn) == 0:
			c.recordFailure(j, t, now)
		default:
			l.breakers.Release(t.worker, t.ticket, now)
		}
	}
	delete(l.tickets, j.ID)
	if len(j.FailedOn) > 0 && slices.ContainsFunc(members, func(m hsgang.Member) bool { return m.Evidence == hsgang.Failed }) {
		l.breakers.WithdrawFailures(j.FailedOn, j.ID)
	}
}

// recordFailure reports a failure to a worker's circuit breaker, and quarantines the worker if that opens it.
func (c *Control) recordFailure(j *hsstate.Job, t memberTicket, now time.Time) {
	if !c.leader.breakers.Fail(t.worker, t.ticket, j.ID, now) {
		return
	}
	if w := c.leader.fleet.Get(t.worker); w != nil {
		w.Quarantined = true
	}
	c.leader.homesDue = true
}

// abandonTickets returns the circuit breakers' tickets of an aborted attempt without a result.
func (c *Control) abandonTickets(j hsid.JobID) {
	now := c.ports.Clock.Now()
	for _, t := range c.leader.tickets[j] {
		c.leader.breakers.Release(t.worker, t.ticket, now)
	}
	delete(c.leader.tickets, j)
}
