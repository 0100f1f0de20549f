package hsagent

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Receive handles a message from a control replica.
func (a *Agent) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Orders:
		a.receiveOrders(from, m)
	case hsmessage.Lease:
		a.applyLease(from, m)
	case hsmessage.Redirect:
		if a.leaseClient.FollowRedirect(from, m.Leader) {
			a.reportAt = a.clock.Now().Add(redirectDelay)
		}
	}
	a.sendIfDue()
}

// applyLease passes a lease to the lease client, and resets the serial when the lease is of a newer term.
func (a *Agent) applyLease(from hsstate.Peer, m hsmessage.Lease) {
	if m.Term > a.leaseClient.Term() {
		a.serial = 0
	}
	if a.leaseClient.HandleLease(from, m) {
		a.reportDue = true
	}
}

// receiveOrders reconciles the grants of the agent with newer orders, and ignores orders that are older or for
// another incarnation.
func (a *Agent) receiveOrders(from hsstate.Peer, m hsmessage.Orders) {
	term := a.leaseClient.Term()
	if m.Incarnation != a.config.Incarnation || m.Term < term {
		return
	}
	if m.Term == term && m.Serial <= a.serial {
		return
	}
	a.applyLease(from, m.Lease)
	a.serial = m.Serial
	a.runLease = m.RunLease
	listed := map[hsid.Grant]bool{}
	for _, o := range m.Orders {
		listed[o.Grant] = true
	}
	for _, g := range a.grants() {
		if !listed[g] {
			a.drop(g)
		}
	}
	for i := range m.Orders {
		a.applyOrder(&m.Orders[i])
	}
	a.renewPlatform()
}

// grants returns the grants that the agent knows, sorted.
func (a *Agent) grants() []hsid.Grant {
	all := make([]hsid.Grant, 0, len(a.tasks))
	for g := range a.tasks {
		all = append(all, g)
	}
	slices.SortFunc(all, func(x, y hsid.Grant) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Attempt, y.Attempt), cmp.Compare(x.Term, y.Term))
	})
	return all
}

// drop gives up a grant that the leader no longer lists. A running task is stopped first and forgotten at its end.
func (a *Agent) drop(g hsid.Grant) {
	t := a.tasks[g]
	t.dropped = true
	a.reportDue = true
	if t.report.Phase == hsmessage.TaskRunning {
		a.stopTask(g, t)
		return
	}
	a.forget(g, t)
}

// stopTask asks the platform to stop a task, once.
func (a *Agent) stopTask(g hsid.Grant, t *task) {
	if t.stopping {
		return
	}
	t.stopping = true
	t.stoppedAt = a.clock.Now()
	a.platform.Stop(a.worker.Endpoint, g)
}

// applyOrder brings a grant to the phase that its order asks for.
func (a *Agent) applyOrder(o *hsmessage.Order) {
	t := a.tasks[o.Grant]
	if t != nil {
		t.dropped = false
	}
	switch o.Phase {
	case hsmessage.OrderHold:
		if t == nil {
			a.applyHold(o)
		}
	case hsmessage.OrderRun:
		a.applyRun(o, t)
	case hsmessage.OrderStop:
		a.applyStop(o, t)
	}
}

// applyHold reserves the accelerators of an order, or refuses it with a reason.
func (a *Agent) applyHold(o *hsmessage.Order) {
	if reason := a.refusalReason(o); reason != "" {
		a.recordRefusal(o, reason)
		return
	}
	a.addTask(o, hsmessage.TaskHeld, "")
}

// recordRefusal records that a grant won't run on this worker.
func (a *Agent) recordRefusal(o *hsmessage.Order, reason string) {
	a.addTask(o, hsmessage.TaskRefused, reason)
}

// addTask adds the grant of an order in the given phase.
func (a *Agent) addTask(o *hsmessage.Order, phase hsmessage.TaskPhase, reason string) {
	t := &task{once: o.Once}
	t.report = hsmessage.Task{Grant: o.Grant, Accelerators: o.Accelerators, Phase: phase, Reason: reason}
	a.tasks[o.Grant] = t
	a.reportDue = true
}

// refusalReason returns why a grant can't be held now; empty when it can.
func (a *Agent) refusalReason(o *hsmessage.Order) string {
	switch {
	case !a.endpointAnnounced():
		return "no endpoint is announced"
	case a.worker.Leaving:
		return "the endpoint is leaving"
	case !a.tasksKnown:
		return "what the platform runs isn't known yet"
	case !a.leaseClient.Valid():
		return "the rules lease is over"
	case a.overlaps(o.Accelerators):
		return "the accelerators are in use"
	}
	return ""
}

// applyRun starts the task of a grant that is held. A grant that isn't held is refused, as the order may be outdated.
func (a *Agent) applyRun(o *hsmessage.Order, t *task) {
	switch {
	case t == nil && !a.tasksKnown:
		// An earlier incarnation of this agent may have started the task.
	case t == nil:
		a.recordRefusal(o, "the grant isn't held")
	case t.report.Phase == hsmessage.TaskHeld && o.Spec != nil:
		t.report.Phase = hsmessage.TaskRunning
		t.report.Ran = true
		a.reportDue = true
		a.platform.Run(a.worker.Endpoint, a.config.Incarnation, Start{
			Grant:        o.Grant,
			Rank:         o.Rank,
			Size:         o.Size,
			Accelerators: o.Accelerators,
			Once:         o.Once,
			Lease:        a.platformLease(),
			Spec:         *o.Spec,
		})
	}
}

// applyStop stops a running task. A grant that was only held is reported as stopped before it ran.
func (a *Agent) applyStop(o *hsmessage.Order, t *task) {
	switch {
	case t == nil && !a.tasksKnown:
		// An earlier incarnation of this agent may have started the task.
	case t == nil:
		a.recordRefusal(o, "it was stopped before it was held")
	case t.report.Phase == hsmessage.TaskHeld:
		t.report.Phase = hsmessage.TaskStopped
		t.report.Reason = "it was stopped before it ran"
		a.reportDue = true
	case t.report.Phase == hsmessage.TaskRunning:
		a.stopTask(o.Grant, t)
	}
}
