package hscontrol

import (
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// maintenancePorts returns the ports of the maintenance coordinator, which moves tasks away by way of the dispatcher.
func (c *Control) maintenancePorts(fleet *hsdispatch.Dispatcher) hsmaintenance.Ports {
	return hsmaintenance.Ports{Clock: c.ports.Clock, Log: workLog{c}, Machines: c.ports.Machines, Fleet: fleet}
}

// HandleMachineList delivers the platform's list of machines. It is ignored while this replica doesn't lead.
func (c *Control) HandleMachineList(l hsmaintenance.MachineList) {
	if c.Leading() {
		c.leader.maintenance.HandleMachineList(l)
	}
}

// HandleUpkeepResult delivers the result of a maintenance order. It is ignored while this replica doesn't lead.
func (c *Control) HandleUpkeepResult(o hsmaintenance.Order, v hsmaintenance.Verdict) {
	if c.Leading() {
		c.leader.maintenance.HandleOrderResult(o, v)
	}
}

// startWave accepts a maintenance wave. One that exists already is acknowledged again.
func (c *Control) startWave(w *hswork.Wave) (hsmessage.WorkReply, *hswork.Command) {
	switch {
	case w == nil || w.ID == 0 || len(w.Machines) == 0 || w.Cap < 1 || w.Duration <= 0:
		return workReply(hsmessage.WorkBad), nil
	case !c.clusterFormed():
		return workReply(hsmessage.WorkNotReady), nil
	case c.state.Work.Wave(w.ID) != nil:
		return workReply(hsmessage.WorkDone), nil
	}
	return workReply(hsmessage.WorkDone), &hswork.Command{Wave: w}
}

// getWave returns whether a wave is done. For an unknown wave the verdict is noQueue.
func (c *Control) getWave(w *hswork.Wave) hsmessage.WorkReply {
	if w == nil {
		return workReply(hsmessage.WorkBad)
	}
	known := c.state.Work.Wave(w.ID)
	if known == nil {
		return workReply(hsmessage.WorkNoQueue)
	}
	return hsmessage.WorkReply{Verdict: hsmessage.WorkDone, WaveDone: known.Done}
}
