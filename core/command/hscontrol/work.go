package hscontrol

import (
	"time"

	"hyssopseam/core/command/hscatalog"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
	"hyssopseam/core/query/hsprogress"
)

const (
	// maxWork bounds the open step jobs, twice a day's worth of the target in docs/CAPACITY.md.
	maxWork = 1200
	// formRetry is what a caller is told to wait while the cluster is being formed.
	formRetry = time.Second
)

// workLog is the log as the dispatcher sees it.
type workLog struct {
	c *Control
}

// ProposeWork appends a command to the log.
func (l workLog) ProposeWork(w *hswork.Command) bool {
	_, ok := l.c.propose(hsstate.Command{Work: w})
	return ok
}

// Clock returns the cluster time.
func (l workLog) Clock() time.Duration { return l.c.replica.Clock() }

func (c *Control) workPorts() hsdispatch.Ports {
	return hsdispatch.Ports{Clock: c.ports.Clock, Sender: c.ports.Sender, Log: workLog{c}, Observer: c.ports.Work, Adviser: c.ports.Adviser}
}

// receiveTally hands a runner's tally to the dispatcher of this leadership.
func (c *Control) receiveTally(from hsstate.Peer, t hsmessage.Tally) {
	if !c.Leading() {
		c.redirect(from, hsmessage.RoleRunner)
		return
	}
	c.lead.work.Receive(from, t)
}

// Advised takes the answer of the policy service about a step.
func (c *Control) Advised(a hsdispatch.Advice) {
	if c.Leading() {
		c.lead.work.Advised(a)
	}
}

// work takes a request about step jobs. All of them are decided here, by the newest committed catalog: what
// is in force is in force everywhere at once.
func (c *Control) work(a awaited, q *hsmessage.WorkRequest) {
	reply, command := c.decideWork(q)
	if command == nil {
		c.answerWork(a, q, reply)
		return
	}
	a.work = &reply
	c.ports.Work.WorkAnswered(a.id, q, reply, c.state.Work.Catalog.Version)
	c.proposeFor(a, hsstate.Command{Work: command})
}

func (c *Control) answerWork(a awaited, q *hsmessage.WorkRequest, reply hsmessage.WorkReply) {
	c.ports.Work.WorkAnswered(a.id, q, reply, c.state.Work.Catalog.Version)
	r := hsmessage.Reply{Status: hsmessage.StatusDone, Work: &reply}
	if reply.Verdict == hsmessage.WorkNotReady || reply.Verdict == hsmessage.WorkOverloaded {
		r.RetryAfter = formRetry
	}
	c.reply(a, r)
}

// decideWork returns the answer to a request, and the command that has to be committed before it is given.
func (c *Control) decideWork(q *hsmessage.WorkRequest) (hsmessage.WorkReply, *hswork.Command) {
	switch q.Action {
	case hsmessage.WorkPutCatalog:
		return c.putCatalog(q.Catalog)
	case hsmessage.WorkGetCatalog:
		return c.getCatalog(), nil
	case hsmessage.WorkStartWave:
		return c.startWave(q.Wave)
	case hsmessage.WorkGetWave:
		return c.getWave(q.Wave), nil
	}
	s := c.state.Work
	if s.Catalog.Version == 0 {
		return verdict(hsmessage.WorkNotReady), nil
	}
	queue, rest, ok := s.Catalog.Match(q.Host, q.Path)
	if !ok {
		return verdict(hsmessage.WorkNoQueue), nil
	}
	owner := s.Catalog.Owner(q.Key)
	if owner == nil && !queue.Public {
		return verdict(hsmessage.WorkNoKey), nil
	}
	switch id := hswork.ID(rest); q.Action {
	case hsmessage.WorkWaiting:
		waiting := hsprogress.Waiting(s, queue.Name, c.lead.work.Begun)
		return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, Waiting: waiting}, nil
	case hsmessage.WorkSubmit:
		return c.submitWork(queue, owner, id, q.Submission)
	case hsmessage.WorkState:
		j := s.Jobs[id]
		if j == nil {
			return verdict(hsmessage.WorkNoJob), nil
		}
		stage := hsprogress.Of(j, c.lead.work.Begun)
		return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, Stage: string(stage)}, nil
	case hsmessage.WorkCancel:
		return c.cancelWork(id)
	}
	return verdict(hsmessage.WorkBad), nil
}

func verdict(v hsmessage.WorkVerdict) hsmessage.WorkReply { return hsmessage.WorkReply{Verdict: v} }

// putCatalog accepts a catalog. One that isn't newer is acknowledged and changes nothing: it was accepted
// before, or a newer one has taken its place.
func (c *Control) putCatalog(next *hswork.Catalog) (hsmessage.WorkReply, *hswork.Command) {
	if err := hscatalog.Check(next); err != nil {
		return verdict(hsmessage.WorkBad), nil
	}
	if !c.formed() {
		return verdict(hsmessage.WorkNotReady), nil
	}
	if next.Version <= c.state.Work.Catalog.Version {
		return verdict(hsmessage.WorkDone), nil
	}
	return verdict(hsmessage.WorkDone), &hswork.Command{Catalog: next}
}

func (c *Control) getCatalog() hsmessage.WorkReply {
	k := &c.state.Work.Catalog
	if k.Version == 0 {
		return verdict(hsmessage.WorkNotReady)
	}
	return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, Content: k.Content, Version: k.Version}
}

// submitWork accepts a job. One that exists is accepted again, whatever became of it.
func (c *Control) submitWork(q *hswork.Queue, owner *hswork.Workspace, id hswork.ID, s *hswork.Submission) (hsmessage.WorkReply, *hswork.Command) {
	work := c.state.Work
	switch {
	case s == nil || !hscatalog.ValidSubmission(id, s):
		return verdict(hsmessage.WorkBad), nil
	case work.Jobs[id] != nil:
		return verdict(hsmessage.WorkDone), nil
	case !c.formed():
		return verdict(hsmessage.WorkNotReady), nil
	case len(work.Jobs)-len(work.Ended) >= maxWork:
		return verdict(hsmessage.WorkOverloaded), nil
	}
	submission := *s
	submission.ID = id
	command := &hswork.Submit{
		Submission: submission,
		Queue:      q.Name,
		Pool:       q.Pool,
		Priority:   q.Priority,
		Attempts:   max(q.MaxAttempts, 1),
		Stretch:    q.Stretch,
		Target:     q.Target,
		Advised:    q.Advised,
	}
	if owner != nil {
		command.Workspace = owner.Name
	}
	return verdict(hsmessage.WorkDone), &hswork.Command{Submit: command}
}

func (c *Control) cancelWork(id hswork.ID) (hsmessage.WorkReply, *hswork.Command) {
	j := c.state.Work.Jobs[id]
	switch {
	case j == nil:
		return verdict(hsmessage.WorkNoJob), nil
	case j.Phase != hswork.Open:
		return verdict(hsmessage.WorkDone), nil
	}
	return verdict(hsmessage.WorkDone), &hswork.Command{Cancel: &hswork.Cancel{ID: id}}
}

// formed reports whether as many replicas vote as there should be, or have had the time to.
func (c *Control) formed() bool {
	return c.config.FoundBefore == 0 || c.replica.Clock() >= c.config.FoundBefore ||
		len(hsstate.Voters(c.replica.Members())) >= c.config.Replicas
}
