package hsagent

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Receive takes a message of a control replica.
func (a *Agent) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Orders:
		a.receiveOrders(from, m)
	case hsmessage.Lease:
		a.takeLease(from, m)
	case hsmessage.Redirect:
		if a.holder.Turn(from, m.Leader) {
			a.reportAt = a.clock.Now().Add(redirectPause)
		}
	}
	a.flush()
}

// takeLease takes over rules, and forgets the serial of an older term.
func (a *Agent) takeLease(from hsstate.Peer, m hsmessage.Lease) {
	if m.Term > a.holder.Term() {
		a.serial = 0
	}
	if a.holder.Take(from, m) {
		a.changed = true
	}
}

// receiveOrders brings what the agent holds to what the orders list.
func (a *Agent) receiveOrders(from hsstate.Peer, m hsmessage.Orders) {
	term := a.holder.Term()
	if m.Incarnation != a.config.Incarnation || m.Term < term {
		return
	}
	if m.Term == term && m.Serial <= a.serial {
		return
	}
	a.takeLease(from, m.Lease)
	a.serial = m.Serial
	a.runFor = m.RunFor
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
		a.follow(&m.Orders[i])
	}
	a.renewPlatform()
}

// grants returns the grants that the agent knows, in a fixed order.
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

// drop lets go of a grant that the leader no longer lists.
func (a *Agent) drop(g hsid.Grant) {
	t := a.tasks[g]
	t.dropped = true
	a.changed = true
	if t.report.Phase == hsmessage.TaskRunning {
		a.stop(g, t)
		return
	}
	a.forget(g, t)
}

func (a *Agent) stop(g hsid.Grant, t *task) {
	if t.stopping {
		return
	}
	t.stopping = true
	t.stoppedAt = a.clock.Now()
	a.platform.Stop(a.worker.Endpoint, g)
}

// follow brings one grant to the phase of its order.
func (a *Agent) follow(o *hsmessage.Order) {
	t := a.tasks[o.Grant]
	if t != nil {
		t.dropped = false
	}
	switch o.Phase {
	case hsmessage.OrderHold:
		if t == nil {
			a.hold(o)
		}
	case hsmessage.OrderRun:
		a.run(o, t)
	case hsmessage.OrderStop:
		a.stopOrder(o, t)
	}
}

// hold takes the accelerators, or refuses and says why.
func (a *Agent) hold(o *hsmessage.Order) {
	if reason := a.refusal(o); reason != "" {
		a.refuse(o, reason)
		return
	}
	a.enter(o, hsmessage.TaskHeld, "")
}

// refuse records that a grant won't run here.
func (a *Agent) refuse(o *hsmessage.Order, reason string) {
	a.enter(o, hsmessage.TaskRefused, reason)
}

func (a *Agent) enter(o *hsmessage.Order, phase hsmessage.TaskPhase, reason string) {
	t := &task{once: o.Once}
	t.report = hsmessage.Task{Grant: o.Grant, Accelerators: o.Accelerators, Phase: phase, Reason: reason}
	a.tasks[o.Grant] = t
	a.changed = true
}

func (a *Agent) refusal(o *hsmessage.Order) string {
	switch {
	case !a.announced():
		return "no endpoint is announced"
	case a.worker.Leaving:
		return "the endpoint is leaving"
	case !a.listed:
		return "what the platform runs isn't known yet"
	case !a.holder.Valid():
		return "the rules lease is over"
	case a.overlaps(o.Accelerators):
		return "the accelerators are in use"
	}
	return ""
}

// run starts a task that is held. One that isn't held can't be started: the grant may be an old one.
func (a *Agent) run(o *hsmessage.Order, t *task) {
	switch {
	case t == nil && !a.listed:
		// An earlier life of this agent may have started it.
	case t == nil:
		a.refuse(o, "the grant isn't held")
	case t.report.Phase == hsmessage.TaskHeld && o.Spec != nil:
		t.report.Phase = hsmessage.TaskRunning
		t.report.Ran = true
		a.changed = true
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

// stopOrder stops a task, and turns one that was only held into one that never ran.
func (a *Agent) stopOrder(o *hsmessage.Order, t *task) {
	switch {
	case t == nil && !a.listed:
		// An earlier life of this agent may have started it.
	case t == nil:
		a.refuse(o, "it was stopped before it was held")
	case t.report.Phase == hsmessage.TaskHeld:
		t.report.Phase = hsmessage.TaskStopped
		t.report.Reason = "it was stopped before it ran"
		a.changed = true
	case t.report.Phase == hsmessage.TaskRunning:
		a.stop(o.Grant, t)
	}
}
