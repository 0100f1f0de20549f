package hscontrol

import (
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// receiveAgentReport records an agent's report, renews its lease, and advances the jobs on its worker. Reports that
// are older than the last one are dropped.
func (c *Control) receiveAgentReport(from hsstate.Peer, r hsmessage.AgentReport) {
	if !c.Leading() {
		c.redirect(from, hsmessage.RoleAgent)
		return
	}
	now := c.ports.Clock.Now()
	before := c.placementInputsOf(r.Instance)
	w, isNewer := c.leader.fleet.Update(from, r, now)
	if !isNewer {
		return
	}
	w.Quarantined = c.leader.breakers.Quarantined(r.Instance)
	lease := c.leader.leases.Renew(from, r.Renewal, &c.state.Rules.InForce, c.leader.term, now)
	c.leader.dirtyAgents[r.Instance] = &lease
	after := c.placementInputsOf(r.Instance)
	if before != after {
		c.leader.passDue = true
	}
	if before.announced != after.announced || before.all != after.all {
		c.leader.homesDue = true
	}
	for _, j := range slices.Clone(c.leader.byWorker[r.Instance]) {
		if a := c.leader.attempts[j]; a != nil {
			c.advance(a)
		} else if job := c.leader.running[j]; job != nil {
			c.evaluate(job)
		}
	}
	c.resolveUnknown(w)
	c.answerReadyRuleWaiters()
}

// placementInputs is the part of a worker's report that affects placement. A report that changes none of it causes no
// scheduling pass.
type placementInputs struct {
	known       bool
	usable      bool
	announced   bool
	endpoint    hsid.Incarnation
	incarnation hsid.Incarnation
	all         hsfleet.Mask
	busy        hsfleet.Mask
}

func (c *Control) placementInputsOf(id hsid.InstanceID) placementInputs {
	w := c.leader.fleet.Get(id)
	if w == nil {
		return placementInputs{}
	}
	p := placementInputs{
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

// resolveUnknown finishes jobs whose outcome was unknown and whose result an agent now reports. Only jobs with a
// single member are resolved.
func (c *Control) resolveUnknown(w *hsfleet.Worker) {
	for _, t := range w.Report.Tasks {
		j := c.jobWithUnknownOutcome(t.Grant)
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

// jobWithUnknownOutcome returns the finished job of a grant if its outcome is unknown, and nil otherwise.
func (c *Control) jobWithUnknownOutcome(g hsid.Grant) *hsstate.Job {
	j := c.state.Jobs[g.Job]
	if j == nil || j.Outcome != hsstate.Unknown || j.Grant != g {
		return nil
	}
	return j
}

// sendOrders sends its complete orders to every dirty agent.
func (c *Control) sendOrders() {
	ids := make([]hsid.InstanceID, 0, len(c.leader.dirtyAgents))
	for id := range c.leader.dirtyAgents {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w := c.leader.fleet.Get(id); w != nil {
			c.sendOrdersTo(w, c.leader.dirtyAgents[id])
		}
	}
	clear(c.leader.dirtyAgents)
}

// sendOrdersTo sends an agent its complete orders. The run lease is renewed only when lease is set, that is in answer
// to a report. It also keeps, in Worker.FirstSerials, the serial of the first orders that list each grant.
func (c *Control) sendOrdersTo(w *hsfleet.Worker, lease *hsmessage.Lease) {
	now := c.ports.Clock.Now()
	w.Serial++
	orders := hsmessage.Orders{
		Lease:       hsmessage.Lease{Term: c.leader.term, Number: c.state.Rules.InForce.Number},
		Incarnation: w.Report.Incarnation,
		Serial:      w.Serial,
		RunLease:    c.config.RunLease,
	}
	if lease != nil {
		orders.Lease = *lease
		w.Granted = now
	}
	orders.Orders = c.ordersFor(w)
	for g := range w.FirstSerials {
		if !slices.ContainsFunc(orders.Orders, func(o hsmessage.Order) bool { return o.Grant == g }) {
			delete(w.FirstSerials, g)
		}
	}
	for _, o := range orders.Orders {
		if _, ok := w.FirstSerials[o.Grant]; !ok {
			w.FirstSerials[o.Grant] = w.Serial
		}
	}
	c.ports.Sender.Send(w.Peer, orders)
}

// ordersFor returns one order for each grant that the worker's agent should hold. A finished job with an unknown
// outcome that still runs there is kept, so that its result can be reported.
func (c *Control) ordersFor(w *hsfleet.Worker) []hsmessage.Order {
	var orders []hsmessage.Order
	for _, id := range c.leader.byWorker[w.Report.Instance] {
		if a := c.leader.attempts[id]; a != nil {
			orders = append(orders, newOrder(a.job, a.grant, a.members, w, hsmessage.OrderHold))
			continue
		}
		j := c.leader.running[id]
		if j == nil {
			continue
		}
		phase := hsmessage.OrderRun
		if c.leader.stopping[id] {
			phase = hsmessage.OrderStop
		}
		orders = append(orders, newOrder(j, j.Grant, j.Members, w, phase))
	}
	for _, t := range w.Report.Tasks {
		if j := c.jobWithUnknownOutcome(t.Grant); j != nil && t.Phase == hsmessage.TaskRunning {
			orders = append(orders, newOrder(j, j.Grant, j.Members, w, hsmessage.OrderRun))
		}
	}
	return orders
}

// newOrder returns the order for one member of a gang. The job's spec is sent only while the agent, told to run the
// task, still reports it as held.
func newOrder(j *hsstate.Job, g hsid.Grant, members []hsstate.Placement, w *hsfleet.Worker, p hsmessage.OrderPhase) hsmessage.Order {
	rank := slices.IndexFunc(members, func(m hsstate.Placement) bool { return m.Worker == w.Report.Instance })
	o := hsmessage.Order{Grant: g, Phase: p, Once: j.Once, Rank: rank, Size: len(members)}
	o.Accelerators = members[rank].Accelerators
	if t := w.Task(g); p == hsmessage.OrderRun && t != nil && t.Phase == hsmessage.TaskHeld {
		o.Spec = &j.Spec
	}
	return o
}

// redirect sends a process the address of the leader.
func (c *Control) redirect(to hsstate.Peer, role hsmessage.Role) {
	c.ports.Sender.Send(to, hsmessage.Redirect{Role: role, Leader: c.replica.LeaderAddress()})
}

// receiveRenewal renews the rules lease of an entry.
func (c *Control) receiveRenewal(from hsstate.Peer, r hsmessage.Renewal) {
	if !c.Leading() {
		c.redirect(from, r.Role)
		return
	}
	lease := c.leader.leases.Renew(from, r, &c.state.Rules.InForce, c.leader.term, c.ports.Clock.Now())
	lease.Controls = c.memberAddresses()
	c.ports.Sender.Send(from, lease)
	c.answerReadyRuleWaiters()
}
