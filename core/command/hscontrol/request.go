package hscontrol

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// MaxWait is the longest time that a long-polling query waits; a longer wait is shortened to it.
const MaxWait = 10 * time.Minute

// receiveRequest handles a request from an entry. Each request received gets at most one reply, but the entry may
// send it again with the same ID.
func (c *Control) receiveRequest(from hsstate.Peer, m hsmessage.Request) {
	if !c.Leading() || c.draining {
		c.ports.Sender.Send(from, hsmessage.Reply{
			ID:     m.ID,
			Status: hsmessage.StatusNotLeader,
			Leader: c.replica.LeaderAddress(),
		})
		return
	}
	p := pendingReply{requester: from}
	p.id, p.age = m.ID.Split()
	switch {
	case m.Push != nil:
		c.proposeAndReply(p, hsstate.Command{Rules: m.Push})
	case m.Submit != nil:
		c.handleSubmit(p, m.Submit)
	case m.Cancel != nil:
		c.handleCancel(p, m.Cancel)
	case m.Members != nil:
		c.changeMembers(p, m.Members)
	case m.Query != nil:
		c.handleQuery(waiter{requester: from, id: p.id, query: *m.Query})
	case m.Work != nil:
		c.handleWork(p, m.Work)
	default:
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusBad, Reason: "the request is empty"})
	}
}

func (c *Control) reply(p pendingReply, r hsmessage.Reply) {
	r.ID = p.id
	c.ports.Sender.Send(p.requester, r)
}

// proposeAndReply appends a command and answers the request once the command is applied. If leadership is lost
// before that, the request isn't answered, and the entry sends it to the next leader. A command that is too large is refused. It
// reports whether the command was appended.
func (c *Control) proposeAndReply(p pendingReply, command hsstate.Command) bool {
	index, err := c.replica.Propose(command)
	if errors.Is(err, hsquorum.ErrTooLarge) {
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusBad, Reason: err.Error()})
	}
	if err != nil {
		return false
	}
	c.leader.pendingReplies[index] = p
	return true
}

// handleSubmit proposes a submission unless the job is refused at once. A job that exists, or whose submission is in
// the log already, isn't refused: an earlier request with the same key may have accepted it.
func (c *Control) handleSubmit(p pendingReply, s *hsstate.SubmitJob) {
	if c.state.Jobs[s.ID] == nil && c.leader.submissionsInLog[s.ID] == 0 {
		if c.state.Rules.InForce.IsOnce(s.Spec.Kind) && s.Spec.Key == "" {
			c.reply(p, hsmessage.Reply{
				Status: hsmessage.StatusBad,
				Reason: fmt.Sprintf("jobs of kind %s never run twice and need an idempotency key", s.Spec.Kind),
			})
			return
		}
		if reason, retry := c.refusal(s); reason != "" {
			result := &hsstate.JobResult{Verdict: hsstate.JobRefused, ID: s.ID, Reason: reason}
			result.Rules = c.state.Rules.InForce.Number
			c.reply(p, hsmessage.Reply{
				Status:     hsmessage.StatusRefused,
				Reason:     reason,
				RetryAfter: retry,
				Job:        result,
			})
			return
		}
	}
	if c.proposeAndReply(p, hsstate.Command{Submit: s}) {
		c.leader.submissionsInLog[s.ID]++
	}
}

// refusal returns why a job is refused on submission, or "" if it isn't, and the delay after which a retry may
// succeed, or 0 if no retry is expected to. A leader that doesn't know the fleet yet refuses nothing.
// The Observer is told of a refusal.
func (c *Control) refusal(s *hsstate.SubmitJob) (string, time.Duration) {
	if !c.fleetDiscovered() {
		return "", 0
	}
	p := c.newPassWithoutQueue()
	l := p.layout
	job := &hsstate.Job{ID: s.ID, Spec: s.Spec, Index: c.replica.LastIndex() + 1, Accepted: p.clusterTime}
	job.Once = c.state.Rules.InForce.IsOnce(s.Spec.Kind)
	if !l.CouldHold(&s.Spec, nil) {
		c.ports.Observer.JobRefused("neverFits")
		return fmt.Sprintf("no known worker or rack can ever hold %s with %d millicores and %d bytes of memory per worker",
			s.Spec.Shape, s.Spec.Cores, s.Spec.Memory), 0
	}
	if !l.CouldHold(&s.Spec, p.excludedHomes(job)) {
		c.ports.Observer.JobRefused("neverOutsideHomes")
		return neverOutsideHomes, 0
	}
	if s.Spec.StartWithin == 0 || !c.state.Rules.InForce.MayRefuse(s.Spec.Kind) {
		return "", 0
	}
	wait := c.predictWait(l, job)
	if wait <= s.Spec.StartWithin {
		return "", 0
	}
	c.ports.Observer.JobRefused("predictedLate")
	return fmt.Sprintf("the predicted start in %s is later than the requested %s", wait.Round(time.Millisecond), s.Spec.StartWithin),
		max(minRetryAfter, wait-s.Spec.StartWithin)
}

// handleCancel proposes the cancellation of those of the jobs that exist.
func (c *Control) handleCancel(p pendingReply, m *hsstate.CancelJobs) {
	known := m.Jobs[:0:0]
	for _, id := range m.Jobs {
		if c.state.Jobs[id] != nil {
			known = append(known, id)
		}
	}
	if len(known) == 0 {
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: "there is no such job"})
		return
	}
	p.cancelled = known
	c.proposeAndReply(p, hsstate.Command{Cancel: &hsstate.CancelJobs{Jobs: known}})
}

// answerProposal answers the request whose command was applied at an index, if there is one.
func (c *Control) answerProposal(index hsid.LogIndex, r hsstate.Result) {
	p, ok := c.leader.pendingReplies[index]
	if !ok {
		return
	}
	delete(c.leader.pendingReplies, index)
	reply := hsmessage.Reply{Status: hsmessage.StatusDone, Rules: r.Rules, Job: r.Job, Work: p.workReply}
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
		reply.RetryAfter = minRetryAfter
	}
	if len(p.cancelled) == 1 {
		reply.View, _ = c.read(hsmessage.Query{Kind: hsmessage.QueryJob, Job: p.cancelled[0]})
	}
	c.reply(p, reply)
}

// handleQuery answers a query at once, or holds a long-polling query until its condition is met.
func (c *Control) handleQuery(w waiter) {
	w.deadline = c.ports.Clock.Now().Add(min(w.query.Wait, MaxWait))
	if w.query.Wait > 0 && !c.conditionMet(w.query) {
		c.holdQuery(w)
		return
	}
	c.answerQuery(w)
}

// conditionMet reports whether the condition of a long-polling query is met: the job has finished or doesn't exist,
// or the rules are in force everywhere. Queries of other kinds don't wait.
func (c *Control) conditionMet(q hsmessage.Query) bool {
	switch q.Kind {
	case hsmessage.QueryJob:
		j := c.state.Jobs[q.Job]
		return j == nil || j.Phase == hsstate.Finished
	case hsmessage.QueryRules:
		return c.state.Rules.InForce.Number >= q.Number && c.leader.leases.InForceEverywhere(q.Number, c.ports.Clock.Now())
	}
	return true
}

// holdQuery holds a query until its condition is met or its deadline passes. A query that is sent again replaces the
// earlier one.
func (c *Control) holdQuery(w waiter) {
	if w.query.Kind == hsmessage.QueryRules {
		c.leader.ruleWaiters = append(removeWaiter(c.leader.ruleWaiters, w.id), w)
		return
	}
	c.leader.jobWaiters[w.query.Job] = append(removeWaiter(c.leader.jobWaiters[w.query.Job], w.id), w)
}

func removeWaiter(waiters []waiter, id hsid.RequestID) []waiter {
	return slices.DeleteFunc(waiters, func(w waiter) bool { return w.id == id })
}

// answerReadyRuleWaiters answers the queries that waited for rules which are now in force everywhere.
func (c *Control) answerReadyRuleWaiters() {
	c.answerWaiters(func(w waiter) bool { return c.conditionMet(w.query) })
}

// answerWaiters answers the queries about rules that are ready, and keeps the others.
func (c *Control) answerWaiters(ready func(w waiter) bool) {
	var rest []waiter
	for _, w := range c.leader.ruleWaiters {
		if ready(w) {
			c.answerQuery(w)
			continue
		}
		rest = append(rest, w)
	}
	c.leader.ruleWaiters = rest
}

// answerExpiredWaiters answers the queries whose deadline has passed. Leases expire with time, so it also answers the
// queries about rules whose condition has come true.
func (c *Control) answerExpiredWaiters(now time.Time) {
	c.answerWaiters(func(w waiter) bool { return !now.Before(w.deadline) || c.conditionMet(w.query) })
	for id, waiters := range c.leader.jobWaiters {
		var rest []waiter
		for _, w := range waiters {
			if now.Before(w.deadline) {
				rest = append(rest, w)
				continue
			}
			c.answerQuery(w)
		}
		if len(rest) == 0 {
			delete(c.leader.jobWaiters, id)
			continue
		}
		c.leader.jobWaiters[id] = rest
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
	c.reply(pendingReply{requester: w.requester, id: w.id}, reply)
}

func (c *Control) read(q hsmessage.Query) (*hsview.View, bool) {
	return c.ports.Reader.Read(c.queryState(), q)
}
