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

// attempt is a gang in the first phase of its start. Nothing of it is committed.
type attempt struct {
	job     *hsstate.Job
	grant   hsid.Grant
	members []hsstate.Placement
	until   time.Time
	// proposed is set once the start is in the log, committed or not.
	proposed bool
}

// ticket is the breaker's ticket of one member.
type ticket struct {
	worker hsid.InstanceID
	ticket hsbreaker.Ticket
}

// prepare has every member hold its accelerators.
func (c *Control) prepare(j *hsstate.Job, members []hsstate.Placement) {
	now := c.ports.Clock.Now()
	l := c.lead
	l.tries[j.ID] = max(l.tries[j.ID], j.Attempt) + 1
	a := &attempt{
		job:     j,
		grant:   hsid.Grant{Job: j.ID, Attempt: l.tries[j.ID], Term: l.term},
		members: members,
		until:   now.Add(c.config.Prepare),
	}
	l.attempts[j.ID] = a
	delete(l.claims, j.ID)
	delete(l.notes, j.ID)
	l.tickets[j.ID] = nil
	l.place(j, members)
	for _, m := range members {
		l.markDirty(m.Worker)
		t := ticket{worker: m.Worker, ticket: l.breakers.Begin(m.Worker, now)}
		l.tickets[j.ID] = append(l.tickets[j.ID], t)
	}
}

// advance looks at what the members of an attempt report. When all hold, the start is proposed; when
// one can't hold any more, the attempt is dropped.
func (c *Control) advance(a *attempt) {
	if a.proposed {
		return
	}
	if a.job.Phase != hsstate.Queued || c.lead.ending[a.job.ID] {
		c.abort(a)
		return
	}
	held := 0
	for _, m := range a.members {
		w := c.lead.fleet.Get(m.Worker)
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

// abort drops an attempt that isn't committed. The agents drop their holds with the next orders.
func (c *Control) abort(a *attempt) {
	delete(c.lead.attempts, a.job.ID)
	c.lead.displace(a.job)
	c.releaseTickets(a.job.ID)
	c.lead.passDue = true
}

func (c *Control) expireAttempts(now time.Time) {
	for _, a := range c.sortedAttempts() {
		if !a.proposed && !now.Before(a.until) {
			c.abort(a)
		}
	}
}

func (c *Control) sortedAttempts() []*attempt {
	all := make([]*attempt, 0, len(c.lead.attempts))
	for _, a := range c.lead.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.job.Index, b.job.Index) })
	return all
}

// evaluate looks at a running job and does what its members' reports call for.
func (c *Control) evaluate(j *hsstate.Job) {
	l := c.lead
	if l.ending[j.ID] {
		return
	}
	now := c.ports.Clock.Now()
	members := make([]hsgang.Member, 0, len(j.Members))
	for _, p := range j.Members {
		lost := c.lost(p.Worker, now)
		members = append(members, hsgang.Observe(j.Grant, p, l.fleet.Get(p.Worker), lost))
	}
	d := hsgang.Judge(j, members, l.stops[j.ID])
	switch d.Action {
	case hsgang.StopAll:
		if !l.stopping[j.ID] {
			l.stopping[j.ID] = true
			l.markMembers(j.Members)
		}
	case hsgang.Finish, hsgang.Requeue:
		c.end(j, d, members)
	}
}

// end proposes the end of an attempt and tells the breakers how it went on each worker.
func (c *Control) end(j *hsstate.Job, d hsgang.Decision, members []hsgang.Member) {
	if _, ok := c.propose(endCommand(j, d)); !ok {
		return
	}
	c.lead.ending[j.ID] = true
	c.settleTickets(j, members)
}

func endCommand(j *hsstate.Job, d hsgang.Decision) hsstate.Command {
	if d.Action == hsgang.Requeue {
		return hsstate.Command{Requeue: &hsstate.RequeueJob{
			Job:      j.ID,
			Attempt:  j.Attempt,
			Detail:   d.Detail,
			Lost:     d.Lost,
			Ran:      d.Ran,
			StopTook: d.StopTook,
			FailedOn: d.FailedOn,
		}}
	}
	return hsstate.Command{Finish: &hsstate.FinishJob{
		Job:      j.ID,
		Attempt:  j.Attempt,
		Outcome:  d.Outcome,
		Ran:      d.Ran,
		Detail:   d.Detail,
		Answer:   d.Answer,
		Sum:      d.Sum,
		StopTook: d.StopTook,
	}}
}

// settleTickets gives each member's outcome to the breaker of its worker.
func (c *Control) settleTickets(j *hsstate.Job, members []hsgang.Member) {
	now := c.ports.Clock.Now()
	l := c.lead
	for _, t := range l.tickets[j.ID] {
		at := slices.IndexFunc(members, func(m hsgang.Member) bool { return m.Worker == t.worker })
		switch {
		case at >= 0 && members[at].Evidence == hsgang.Done:
			l.breakers.Succeed(t.worker, t.ticket)
		case at >= 0 && members[at].Evidence == hsgang.Failed && len(j.FailedOn) == 0:
			c.settleFailure(j, t, now)
		default:
			l.breakers.Abandon(t.worker, t.ticket, now)
		}
	}
	delete(l.tickets, j.ID)
	if len(j.FailedOn) > 0 && slices.ContainsFunc(members, func(m hsgang.Member) bool { return m.Evidence == hsgang.Failed }) {
		l.breakers.Absolve(j.FailedOn, j.ID)
	}
}

func (c *Control) settleFailure(j *hsstate.Job, t ticket, now time.Time) {
	if !c.lead.breakers.Fail(t.worker, t.ticket, j.ID, now) {
		return
	}
	if w := c.lead.fleet.Get(t.worker); w != nil {
		w.Quarantined = true
	}
	c.lead.homesDue = true
}

// releaseTickets abandons the tickets of an attempt that was dropped.
func (c *Control) releaseTickets(j hsid.JobID) {
	now := c.ports.Clock.Now()
	for _, t := range c.lead.tickets[j] {
		c.lead.breakers.Abandon(t.worker, t.ticket, now)
	}
	delete(c.lead.tickets, j)
}
