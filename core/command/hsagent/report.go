package hsagent

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Wake performs everything that is due by now.
func (a *Agent) Wake() {
	now := a.clock.Now()
	a.expireEndpoint(now)
	a.expireLeases(now)
	if !a.tasksKnown && !a.listPending && a.endpointAnnounced() {
		a.listPending = true
		a.platform.List(a.worker.Endpoint, a.config.Incarnation)
	}
	if !now.Before(a.reportAt) {
		a.leaseClient.CheckSilence()
		a.reportDue = true
	}
	a.sendIfDue()
}

// NextWake returns when Wake has to be called next: for the next report, or when a lease expires that a grant depends
// on.
func (a *Agent) NextWake() time.Time {
	next := a.reportAt
	contact := a.leaseClient.LastContact()
	for _, t := range a.tasks {
		end := next
		switch {
		case t.report.Phase == hsmessage.TaskHeld:
			end = contact.Add(a.config.HoldLease)
		case t.report.Phase == hsmessage.TaskRunning && !t.once && !t.stopping && a.runLease > 0:
			end = contact.Add(a.runLease)
		}
		if end.Before(next) {
			next = end
		}
	}
	return next
}

// platformLease returns how long the platform may run tasks if this agent exits now: the rest of the run lease, less
// a margin for the time that the call takes.
func (a *Agent) platformLease() time.Duration {
	left := a.leaseClient.LastContact().Add(a.runLease).Sub(a.clock.Now())
	return max(left-a.runLease*marginPercent/100, time.Millisecond)
}

// renewPlatform renews the platform's lease if a task that depends on it is running and the last renewal is long
// enough ago. It is called when new orders arrive, so that the lease isn't renewed without contact to the leader.
func (a *Agent) renewPlatform() {
	now := a.clock.Now()
	if a.runLease == 0 || a.worker.Endpoint == 0 || now.Sub(a.platformRenewedAt) < a.runLease/renewalsPerLease {
		return
	}
	for _, t := range a.tasks {
		if t.report.Phase == hsmessage.TaskRunning && !t.once {
			a.platformRenewedAt = now
			a.platform.Renew(a.worker.Endpoint, a.platformLease())
			return
		}
	}
}

// Rules returns the number of the rules that the agent applies, and whether its rules lease is valid.
func (a *Agent) Rules() (hsid.RuleNumber, bool) {
	return a.leaseClient.Rules().Number, a.leaseClient.Valid()
}

// Worker returns the worker as the endpoint last announced it, and whether the platform has listed its tasks.
func (a *Agent) Worker() (hsmessage.Worker, bool) { return a.worker, a.tasksKnown }

// Tasks returns the tasks of the agent, sorted by grant.
func (a *Agent) Tasks() []hsmessage.Task {
	var tasks []hsmessage.Task
	for _, g := range a.grants() {
		tasks = append(tasks, a.tasks[g].report)
	}
	return tasks
}

// endpointAnnounced reports whether the endpoint's last announcement is still valid.
func (a *Agent) endpointAnnounced() bool {
	return a.worker.Endpoint != 0 && a.clock.Now().Sub(a.announcedAt) < a.config.AnnouncementTTL
}

// expireEndpoint treats an endpoint that has stopped announcing itself as gone. Its tasks may still be running until
// the run lease has expired, so they are recorded as lost only after that.
func (a *Agent) expireEndpoint(now time.Time) {
	if a.worker.Endpoint == 0 || now.Sub(a.announcedAt) < a.config.AnnouncementTTL+a.runLease {
		return
	}
	for _, g := range a.grants() {
		t := a.tasks[g]
		if !t.report.Phase.Ended() {
			a.recordEnd(g, t, Result{Phase: hsmessage.TaskLost, Reason: "the endpoint is gone"})
		}
	}
	a.worker.Endpoint = 0
	a.tasksKnown = false
	a.reportDue = true
}

// expireLeases drops the grants that aren't started and stops the tasks that may be run elsewhere, once the leader
// has been out of contact for longer than the hold lease or the run lease.
func (a *Agent) expireLeases(now time.Time) {
	silent := now.Sub(a.leaseClient.LastContact())
	for _, g := range a.grants() {
		t := a.tasks[g]
		switch {
		case t.report.Phase == hsmessage.TaskHeld && silent >= a.config.HoldLease:
			a.forget(g, t)
		case t.report.Phase == hsmessage.TaskRunning && !t.once && a.runLease > 0 && silent >= a.runLease:
			a.stopTask(g, t)
		}
	}
}

// PeerUnreachable handles the notice that a control replica can't be reached. If it is the one in use, another is
// tried.
func (a *Agent) PeerUnreachable(peer hsstate.Peer) {
	if a.leaseClient.PeerUnreachable(peer) {
		a.reportAt = a.clock.Now().Add(redirectDelay)
	}
}

// sendIfDue sends a report if one is due.
func (a *Agent) sendIfDue() {
	if !a.reportDue {
		return
	}
	a.reportDue = false
	a.reportAt = a.clock.Now().Add(a.config.Interval)
	a.sender.Send(a.leaseClient.Target(), a.buildReport())
}

// maxReportAnswers limits the size of the answers in one report, so that it fits into a message. A larger answer is sent on its
// own.
const maxReportAnswers = 2 * hsid.MiB

// buildReport returns the complete state of the agent. Tasks that were dropped and have ended are left out. A task whose answer
// doesn't fit into this report is reported as running until the orders no longer list those before it.
func (a *Agent) buildReport() hsmessage.AgentReport {
	r := hsmessage.AgentReport{
		Renewal:    a.leaseClient.Renew(hsmessage.RoleAgent),
		Worker:     a.worker,
		TasksKnown: a.tasksKnown,
		Term:       a.leaseClient.Term(),
		Serial:     a.serial,
	}
	r.Leaving = a.draining
	if !a.endpointAnnounced() {
		r.Worker.Leaving = true
	}
	var answers hsid.Bytes
	for _, g := range a.grants() {
		t := a.tasks[g]
		if t.dropped && t.report.Phase.Ended() {
			continue
		}
		report := t.report
		if size := hsid.Bytes(len(report.Answer)); answers > 0 && answers+size > maxReportAnswers {
			report = hsmessage.Task{Grant: g, Accelerators: report.Accelerators, Phase: hsmessage.TaskRunning, Ran: true}
		}
		answers += hsid.Bytes(len(report.Answer))
		r.Tasks = append(r.Tasks, report)
	}
	return r
}
