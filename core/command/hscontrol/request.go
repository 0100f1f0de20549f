package hscontrol

import (
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// MaxWait is the longest that a query is held back.
const MaxWait = 10 * time.Minute

// receiveRequest takes a request of an entry. It is answered once, but may be sent again.
func (c *Control) receiveRequest(from hsstate.Peer, m hsmessage.Request) {
	if !c.Leading() || c.draining {
		c.ports.Sender.Send(from, hsmessage.Reply{
			ID:     m.ID,
			Status: hsmessage.StatusNotLeader,
			Leader: c.replica.LeaderAddress(),
		})
		return
	}
	a := awaited{peer: from, id: m.ID}
	switch {
	case m.Push != nil:
		c.proposeFor(a, hsstate.Command{Rules: m.Push})
	case m.Submit != nil:
		c.submit(a, m.Submit)
	case m.Cancel != nil:
		c.cancel(a, m.Cancel)
	case m.Members != nil:
		c.changeMembers(a, m.Members)
	case m.Query != nil:
		c.query(waiter{peer: from, id: m.ID, query: *m.Query})
	case m.Work != nil:
		c.work(a, m.Work)
	default:
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusBad, Reason: "the request asks for nothing"})
	}
}

func (c *Control) reply(a awaited, r hsmessage.Reply) {
	r.ID = a.id
	c.ports.Sender.Send(a.peer, r)
}

// proposeFor appends a command whose result answers a request. When leadership is lost before it is
// applied nothing is answered, and the entry asks the next leader.
func (c *Control) proposeFor(a awaited, command hsstate.Command) {
	if index, ok := c.propose(command); ok {
		c.lead.replies[index] = a
	}
}

// submit accepts a job unless it is refused at once. A job that exists, or is in the log already, isn't
// refused: an earlier request with the same key may be about to run it.
func (c *Control) submit(a awaited, s *hsstate.SubmitJob) {
	if c.state.Rules.InForce.IsOnce(s.Spec.Kind) && s.Spec.Key == "" {
		c.reply(a, hsmessage.Reply{
			Status: hsmessage.StatusBad,
			Reason: fmt.Sprintf("jobs of kind %s never run twice and need an idempotency key", s.Spec.Kind),
		})
		return
	}
	if c.state.Jobs[s.ID] == nil && c.lead.submitting[s.ID] == 0 {
		if reason, retry := c.refusal(s); reason != "" {
			result := &hsstate.JobResult{Verdict: hsstate.JobRefused, ID: s.ID, Reason: reason}
			result.Rules = c.state.Rules.InForce.Number
			c.reply(a, hsmessage.Reply{
				Status:     hsmessage.StatusRefused,
				Reason:     reason,
				RetryAfter: retry,
				Job:        result,
			})
			return
		}
	}
	if index, ok := c.propose(hsstate.Command{Submit: s}); ok {
		c.lead.replies[index] = a
		c.lead.submitting[s.ID]++
	}
}

// refusal returns why a job is refused before it is accepted, and when a later try may succeed.
func (c *Control) refusal(s *hsstate.SubmitJob) (string, time.Duration) {
	if !c.learned() {
		return "", 0
	}
	p := c.survey()
	l := p.layout
	job := &hsstate.Job{ID: s.ID, Spec: s.Spec, Index: c.replica.Last() + 1, Accepted: p.clock}
	job.Once = c.state.Rules.InForce.IsOnce(s.Spec.Kind)
	if !l.CanEver(&s.Spec, nil) {
		c.ports.Observer.Refused("neverFits")
		return fmt.Sprintf("no announced worker or rack can ever hold %s with %d millicores and %d bytes of memory a worker",
			s.Spec.Shape, s.Spec.Cores, s.Spec.Memory), 0
	}
	if !l.CanEver(&s.Spec, p.homesClosedTo(job)) {
		c.ports.Observer.Refused("neverOutsideHomes")
		return neverOutsideHomes, 0
	}
	if s.Spec.StartWithin == 0 || !c.state.Rules.InForce.MayRefuse(s.Spec.Kind) {
		return "", 0
	}
	wait := c.predictSpec(l, job)
	if wait <= s.Spec.StartWithin {
		return "", 0
	}
	c.ports.Observer.Refused("predictedLate")
	return fmt.Sprintf("the predicted start in %s is after the asked %s", wait.Round(time.Millisecond), s.Spec.StartWithin),
		max(retryAfter, wait-s.Spec.StartWithin)
}

// cancel cancels the jobs that exist.
func (c *Control) cancel(a awaited, m *hsstate.CancelJobs) {
	known := m.Jobs[:0:0]
	for _, id := range m.Jobs {
		if c.state.Jobs[id] != nil {
			known = append(known, id)
		}
	}
	if len(known) == 0 {
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: "there is no such job"})
		return
	}
	a.jobs = known
	c.proposeFor(a, hsstate.Command{Cancel: &hsstate.CancelJobs{Jobs: known}})
}

// answerProposal answers the request that led to an applied entry.
func (c *Control) answerProposal(index hsid.LogIndex, r hsstate.Result) {
	a, ok := c.lead.replies[index]
	if !ok {
		return
	}
	delete(c.lead.replies, index)
	reply := hsmessage.Reply{Status: hsmessage.StatusDone, Rules: r.Rules, Job: r.Job, Work: a.work}
	switch {
	case r.Rules != nil && r.Rules.Verdict != hsstate.RulesAccepted:
		reply.Status = hsmessage.StatusConflict
		reply.Reason = string(r.Rules.Verdict)
	case r.Job != nil && r.Job.Verdict == hsstate.JobConflict:
		reply.Status = hsmessage.StatusConflict
		reply.Reason = r.Job.Reason
	case r.Job != nil && r.Job.Verdict == hsstate.JobRefused:
		reply.Status = hsmessage.StatusRefused
		reply.Reason = r.Job.Reason
		reply.RetryAfter = retryAfter
	}
	if len(a.jobs) == 1 {
		reply.View, _ = c.read(hsmessage.Query{Kind: hsmessage.QueryJob, Job: a.jobs[0]})
	}
	c.reply(a, reply)
}

// query answers a query, or holds it back until what it waits for has happened.
func (c *Control) query(w waiter) {
	w.until = c.ports.Clock.Now().Add(min(w.query.Wait, MaxWait))
	if w.query.Wait > 0 && !c.happened(w.query) {
		c.hold(w)
		return
	}
	c.answerQuery(w)
}

func (c *Control) happened(q hsmessage.Query) bool {
	switch q.Kind {
	case hsmessage.QueryJob:
		j := c.state.Jobs[q.Job]
		return j == nil || j.Phase == hsstate.Finished
	case hsmessage.QueryRules:
		return c.state.Rules.InForce.Number >= q.Number && c.lead.leases.Everywhere(q.Number, c.ports.Clock.Now())
	}
	return true
}

// hold keeps a query back. A query that is sent again takes the place of the first.
func (c *Control) hold(w waiter) {
	if w.query.Kind == hsmessage.QueryRules {
		c.lead.ruleWaiters = append(without(c.lead.ruleWaiters, w.id), w)
		return
	}
	c.lead.jobWaiters[w.query.Job] = append(without(c.lead.jobWaiters[w.query.Job], w.id), w)
}

func without(waiters []waiter, id hsid.RequestID) []waiter {
	return slices.DeleteFunc(waiters, func(w waiter) bool { return w.id == id })
}

// checkRuleWaiters answers who waits for rules to be in force everywhere.
func (c *Control) checkRuleWaiters() {
	c.answerWaiters(func(w waiter) bool { return c.happened(w.query) })
}

func (c *Control) answerWaiters(ready func(w waiter) bool) {
	var rest []waiter
	for _, w := range c.lead.ruleWaiters {
		if ready(w) {
			c.answerQuery(w)
			continue
		}
		rest = append(rest, w)
	}
	c.lead.ruleWaiters = rest
}

func (c *Control) expireWaiters(now time.Time) {
	c.answerWaiters(func(w waiter) bool { return !now.Before(w.until) || c.happened(w.query) })
	for id, waiters := range c.lead.jobWaiters {
		var rest []waiter
		for _, w := range waiters {
			if now.Before(w.until) {
				rest = append(rest, w)
				continue
			}
			c.answerQuery(w)
		}
		if len(rest) == 0 {
			delete(c.lead.jobWaiters, id)
			continue
		}
		c.lead.jobWaiters[id] = rest
	}
}

func (c *Control) answerQuery(w waiter) {
	reply := hsmessage.Reply{Status: hsmessage.StatusDone}
	view, ok := c.read(w.query)
	if !ok {
		reply.Status = hsmessage.StatusMissing
		reply.Reason = "there is no such job"
	}
	reply.View = view
	c.reply(awaited{peer: w.peer, id: w.id}, reply)
}

func (c *Control) read(q hsmessage.Query) (*hsview.View, bool) {
	return c.ports.Reader.Read(c.source(), q)
}
