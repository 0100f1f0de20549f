package hscontrol

import (
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// receiveReport takes over what an agent holds and acts on it.
func (c *Control) receiveReport(from hsstate.Peer, r hsmessage.Report) {
	if !c.Leading() {
		c.redirect(from, hsmessage.RoleAgent)
		return
	}
	now := c.ports.Clock.Now()
	before := c.pictureOf(r.Instance)
	w, fresh := c.lead.fleet.Update(from, r, now)
	if !fresh {
		return
	}
	w.Quarantined = c.lead.breakers.Quarantined(r.Instance)
	lease := c.lead.leases.Renew(from, r.Renew, &c.state.Rules.InForce, c.lead.term, now)
	c.lead.dirty[r.Instance] = &lease
	after := c.pictureOf(r.Instance)
	if before != after {
		c.lead.passDue = true
	}
	if before.announced != after.announced || before.all != after.all {
		c.lead.homesDue = true
	}
	for _, j := range slices.Clone(c.lead.byWorker[r.Instance]) {
		if a := c.lead.attempts[j]; a != nil {
			c.advance(a)
		} else if job := c.lead.running[j]; job != nil {
			c.evaluate(job)
		}
	}
	c.resolveUnknown(w)
	c.checkRuleWaiters()
}

// picture is what of a worker matters for placement.
type picture struct {
	known       bool
	usable      bool
	announced   bool
	endpoint    hsid.Incarnation
	incarnation hsid.Incarnation
	all         hsfleet.Mask
	busy        hsfleet.Mask
}

func (c *Control) pictureOf(id hsid.InstanceID) picture {
	w := c.lead.fleet.Get(id)
	if w == nil {
		return picture{}
	}
	p := picture{
		known:       true,
		usable:      w.Usable(c.state.Rules.InForce.Number),
		announced:   w.Announced(),
		endpoint:    w.Report.Worker.Endpoint,
		incarnation: w.Report.Incarnation,
		all:         w.All(),
	}
	for _, t := range w.Report.Tasks {
		if !t.Phase.Ended() {
			p.busy |= hsfleet.MaskOf(t.Accelerators)
		}
	}
	return p
}

// resolveUnknown finishes jobs whose outcome was unknown and whose agent came back with it.
func (c *Control) resolveUnknown(w *hsfleet.Worker) {
	for _, t := range w.Report.Tasks {
		j := c.unknownJob(t.Grant)
		if j == nil || len(j.Members) != 1 || !t.Ran || !t.Phase.Ended() || t.Phase == hsmessage.TaskLost {
			continue
		}
		end := &hsstate.FinishJob{Job: j.ID, Attempt: j.Attempt, Ran: t.Ran, Detail: t.Reason}
		end.Outcome = hsstate.Failed
		if t.Phase == hsmessage.TaskDone {
			end.Outcome = hsstate.Answered
			end.Answer = t.Answer
			end.Sum = t.Sum
		}
		c.propose(hsstate.Command{Finish: end})
	}
}

// unknownJob returns the finished job of a grant if its outcome is unknown, or nil.
func (c *Control) unknownJob(g hsid.Grant) *hsstate.Job {
	j := c.state.Jobs[g.Job]
	if j == nil || j.Outcome != hsstate.Unknown || j.Grant != g {
		return nil
	}
	return j
}

// sendOrders sends every agent that needs it the whole of what it should hold.
func (c *Control) sendOrders() {
	ids := make([]hsid.InstanceID, 0, len(c.lead.dirty))
	for id := range c.lead.dirty {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w := c.lead.fleet.Get(id); w != nil {
			c.sendOrdersTo(w, c.lead.dirty[id])
		}
	}
	clear(c.lead.dirty)
}

func (c *Control) sendOrdersTo(w *hsfleet.Worker, lease *hsmessage.Lease) {
	now := c.ports.Clock.Now()
	w.Serial++
	o := hsmessage.Orders{
		Lease:       hsmessage.Lease{Term: c.lead.term, Number: c.state.Rules.InForce.Number},
		Incarnation: w.Report.Incarnation,
		Serial:      w.Serial,
		RunFor:      c.config.RunLease,
	}
	if lease != nil {
		o.Lease = *lease
		w.Granted = now
	}
	o.Orders = c.ordersFor(w)
	for g := range w.Ordered {
		if !slices.ContainsFunc(o.Orders, func(x hsmessage.Order) bool { return x.Grant == g }) {
			delete(w.Ordered, g)
		}
	}
	for _, x := range o.Orders {
		if _, ok := w.Ordered[x.Grant]; !ok {
			w.Ordered[x.Grant] = w.Serial
		}
	}
	c.ports.Sender.Send(w.Peer, o)
}

func (c *Control) ordersFor(w *hsfleet.Worker) []hsmessage.Order {
	var orders []hsmessage.Order
	for _, id := range c.lead.byWorker[w.Report.Instance] {
		if a := c.lead.attempts[id]; a != nil {
			orders = append(orders, order(a.job, a.grant, a.members, w, hsmessage.OrderHold))
			continue
		}
		j := c.lead.running[id]
		if j == nil {
			continue
		}
		phase := hsmessage.OrderRun
		if c.lead.stopping[id] {
			phase = hsmessage.OrderStop
		}
		orders = append(orders, order(j, j.Grant, j.Members, w, phase))
	}
	for _, t := range w.Report.Tasks {
		if j := c.unknownJob(t.Grant); j != nil && t.Phase == hsmessage.TaskRunning {
			orders = append(orders, order(j, j.Grant, j.Members, w, hsmessage.OrderRun))
		}
	}
	return orders
}

// order builds the order of one member. The job's description goes along only until it is started.
func order(j *hsstate.Job, g hsid.Grant, members []hsstate.Placement, w *hsfleet.Worker, p hsmessage.OrderPhase) hsmessage.Order {
	rank := slices.IndexFunc(members, func(m hsstate.Placement) bool { return m.Worker == w.Report.Instance })
	o := hsmessage.Order{Grant: g, Phase: p, Once: j.Once, Rank: rank, Size: len(members)}
	o.Accelerators = members[rank].Accelerators
	if t := w.Task(g); p == hsmessage.OrderRun && t != nil && t.Phase == hsmessage.TaskHeld {
		o.Spec = &j.Spec
	}
	return o
}

// redirect tells a process where the leader is.
func (c *Control) redirect(to hsstate.Peer, role hsmessage.Role) {
	c.ports.Sender.Send(to, hsmessage.Redirect{Role: role, Leader: c.replica.LeaderAddress()})
}

// receiveRenew renews the rules lease of an entry.
func (c *Control) receiveRenew(from hsstate.Peer, r hsmessage.Renew) {
	if !c.Leading() {
		c.redirect(from, r.Role)
		return
	}
	lease := c.lead.leases.Renew(from, r, &c.state.Rules.InForce, c.lead.term, c.ports.Clock.Now())
	lease.Controls = c.memberAddresses()
	c.ports.Sender.Send(from, lease)
	c.checkRuleWaiters()
}
