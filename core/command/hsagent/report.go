package hsagent

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Wake acts on the passing of time.
func (a *Agent) Wake() {
	now := a.clock.Now()
	a.expireEndpoint(now)
	a.expireLeases(now)
	if !a.listed && !a.listAsked && a.announced() {
		a.listAsked = true
		a.platform.List(a.worker.Endpoint, a.config.Incarnation)
	}
	if !now.Before(a.reportAt) {
		a.holder.Check()
		a.changed = true
	}
	a.flush()
}

// NextWake returns when Wake is wanted next: for the next report, or for the end of a lease that something
// depends on.
func (a *Agent) NextWake() time.Time {
	next := a.reportAt
	contact := a.holder.Contact()
	for _, t := range a.tasks {
		end := next
		switch {
		case t.report.Phase == hsmessage.TaskHeld:
			end = contact.Add(a.config.Hold)
		case t.report.Phase == hsmessage.TaskRunning && !t.once && !t.stopping && a.runFor > 0:
			end = contact.Add(a.runFor)
		}
		if end.Before(next) {
			next = end
		}
	}
	return next
}

// platformLease returns how long the platform may run tasks if this agent ends now: what is left of the run
// lease, less a margin for the time that the call takes.
func (a *Agent) platformLease() time.Duration {
	left := a.holder.Contact().Add(a.runFor).Sub(a.clock.Now())
	return max(left-a.runFor*marginShare/100, time.Millisecond)
}

// renewPlatform renews the platform's lease now and then while there is contact.
func (a *Agent) renewPlatform() {
	now := a.clock.Now()
	if a.runFor == 0 || a.worker.Endpoint == 0 || now.Sub(a.renewedAt) < a.runFor/renewals {
		return
	}
	for _, t := range a.tasks {
		if t.report.Phase == hsmessage.TaskRunning && !t.once {
			a.renewedAt = now
			a.platform.Renew(a.worker.Endpoint, a.platformLease())
			return
		}
	}
}

// Rules returns the number that the agent acts on, and whether its lease lasts.
func (a *Agent) Rules() (hsid.RuleNumber, bool) {
	return a.holder.Rules().Number, a.holder.Valid()
}

// Worker returns what the endpoint announced, and whether the platform's tasks are known.
func (a *Agent) Worker() (hsmessage.Worker, bool) { return a.worker, a.listed }

// Tasks returns what the agent holds, in a fixed order.
func (a *Agent) Tasks() []hsmessage.Task {
	var tasks []hsmessage.Task
	for _, g := range a.grants() {
		tasks = append(tasks, a.tasks[g].report)
	}
	return tasks
}

func (a *Agent) announced() bool {
	return a.worker.Endpoint != 0 && a.clock.Now().Sub(a.announcedAt) < a.config.Announce
}

// expireEndpoint treats an endpoint that stopped announcing as gone. Its tasks may still run; they are
// written off when the run lease would have ended.
func (a *Agent) expireEndpoint(now time.Time) {
	if a.worker.Endpoint == 0 || now.Sub(a.announcedAt) < a.config.Announce+a.runFor {
		return
	}
	for _, g := range a.grants() {
		t := a.tasks[g]
		if !t.report.Phase.Ended() {
			a.settle(g, t, Result{Phase: hsmessage.TaskLost, Reason: "the endpoint is gone"})
		}
	}
	a.worker.Endpoint = 0
	a.listed = false
	a.changed = true
}

// expireLeases drops what isn't started and stops what may run elsewhere, once contact is lost for
// longer than the lease of each.
func (a *Agent) expireLeases(now time.Time) {
	silent := now.Sub(a.holder.Contact())
	for _, g := range a.grants() {
		t := a.tasks[g]
		switch {
		case t.report.Phase == hsmessage.TaskHeld && silent >= a.config.Hold:
			a.forget(g, t)
		case t.report.Phase == hsmessage.TaskRunning && !t.once && a.runFor > 0 && silent >= a.runFor:
			a.stop(g, t)
		}
	}
}

// Lost takes the news that a control replica can't be reached: if it is the one that is asked, another is
// tried.
func (a *Agent) Lost(peer hsstate.Peer) {
	if a.holder.Lost(peer) {
		a.reportAt = a.clock.Now().Add(redirectPause)
	}
}

// flush sends a report if something changed.
func (a *Agent) flush() {
	if !a.changed {
		return
	}
	a.changed = false
	a.reportAt = a.clock.Now().Add(a.config.Interval)
	a.sender.Send(a.holder.Target(), a.report())
}

func (a *Agent) report() hsmessage.Report {
	r := hsmessage.Report{
		Renew:  a.holder.Renew(hsmessage.RoleAgent),
		Worker: a.worker,
		Listed: a.listed,
		Term:   a.holder.Term(),
		Serial: a.serial,
	}
	r.Leaving = a.draining
	if !a.announced() {
		r.Worker.Leaving = true
	}
	for _, g := range a.grants() {
		t := a.tasks[g]
		if !t.dropped || !t.report.Phase.Ended() {
			r.Tasks = append(r.Tasks, t.report)
		}
	}
	return r
}
