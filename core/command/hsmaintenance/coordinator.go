// Package hsmaintenance implements rolling maintenance (upkeep) of machines. Each machine of a wave goes down once,
// before the wave's time runs out, with at most the wave's cap of machines down at once, and after its endpoint has
// been drained.
//
// An order is recorded in the log before it is sent, and again once it is acknowledged. A later leader therefore
// counts a machine as down if an earlier one may have ordered its upkeep. A new leader waits until the lease of its
// predecessor has expired, so that two leaders never send orders for the same machine alternately.
//
// A Coordinator is a deterministic state machine and isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	c := hsmaintenance.New(config, ports, state, term)
//	c.Wake()
//	c.HandleMachineList(list)
//	c.HandleOrderResult(order, verdict)
package hsmaintenance

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// listInterval is the time between two requests for the list of machines while a wave is open. Each request is
	// charged.
	listInterval = time.Second
	// orderRetryInterval is the time before an order that wasn't acknowledged is sent again.
	orderRetryInterval = time.Second
	// DefaultLease is how long the platform treats the instance that sent the last order as the lease holder.
	DefaultLease = 3 * time.Second
	// DefaultUpkeep is how long the upkeep of a machine takes.
	DefaultUpkeep = 2 * time.Second
	// roundSlack is added to the duration of each round of upkeep for draining the endpoint and for starting the new
	// one.
	roundSlack = time.Second
)

// Config identifies the sender of the orders and sets the times.
type Config struct {
	Holder hsid.InstanceID
	// Lease is how long a new leader waits before it sends orders; zero for DefaultLease.
	Lease time.Duration
	// Upkeep is how long the upkeep of a machine takes; zero for DefaultUpkeep.
	Upkeep time.Duration
}

// Clock returns the current time of a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Log is the replicated log.
type Log interface {
	// ProposeWork proposes a command. It returns false if the log doesn't accept it.
	ProposeWork(c *hswork.Command) bool
	// Clock returns the cluster time.
	Clock() time.Duration
}

// Machines is the platform's interface to machines. Its methods don't block; results come back through
// Coordinator.HandleMachineList and Coordinator.HandleOrderResult.
type Machines interface {
	// List requests the list of machines. The list comes back with the time that is given here.
	List(requestedAt time.Time)
	// Upkeep orders the upkeep of a machine.
	Upkeep(o Order)
}

// Order requests the upkeep of one machine.
type Order struct {
	Machine hswork.MachineID
	Wave    hswork.WaveID
	Holder  hsid.InstanceID
	// FencingToken is the fencing token: the platform rejects orders with a lower one than it has seen.
	FencingToken hsid.Term
}

// Fleet drains endpoints.
type Fleet interface {
	// Drain keeps new tasks off an endpoint for a while and moves away the tasks that may be stopped. With force it
	// also moves those that lose their progress. It reports whether the endpoint is empty.
	Drain(id hswork.EndpointID, force bool) bool
}

// MachineState is the state of a machine as the platform reports it.
type MachineState string

// Up is the state of a machine that is in use.
const Up MachineState = "up"

// Machine is one entry of the platform's list of machines.
type Machine struct {
	ID       hswork.MachineID
	State    MachineState
	Endpoint hswork.EndpointID
}

// MachineList is the platform's list of machines, read some time after it was requested.
type MachineList struct {
	RequestedAt time.Time
	Machines    []Machine
}

// Verdict is the outcome of an order.
type Verdict string

// The verdicts.
const (
	OrderDone     Verdict = "done"
	OrderNoAnswer Verdict = "noAnswer"
	OrderBusy     Verdict = "busy"
	// OrderFenced: the platform has already received an order from a later leader.
	OrderFenced Verdict = "fenced"
	// OrderNotApplicable: the machine doesn't exist, or it isn't part of the wave.
	OrderNotApplicable Verdict = "void"
)

// Ports are the dependencies of a coordinator.
type Ports struct {
	Clock Clock
	Log   Log
	// Machines is nil where no platform is configured; the coordinator then does nothing.
	Machines Machines
	Fleet    Fleet
}

// Coordinator carries out the waves during one leadership. It holds what isn't in the replicated state.
type Coordinator struct {
	config    Config
	ports     Ports
	state     *hswork.State
	term      hsid.Term
	startedAt time.Time

	// listRequestedAt is when a list was last requested; listedAt is when the one in machines was, and zero before the
	// first one.
	listRequestedAt time.Time
	listedAt        time.Time
	machines        map[hswork.MachineID]Machine
	// openedAt is when each wave that isn't done was first seen. An older list doesn't tell which of its machines exist.
	openedAt map[hswork.WaveID]time.Time
	// orderedAt and acknowledgedAt are when an order for a machine was last sent and acknowledged.
	orderedAt      map[hswork.MachineID]time.Time
	acknowledgedAt map[hswork.MachineID]time.Time
	// proposed holds the machines with a proposed command that isn't applied yet.
	proposed map[hswork.MachineID]bool
	// fenced is set once a later leader has sent an order; this coordinator then stops.
	fenced bool
}

// New returns the coordinator for a leadership that begins now. Zero times in c are replaced by their defaults.
func New(c Config, p Ports, s *hswork.State, term hsid.Term) *Coordinator {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Upkeep == 0 {
		c.Upkeep = DefaultUpkeep
	}
	return &Coordinator{
		config:         c,
		ports:          p,
		state:          s,
		term:           term,
		startedAt:      p.Clock.Now(),
		machines:       map[hswork.MachineID]Machine{},
		openedAt:       map[hswork.WaveID]time.Time{},
		orderedAt:      map[hswork.MachineID]time.Time{},
		acknowledgedAt: map[hswork.MachineID]time.Time{},
		proposed:       map[hswork.MachineID]bool{},
	}
}

// Wake takes the next steps of all open waves. It does nothing before the lease of an earlier leader has expired, or
// once an order was fenced.
func (c *Coordinator) Wake() {
	now := c.ports.Clock.Now()
	if !c.hasOpenWave() || c.fenced || c.ports.Machines == nil || now.Sub(c.startedAt) < c.config.Lease {
		return
	}
	for i := range c.state.Waves {
		if w := &c.state.Waves[i]; !w.Done && c.openedAt[w.ID].IsZero() {
			c.openedAt[w.ID] = now
		}
	}
	if now.Sub(c.listRequestedAt) >= listInterval {
		c.listRequestedAt = now
		c.ports.Machines.List(now)
	}
	for i := range c.state.Waves {
		w := &c.state.Waves[i]
		switch {
		case w.Done:
			delete(c.openedAt, w.ID)
		case !c.listedAt.Before(c.openedAt[w.ID]):
			c.advance(w, now)
		}
	}
}

// hasOpenWave reports whether any wave isn't done.
func (c *Coordinator) hasOpenWave() bool {
	for i := range c.state.Waves {
		if !c.state.Waves[i].Done {
			return true
		}
	}
	return false
}

// advance takes the next steps of one wave: it sends or repeats orders that aren't acknowledged, drains further
// machines while fewer than the cap are down, and marks the wave as done after the last one.
func (c *Coordinator) advance(w *hswork.Wave, now time.Time) {
	down, waiting := 0, 0
	for i := range w.Machines {
		m := &w.Machines[i]
		switch {
		case !m.Requested && c.proposed[m.ID]:
			down++
		case !m.Requested:
			waiting++
		case !m.Started:
			down++
			c.sendOrder(w, m, now)
		case !c.backInUse(m.ID):
			down++
		}
	}
	if waiting == 0 && down == 0 {
		c.propose(&hswork.Command{WaveDone: &hswork.WaveDone{ID: w.ID}}, "")
		return
	}
	force := c.mustForce(w, waiting)
	for i := range w.Machines {
		m := &w.Machines[i]
		if m.Requested || c.proposed[m.ID] {
			continue
		}
		if down >= w.Cap {
			return
		}
		if c.beginMachine(w, m, force) {
			down++
		}
	}
}

// beginMachine drains the endpoint of a machine and, once it is empty, proposes to order the upkeep. It reports
// whether the machine counts as down from now on.
func (c *Coordinator) beginMachine(w *hswork.Wave, m *hswork.WaveMachine, force bool) bool {
	machine, known := c.machines[m.ID]
	switch {
	case !known:
		// The machine no longer exists, so it needs no upkeep.
		c.propose(&hswork.Command{Upkeep: &hswork.UpkeepProgress{Wave: w.ID, Machine: m.ID, Started: true}}, m.ID)
		return false
	case machine.State != Up:
		return false
	case machine.Endpoint != "" && !c.ports.Fleet.Drain(machine.Endpoint, force):
		return true
	}
	c.propose(&hswork.Command{Upkeep: &hswork.UpkeepProgress{Wave: w.ID, Machine: m.ID}}, m.ID)
	return true
}

// mustForce reports whether the upkeep of the waiting machines takes all the time that is left in the wave, so that
// tasks have to be moved even if they lose progress.
func (c *Coordinator) mustForce(w *hswork.Wave, waiting int) bool {
	rounds := (waiting + max(w.Cap, 1) - 1) / max(w.Cap, 1)
	left := w.Duration - (c.ports.Log.Clock() - w.Started)
	return left <= time.Duration(rounds)*(c.config.Upkeep+roundSlack)
}

// backInUse reports whether a machine whose upkeep was acknowledged is in use again, going by a list that was
// requested after the acknowledgement. A machine that no longer exists counts as back.
func (c *Coordinator) backInUse(id hswork.MachineID) bool {
	machine, known := c.machines[id]
	if !known {
		return true
	}
	return machine.State == Up && c.listedAt.After(c.acknowledgedAt[id])
}

// propose proposes a command. If it concerns a machine, nothing more is done about that machine until the command is
// applied.
func (c *Coordinator) propose(command *hswork.Command, id hswork.MachineID) {
	if id != "" {
		c.proposed[id] = true
	}
	if !c.ports.Log.ProposeWork(command) {
		delete(c.proposed, id)
	}
}

// Applied handles a command about a machine that was just applied.
func (c *Coordinator) Applied(p *hswork.UpkeepProgress) { delete(c.proposed, p.Machine) }

// sendOrder orders the upkeep of a machine, unless a command about the machine isn't applied yet or the last order is
// too recent to be repeated.
func (c *Coordinator) sendOrder(w *hswork.Wave, m *hswork.WaveMachine, now time.Time) {
	if c.proposed[m.ID] || now.Sub(c.orderedAt[m.ID]) < orderRetryInterval {
		return
	}
	c.orderedAt[m.ID] = now
	c.ports.Machines.Upkeep(Order{Machine: m.ID, Wave: w.ID, Holder: c.config.Holder, FencingToken: c.term})
}

// HandleMachineList handles the platform's list of machines, which replaces the one before. A list that was requested
// before that one, or before this leadership, arrived late and is ignored.
func (c *Coordinator) HandleMachineList(l MachineList) {
	if l.RequestedAt.Before(c.startedAt) || !l.RequestedAt.After(c.listedAt) {
		return
	}
	c.listedAt = l.RequestedAt
	clear(c.machines)
	for _, m := range l.Machines {
		c.machines[m.ID] = m
	}
}

// HandleOrderResult handles the result of an order. Orders without an answer, or while the platform is busy, are sent
// again. A result of an order from an earlier leadership of this process is ignored.
func (c *Coordinator) HandleOrderResult(o Order, v Verdict) {
	if o.FencingToken != c.term {
		return
	}
	switch v {
	case OrderFenced:
		c.fenced = true
	case OrderDone, OrderNotApplicable:
		c.acknowledgedAt[o.Machine] = c.ports.Clock.Now()
		c.propose(&hswork.Command{Upkeep: &hswork.UpkeepProgress{Wave: o.Wave, Machine: o.Machine, Started: true}}, o.Machine)
	}
}
