package hscontrol

import (
	"errors"
	"slices"
	"time"

	"hyssopseam/core/command/hscatalog"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/core/hswork"
	"hyssopseam/core/query/hsprogress"
)

const (
	// maxOpenStepJobs bounds the open step jobs, to twice a day's worth of the target in docs/CAPACITY.md.
	maxOpenStepJobs = 1200
	// workRetryAfter is the retry delay that a caller is told while there is no catalog, the cluster forms, or too many
	// step jobs are open.
	workRetryAfter = time.Second
	// requestDelay is the longest time that a copy of a request may have been under way and still be known as one.
	requestDelay = time.Second
)

// workLog is the replicated log as the dispatcher and the maintenance coordinator use it.
type workLog struct {
	control *Control
}

// ProposeWork appends a command to the log. It returns false when this replica has lost leadership.
func (l workLog) ProposeWork(w *hswork.Command) bool {
	_, ok := l.control.propose(hsstate.Command{Work: w})
	return ok
}

// Clock returns the cluster time.
func (l workLog) Clock() time.Duration { return l.control.replica.Clock() }

// workPorts returns the ports of the dispatcher of step jobs.
func (c *Control) workPorts() hsdispatch.Ports {
	return hsdispatch.Ports{Clock: c.ports.Clock, Sender: c.ports.Sender, Log: workLog{c}, Observer: c.ports.Work, Adviser: c.ports.Adviser}
}

// receiveRunnerReport passes a runner's report to the dispatcher.
func (c *Control) receiveRunnerReport(from hsstate.Peer, report hsmessage.RunnerReport) {
	if !c.Leading() {
		c.redirect(from, hsmessage.RoleRunner)
		return
	}
	c.leader.dispatcher.Receive(from, report)
}

// WorkersBySpeed returns the number of workers of each class of speed; zero while this replica doesn't lead.
func (c *Control) WorkersBySpeed() hsspeed.Counts {
	if !c.Leading() {
		return hsspeed.Counts{}
	}
	return c.leader.dispatcher.WorkersBySpeed()
}

// WorkShares returns the shares of workspaces, and of their callers' zones, of what no guarantee covers. It is empty while this
// replica doesn't lead and while capacity isn't shared.
func (c *Control) WorkShares() []hsview.WorkShare {
	if !c.Leading() {
		return nil
	}
	var list []hsview.WorkShare
	for _, e := range c.leader.dispatcher.Shares() {
		list = append(list, hsview.WorkShare{Workspace: e.Origin.Workspace, Zone: e.Origin.Zone, Share: float64(e.Share)})
	}
	return list
}

// HandleAdvice delivers the policy service's answer about a step. It is ignored while this replica doesn't lead.
func (c *Control) HandleAdvice(a hsdispatch.Advice) {
	if c.Leading() {
		c.leader.dispatcher.HandleAdvice(a)
	}
}

// handleWork handles a request about step jobs. The leader decides all of them by the newest committed catalog, so a
// catalog comes into force everywhere at once. A request that an earlier copy of it has already carried out is decided
// by that copy, whatever has changed since.
func (c *Control) handleWork(p pendingReply, q *hsmessage.WorkRequest) {
	if q.Action == hsmessage.WorkSubmit && slices.Contains(c.leader.stepJobsInLog[hscatalog.JobID(q.Path)], p.id) {
		return // The earlier copy is answered once it is applied.
	}
	reply, command := c.decideWork(p.age, q)
	if command == nil {
		c.replyToWork(p, q, reply)
		return
	}
	index, err := c.replica.Propose(hsstate.Command{Work: command})
	if errors.Is(err, hsquorum.ErrTooLarge) {
		c.replyToWork(p, q, workReply(hsmessage.WorkBad))
		return
	}
	c.ports.Work.WorkAnswered(p.id, q, reply, c.state.Work.Catalog.Version)
	if err != nil {
		return
	}
	p.workReply = &reply
	c.leader.pendingReplies[index] = p
	if command.Submit != nil {
		id := command.Submit.Submission.ID
		c.leader.stepJobsInLog[id] = append(c.leader.stepJobsInLog[id], p.id)
	}
}

// replyToWork answers a request that needs no command.
func (c *Control) replyToWork(p pendingReply, q *hsmessage.WorkRequest, reply hsmessage.WorkReply) {
	c.ports.Work.WorkAnswered(p.id, q, reply, c.state.Work.Catalog.Version)
	r := hsmessage.Reply{Status: hsmessage.StatusDone, Work: &reply}
	if reply.Verdict == hsmessage.WorkNotReady || reply.Verdict == hsmessage.WorkOverloaded {
		r.RetryAfter = workRetryAfter
	}
	c.reply(p, r)
}

// decideWork returns the answer to a request that was first sent the given time ago, and the command that must be
// committed before the answer is sent; nil for none.
func (c *Control) decideWork(age time.Duration, q *hsmessage.WorkRequest) (hsmessage.WorkReply, *hswork.Command) {
	switch q.Action {
	case hsmessage.WorkPutCatalog:
		return c.putCatalog(q.Catalog)
	case hsmessage.WorkGetCatalog:
		return c.getCatalog(), nil
	case hsmessage.WorkStartWave:
		return c.startWave(q.Wave)
	case hsmessage.WorkGetWave:
		return c.getWave(q.Wave), nil
	case hsmessage.WorkEvacuate, hsmessage.WorkRestore:
		return c.changeZone(q.Zone, q.Action == hsmessage.WorkRestore)
	}
	s := c.state.Work
	if s.Catalog.Version == 0 {
		return workReply(hsmessage.WorkNotReady), nil
	}
	if q.Action == hsmessage.WorkSubmit && c.acceptedWithin(age, hscatalog.JobID(q.Path)) {
		return workReply(hsmessage.WorkDone), nil
	}
	queue, rest, ok := s.Catalog.Match(q.Host, q.Path)
	if !ok {
		return workReply(hsmessage.WorkNoQueue), nil
	}
	owner := s.Catalog.Owner(q.Key)
	if owner == nil && !queue.Public {
		return workReply(hsmessage.WorkNoKey), nil
	}
	switch id := hswork.ID(rest); q.Action {
	case hsmessage.WorkWaiting:
		waiting := hsprogress.CountWaiting(s, queue.Name, c.leader.dispatcher.HasStarted)
		return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, Waiting: waiting}, nil
	case hsmessage.WorkSubmit:
		reply, command := c.submitWork(queue, owner, id, q.Submission)
		if command != nil && c.config.Work.Features.Shares {
			command.Submit.Zone = q.Zone
		}
		return reply, command
	case hsmessage.WorkState:
		j := s.Jobs[id]
		if j == nil {
			return workReply(hsmessage.WorkNoJob), nil
		}
		stage := hsprogress.StageOf(j, c.leader.dispatcher.HasStarted)
		return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, Stage: string(stage)}, nil
	case hsmessage.WorkCancel:
		return c.cancelWork(id)
	}
	return workReply(hsmessage.WorkBad), nil
}

func workReply(v hsmessage.WorkVerdict) hsmessage.WorkReply { return hsmessage.WorkReply{Verdict: v} }

// putCatalog accepts a catalog. A catalog that isn't newer than the one in force is acknowledged and changes nothing:
// either it was accepted before, or a newer one has replaced it.
func (c *Control) putCatalog(next *hswork.Catalog) (hsmessage.WorkReply, *hswork.Command) {
	if err := hscatalog.Check(next); err != nil {
		return workReply(hsmessage.WorkBad), nil
	}
	if !c.clusterFormed() {
		return workReply(hsmessage.WorkNotReady), nil
	}
	if next.Version <= c.state.Work.Catalog.Version {
		return workReply(hsmessage.WorkDone), nil
	}
	return workReply(hsmessage.WorkDone), &hswork.Command{Catalog: next}
}

func (c *Control) getCatalog() hsmessage.WorkReply {
	catalog := &c.state.Work.Catalog
	if catalog.Version == 0 {
		return workReply(hsmessage.WorkNotReady)
	}
	return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, Content: catalog.Content, Version: catalog.Version}
}

// acceptedWithin reports whether a step job was accepted since a request for it was first sent, that is by an earlier copy of
// that request, or by another of the same caller meanwhile. The cluster time doesn't run faster than the entry's clock, but
// for their drift and for the time that the request was under way.
func (c *Control) acceptedWithin(age time.Duration, id hswork.ID) bool {
	j := c.state.Work.Jobs[id]
	return j != nil && age > 0 && c.replica.Clock()-j.Accepted <= age+requestDelay
}

// submitWork accepts a step job. A job that exists already, in whatever state, is acknowledged again, and one whose
// submission is in the log isn't refused.
func (c *Control) submitWork(q *hswork.Queue, owner *hswork.Workspace, id hswork.ID, s *hswork.Submission) (hsmessage.WorkReply, *hswork.Command) {
	work := c.state.Work
	switch {
	case s == nil || !hscatalog.ValidSubmission(id, s):
		return workReply(hsmessage.WorkBad), nil
	case work.Jobs[id] != nil:
		return workReply(hsmessage.WorkDone), nil
	case len(c.leader.stepJobsInLog[id]) > 0:
	case !c.clusterFormed():
		return workReply(hsmessage.WorkNotReady), nil
	case len(work.Jobs)-len(work.Ended) >= maxOpenStepJobs:
		return workReply(hsmessage.WorkOverloaded), nil
	}
	submission := *s
	submission.ID = id
	command := &hswork.Submit{
		Submission:  submission,
		Queue:       q.Name,
		Pool:        q.Pool,
		Priority:    q.Priority,
		Attempts:    max(q.MaxAttempts, 1),
		Stretch:     q.Stretch,
		Target:      q.Target,
		NeedsPermit: q.NeedsPermit,
	}
	if owner != nil {
		command.Workspace = owner.Name
	}
	return workReply(hsmessage.WorkDone), &hswork.Command{Submit: command}
}

// cancelWork cancels a step job. One whose submission is in the log exists by the time the cancellation is applied.
func (c *Control) cancelWork(id hswork.ID) (hsmessage.WorkReply, *hswork.Command) {
	j := c.state.Work.Jobs[id]
	switch {
	case len(c.leader.stepJobsInLog[id]) > 0:
	case j == nil:
		return workReply(hsmessage.WorkNoJob), nil
	case j.Phase != hswork.Open:
		return workReply(hsmessage.WorkDone), nil
	}
	return workReply(hsmessage.WorkDone), &hswork.Command{Cancel: &hswork.Cancel{ID: id}}
}

// clusterFormed reports whether all intended replicas vote, or Config.FormationTimeout has passed.
func (c *Control) clusterFormed() bool {
	return c.config.FormationTimeout == 0 || c.replica.Clock() >= c.config.FormationTimeout ||
		len(hsstate.Voters(c.replica.Members())) >= c.config.Replicas
}
