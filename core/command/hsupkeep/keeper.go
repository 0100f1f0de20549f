// Package hsupkeep carries out waves of upkeep: each machine of a wave goes down once, in time, with no more
// than the wave's cap down at once, and with what runs there moved away first.
//
// An order is noted in the log before it is given and again once it is acknowledged, so that a later leader
// counts a machine as down when an earlier one may have ordered it. A new leader waits until the lease of the
// one before is over, so that no two of them take turns on a machine.
//
// A Keeper is a deterministic state machine and isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	k := hsupkeep.New(config, ports, state, term)
//	k.Wake()
//	k.Listed(machines)
//	k.Ordered(machine, verdict)
package hsupkeep

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// listInterval is the time between two readings of the list while a wave goes on; each one is charged.
	listInterval = time.Second
	// orderPause is the time between two orders for a machine when the first wasn't acknowledged.
	orderPause = time.Second
	// DefaultLease is how long a holder of orders counts as such.
	DefaultLease = 3 * time.Second
	// DefaultUpkeep is how long a machine is down.
	DefaultUpkeep = 2 * time.Second
	// roundSlack is added to each round of upkeep for moving tasks and for the start of the new endpoint.
	roundSlack = time.Second
)

// Config names the holder of the orders and sets the times.
type Config struct {
	Holder hsid.InstanceID
	Lease  time.Duration
	Upkeep time.Duration
}

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Log is the replicated log.
type Log interface {
	ProposeWork(c *hswork.Command) bool
	Clock() time.Duration
}

// Machines is the platform's interface to machines. Calls don't block; results come back through Listed and
// Ordered.
type Machines interface {
	List()
	Upkeep(o Order)
}

// Order asks for the upkeep of one machine.
type Order struct {
	Machine hswork.MachineID
	Wave    hswork.WaveID
	Holder  hsid.InstanceID
	Fence   hsid.Term
}

// Fleet moves tasks away from endpoints.
type Fleet interface {
	// Vacate keeps new tasks off an endpoint for a while and moves those away that may be stopped, with force
	// also those that lose their work. It reports whether nothing is left.
	Vacate(id hswork.EndpointID, force bool) bool
}

// MachineState is what the platform says of a machine.
type MachineState string

// Up is the state of a machine that is in use.
const Up MachineState = "up"

// Machine is one row of the platform's list.
type Machine struct {
	ID       hswork.MachineID
	State    MachineState
	Endpoint hswork.EndpointID
}

// Verdict tells how an order ended.
type Verdict string

// The verdicts.
const (
	OrderDone     Verdict = "done"
	OrderNoAnswer Verdict = "noAnswer"
	OrderBusy     Verdict = "busy"
	// OrderFenced: a later leader has spoken.
	OrderFenced Verdict = "fenced"
	// OrderVoid: there is no such machine, or it isn't part of the wave.
	OrderVoid Verdict = "void"
)

// Ports are the interfaces that a keeper calls.
type Ports struct {
	Clock    Clock
	Log      Log
	Machines Machines
	Fleet    Fleet
}

// Keeper is what one leadership knows about upkeep beyond the replicated state.
type Keeper struct {
	config Config
	ports  Ports
	state  *hswork.State
	term   hsid.Term
	since  time.Time

	asked    time.Time
	listed   time.Time
	machines map[hswork.MachineID]Machine
	ordered  map[hswork.MachineID]time.Time
	begun    map[hswork.MachineID]time.Time
	noting   map[hswork.MachineID]bool
	fenced   bool
}

// New returns the keeper of a leadership that begins now.
func New(c Config, p Ports, s *hswork.State, term hsid.Term) *Keeper {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Upkeep == 0 {
		c.Upkeep = DefaultUpkeep
	}
	return &Keeper{
		config:   c,
		ports:    p,
		state:    s,
		term:     term,
		since:    p.Clock.Now(),
		machines: map[hswork.MachineID]Machine{},
		ordered:  map[hswork.MachineID]time.Time{},
		begun:    map[hswork.MachineID]time.Time{},
		noting:   map[hswork.MachineID]bool{},
	}
}

// Wake takes the next steps of all waves.
func (k *Keeper) Wake() {
	now := k.ports.Clock.Now()
	if !k.active() || k.fenced || k.ports.Machines == nil || now.Sub(k.since) < k.config.Lease {
		return
	}
	if now.Sub(k.asked) >= listInterval {
		k.asked = now
		k.ports.Machines.List()
	}
	if k.listed.IsZero() {
		return
	}
	for i := range k.state.Waves {
		if w := &k.state.Waves[i]; !w.Done {
			k.advance(w, now)
		}
	}
}

func (k *Keeper) active() bool {
	for i := range k.state.Waves {
		if !k.state.Waves[i].Done {
			return true
		}
	}
	return false
}

// advance takes the next step of one wave.
func (k *Keeper) advance(w *hswork.Wave, now time.Time) {
	down, waiting := 0, 0
	for i := range w.Machines {
		m := &w.Machines[i]
		switch {
		case !m.Ordered:
			waiting++
		case !m.Begun:
			down++
			k.order(w, m, now)
		case !k.back(m.ID):
			down++
		}
	}
	if waiting == 0 && down == 0 {
		k.note(&hswork.Command{WaveDone: &hswork.WaveDone{ID: w.ID}}, "")
		return
	}
	force := k.pressed(w, waiting)
	for i := range w.Machines {
		m := &w.Machines[i]
		if m.Ordered || k.noting[m.ID] {
			continue
		}
		if down >= w.Cap {
			return
		}
		if k.take(w, m, force) {
			down++
		}
	}
}

// take starts with one machine, and reports whether it counts as down from now on.
func (k *Keeper) take(w *hswork.Wave, m *hswork.WaveMachine, force bool) bool {
	x, known := k.machines[m.ID]
	switch {
	case !known:
		// The machine is gone for good; nothing is owed for it.
		k.note(&hswork.Command{Upkeep: &hswork.UpkeepNote{Wave: w.ID, Machine: m.ID, Begun: true}}, m.ID)
		return false
	case x.State != Up:
		return false
	case x.Endpoint != "" && !k.ports.Fleet.Vacate(x.Endpoint, force):
		return true
	}
	k.note(&hswork.Command{Upkeep: &hswork.UpkeepNote{Wave: w.ID, Machine: m.ID}}, m.ID)
	return true
}

// pressed reports whether the machines that wait need all the time that is left.
func (k *Keeper) pressed(w *hswork.Wave, waiting int) bool {
	rounds := (waiting + max(w.Cap, 1) - 1) / max(w.Cap, 1)
	left := w.Duration - (k.ports.Log.Clock() - w.Started)
	return left <= time.Duration(rounds)*(k.config.Upkeep+roundSlack)
}

// back reports whether a machine that had its upkeep is in use again.
func (k *Keeper) back(id hswork.MachineID) bool {
	x, known := k.machines[id]
	if !known {
		return true
	}
	return x.State == Up && k.listed.After(k.begun[id])
}

// note proposes a command; nothing more is done about its machine until it is applied.
func (k *Keeper) note(c *hswork.Command, id hswork.MachineID) {
	if id != "" {
		k.noting[id] = true
	}
	if !k.ports.Log.ProposeWork(c) {
		delete(k.noting, id)
	}
}

// Applied acts on a note that was just applied.
func (k *Keeper) Applied(n *hswork.UpkeepNote) { delete(k.noting, n.Machine) }

// order gives the order for a machine, again while it isn't acknowledged.
func (k *Keeper) order(w *hswork.Wave, m *hswork.WaveMachine, now time.Time) {
	if k.noting[m.ID] || now.Sub(k.ordered[m.ID]) < orderPause {
		return
	}
	k.ordered[m.ID] = now
	k.ports.Machines.Upkeep(Order{Machine: m.ID, Wave: w.ID, Holder: k.config.Holder, Fence: k.term})
}

// Listed takes the platform's list of machines.
func (k *Keeper) Listed(machines []Machine) {
	k.listed = k.asked
	clear(k.machines)
	for _, m := range machines {
		k.machines[m.ID] = m
	}
}

// Ordered takes the result of an order.
func (k *Keeper) Ordered(o Order, v Verdict) {
	switch v {
	case OrderFenced:
		k.fenced = true
	case OrderDone, OrderVoid:
		k.begun[o.Machine] = k.ports.Clock.Now()
		k.note(&hswork.Command{Upkeep: &hswork.UpkeepNote{Wave: o.Wave, Machine: o.Machine, Begun: true}}, o.Machine)
	}
}
