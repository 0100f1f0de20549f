package hscontrol

import (
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsupkeep"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

func (c *Control) upkeepPorts(fleet *hsdispatch.Dispatcher) hsupkeep.Ports {
	return hsupkeep.Ports{Clock: c.ports.Clock, Log: workLog{c}, Machines: c.ports.Machines, Fleet: fleet}
}

// MachinesListed takes the platform's list of machines.
func (c *Control) MachinesListed(machines []hsupkeep.Machine) {
	if c.Leading() {
		c.lead.upkeep.Listed(machines)
	}
}

// UpkeepOrdered takes the result of an order about a machine.
func (c *Control) UpkeepOrdered(o hsupkeep.Order, v hsupkeep.Verdict) {
	if c.Leading() {
		c.lead.upkeep.Ordered(o, v)
	}
}

// startWave accepts a wave of upkeep. One that exists is acknowledged again.
func (c *Control) startWave(w *hswork.Wave) (hsmessage.WorkReply, *hswork.Command) {
	switch {
	case w == nil || w.ID == 0 || len(w.Machines) == 0 || w.Cap < 1 || w.Duration <= 0:
		return verdict(hsmessage.WorkBad), nil
	case !c.formed():
		return verdict(hsmessage.WorkNotReady), nil
	case c.state.Work.Wave(w.ID) != nil:
		return verdict(hsmessage.WorkDone), nil
	}
	return verdict(hsmessage.WorkDone), &hswork.Command{Wave: w}
}

func (c *Control) getWave(w *hswork.Wave) hsmessage.WorkReply {
	if w == nil {
		return verdict(hsmessage.WorkBad)
	}
	known := c.state.Work.Wave(w.ID)
	if known == nil {
		return verdict(hsmessage.WorkNoQueue)
	}
	return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, WaveDone: known.Done}
}
