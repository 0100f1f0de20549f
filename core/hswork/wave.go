package hswork

import "time"

// MachineID identifies a machine of the platform. Each start of the machine brings up a new endpoint.
type MachineID string

// WaveID identifies a maintenance wave.
type WaveID uint64

// Wave is a maintenance wave: each machine listed is taken down for upkeep once within Duration, with at most Cap
// machines down at the same time.
type Wave struct {
	ID       WaveID
	Machines []WaveMachine
	Duration time.Duration
	Cap      int
	// Started is the cluster time at which the wave was accepted.
	Started time.Duration
	// Done is set once every machine that still exists has had its upkeep.
	Done bool
}

// WaveMachine is one machine of a wave.
type WaveMachine struct {
	ID MachineID
	// Requested is set before the upkeep is requested, and Started once the platform has acknowledged the request or
	// no longer knows the machine.
	Requested bool
	Started   bool
}

// UpkeepProgress records the progress of a machine's upkeep: it sets WaveMachine.Requested, and WaveMachine.Started
// as well when Started is set.
type UpkeepProgress struct {
	Wave    WaveID
	Machine MachineID
	Started bool
}

// Wave returns a wave, or nil when it is unknown.
func (s *State) Wave(id WaveID) *Wave {
	for i := range s.Waves {
		if s.Waves[i].ID == id {
			return &s.Waves[i]
		}
	}
	return nil
}

// Machine returns a machine of the wave, or nil when the wave doesn't list it.
func (w *Wave) Machine(id MachineID) *WaveMachine {
	for i := range w.Machines {
		if w.Machines[i].ID == id {
			return &w.Machines[i]
		}
	}
	return nil
}
