package hswork

import "time"

// MachineID names a machine, of which an endpoint is one life.
type MachineID string

// WaveID names a wave of upkeep.
type WaveID uint64

// Wave asks that each of some machines has its upkeep in time, with at most Cap of them down at once.
type Wave struct {
	ID       WaveID
	Machines []WaveMachine
	Duration time.Duration
	Cap      int
	// Started is the cluster time at which the wave was accepted.
	Started time.Duration
	// Done is set once every machine that stays has had its upkeep.
	Done bool
}

// WaveMachine is one machine of a wave.
type WaveMachine struct {
	ID MachineID
	// Ordered is set before the upkeep is ordered, and Begun once the platform has acknowledged the order or
	// doesn't know the machine any more.
	Ordered bool
	Begun   bool
}

// UpkeepNote notes how far the upkeep of a machine is.
type UpkeepNote struct {
	Wave    WaveID
	Machine MachineID
	Begun   bool
}

// Wave returns a wave, or nil.
func (s *State) Wave(id WaveID) *Wave {
	for i := range s.Waves {
		if s.Waves[i].ID == id {
			return &s.Waves[i]
		}
	}
	return nil
}

// Machine returns a machine of the wave, or nil.
func (w *Wave) Machine(id MachineID) *WaveMachine {
	for i := range w.Machines {
		if w.Machines[i].ID == id {
			return &w.Machines[i]
		}
	}
	return nil
}
